#include "quota/allotter.hpp"

#include "constants.hpp"

namespace robinford::quota {
namespace c = constants;

namespace {

// The member's recent demand beyond the unpromised capacity of its part.
Amount unmet_demand(const MemberDemand& member) {
  return positive(member.demand - (member.size - member.promised));
}

Amount proportional_share(const Amount& part, const Amount& whole, const Amount& budget) {
  const auto share = [](std::int64_t of, std::int64_t all, std::int64_t amount) {
    if (all <= amount) return of;
    return static_cast<std::int64_t>(static_cast<double>(of) / static_cast<double>(all) *
                                     static_cast<double>(amount));
  };
  return {share(part.cpus, whole.cpus, budget.cpus), share(part.gpus, whole.gpus, budget.gpus)};
}

bool justifies_write(const MemberDemand& member, const Amount& growth) {
  const auto enough = [](std::int64_t by, std::int64_t size) {
    return by >= c::kThousandthsPerUnit && by * c::kLeaseGrowthDivisor >= size;
  };
  return enough(growth.cpus, member.size.cpus) || enough(growth.gpus, member.size.gpus);
}

}  // namespace

std::map<std::string, Amount> allot(const TeamBudget& budget,
                                    const std::map<std::string, MemberDemand>& members) {
  const auto leasable_share = [&](std::int64_t limit) {
    return static_cast<std::int64_t>(static_cast<double>(limit) * budget.share);
  };
  const Amount leasable_max{leasable_share(budget.limit.cpus), leasable_share(budget.limit.gpus)};
  // All leasable capacity up to the guarantee is allotted at once. Beyond the guarantee, the leader keeps
  // half at each step, so that one burst of demand does not take the capacity that other controllers will
  // need.
  const Amount leasable = positive(smaller(budget.available, leasable_max - budget.leased));
  const Amount guaranteed = smaller(leasable, positive(budget.guarantee - budget.leased));
  const Amount beyond_guarantee = leasable - guaranteed;
  const Amount allotted = guaranteed + Amount{beyond_guarantee.cpus / 2, beyond_guarantee.gpus / 2};
  Amount total_unmet;
  for (const auto& [name, member] : members) total_unmet += unmet_demand(member);
  std::map<std::string, Amount> growth;
  for (const auto& [name, member] : members) {
    const Amount by = proportional_share(unmet_demand(member), total_unmet, allotted);
    if (justifies_write(member, by)) growth[name] = by;
  }
  return growth;
}

}  // namespace robinford::quota
