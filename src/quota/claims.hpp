// Jobs that the leader may not place because capacity of their team's limit is leased to other controllers.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "protocol/messages.hpp"
#include "quota/amount.hpp"

namespace robinford::quota {

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
  // Claims that were not repeated lately: their jobs were placed, ended, or wait for something else.
  void drop_stale(double now);

  bool empty(const std::string& team) const { return !teams_.contains(team); }
  const std::map<std::string, std::map<protocol::JobId, Claim>>& teams() const { return teams_; }
  // What the longest waiting gang of the team needs, unless that is `job` itself: nobody else may take it, or
  // narrow jobs would take the capacity piece by piece as it is recalled.
  Amount reserved_before(const std::string& team, protocol::JobId job) const;
  // What all claims of the team need together.
  Amount total(const std::string& team) const;

 private:
  std::map<std::string, std::map<protocol::JobId, Claim>> teams_;
};

}  // namespace robinford::quota
