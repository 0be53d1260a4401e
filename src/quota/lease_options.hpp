// Reads and validates the options file of quota leases (`deploy/quota-leases.toml`).
#pragma once

#include <stdexcept>
#include <string>

namespace robinford::quota {

// The options file can't be read or is invalid. The message names the key, the line or the path.
class LeaseOptionsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// All controllers of a site should use the same values. `ttl_s` must be the same at all of them.
struct LeaseOptions {
  bool enabled = false;
  double ttl_s = 6;           // s: a lease that is not renewed for this long expires
  double leased_share = 0.5;  // largest fraction of a team's limit that may be leased
  double rebalance_s = 1;     // s: least time between two growths of one controller's lease
  // s: idle capacity of a part is returned after this long without a request or a growth of the part
  double idle_return_s = 5;
  // s: the tasks of a grant that are not placed may be revoked for waiting jobs after this long without a
  // change in the number of placed tasks
  double grant_idle_s = 10;
  double write_share = 0.1;  // fraction of the state service's write rate that leases may use
};

LeaseOptions parse_lease_options(const std::string& toml_text);
LeaseOptions load_lease_options(const std::string& path);

}  // namespace robinford::quota
