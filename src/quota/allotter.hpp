// How much of a team's limit each controller should hold in its lease, by what was asked of it lately.
#pragma once

#include <map>
#include <string>

#include "quota/amount.hpp"

namespace robinford::quota {

// One controller's view of one team.
struct MemberDemand {
  Amount size;      // of its part
  Amount promised;  // of it, to jobs
  Amount demand;    // asked of it lately, granted or not
};

struct TeamBudget {
  Amount guarantee, limit;
  Amount available;  // of the limit: neither used nor in any lease nor claimed
  Amount leased;     // in leases by now
  double share = 0;  // of the limit that may be leased
};

// Enlargements by member, only of those worth a write: together within `available`, and within the share of
// the limit that may be leased. Demand within the guarantee is met before demand beyond it; where it can't
// all be met, members get parts in proportion to what they lack. A member's part grows by steps of at least
// an eighth, so that sizes do not follow each small change of demand.
std::map<std::string, Amount> allot(const TeamBudget& budget,
                                    const std::map<std::string, MemberDemand>& members);

}  // namespace robinford::quota
