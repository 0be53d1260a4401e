// Jobs that the leader may not place yet because the capacity they need is leased to other controllers.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "protocol/messages.hpp"
#include "quota/amount.hpp"

namespace robinford::quota {

// One waiting job's demand for leased capacity.
struct Claim {
  double first_refused = 0, last_refused = 0;
  Amount need;
  bool gang = false;
};

class Claims {
 public:
  void clear() { teams_.clear(); }
  void record_claim(const std::string& team, protocol::JobId job, const Amount& need, bool gang, double now);
  void drop_claim(const std::string& team, protocol::JobId job);
  // Removes claims not repeated for `kClaimStaleS`: their jobs were placed, ended, or wait for another
  // reason.
  void drop_stale(double now);

  bool empty(const std::string& team) const { return !teams_.contains(team); }
  const std::map<std::string, std::map<protocol::JobId, Claim>>& teams() const { return teams_; }
  // Capacity reserved for the team's longest waiting gang; zero if that is `job` itself or no gang waits.
  // Without this reservation, small jobs would use recalled capacity as it arrives, and the gang would
  // starve.
  Amount reserved_before(const std::string& team, protocol::JobId job) const;
  // Sum of the team's claims.
  Amount total(const std::string& team) const;

 private:
  std::map<std::string, std::map<protocol::JobId, Claim>> teams_;
};

}  // namespace robinford::quota
