// Divides the leasable capacity of a team's limit between controllers according to their recent demand.
#pragma once

#include <map>
#include <string>

#include "quota/amount.hpp"

namespace robinford::quota {

// One controller's part of a team's limit, and its demand.
struct MemberDemand {
  Amount size;      // of the part
  Amount promised;  // portion of the part that is promised to jobs
  Amount demand;    // recently requested from this controller, whether granted or not
};

struct TeamBudget {
  Amount guarantee, limit;
  Amount available;  // limit minus use and minus the exposure of leases
  Amount leased;     // sum of the team's parts in all leases
  double share = 0;  // largest fraction of the limit that may be leased
};

// Returns by how much each member's part grows. All growth together stays within `available` and within the
// share of the limit that may be leased. Capacity up to the guarantee is allotted in full, capacity beyond it
// only by half at each call. If the capacity does not meet all demand, each member gets a share proportional
// to its unmet demand. For CPUs or for GPUs, a part grows by at least one whole unit and an eighth of its
// size, so that sizes do not follow each small change of demand; members with a smaller growth are left out.
std::map<std::string, Amount> allot(const TeamBudget& budget,
                                    const std::map<std::string, MemberDemand>& members);

}  // namespace robinford::quota
