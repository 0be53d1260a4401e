// The switch file of quota leases (`deploy/quota-leases.toml`), read and checked.
#pragma once

#include <stdexcept>
#include <string>

namespace robinford::quota {

// A switch file that can't be used. The message names the key.
class LeaseOptionsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// All controllers of a site should use the same values; `ttl_s` must be the same.
struct LeaseOptions {
  bool enabled = false;
  double ttl_s = 6;           // s: a lease that is not renewed for so long ends
  double leased_share = 0.5;  // of a team's limit, at most, that may stand in leases
  double rebalance_s = 1;     // s between two changes of one controller's lease
  double idle_return_s = 5;   // s: capacity of a lease that nobody asked for is returned after so long
  double grant_idle_s = 10;   // s: a grant whose tasks have not started by then may be revoked for others
  double write_share = 0.1;   // of the state service's changes a second that leases may take
};

LeaseOptions parse_lease_options(const std::string& toml_text);
LeaseOptions load_lease_options(const std::string& path);

}  // namespace robinford::quota
