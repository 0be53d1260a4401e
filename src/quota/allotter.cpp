#include "quota/allotter.hpp"

#include "constants.hpp"

namespace robinford::quota {
namespace c = constants;

namespace {

// What the member lacks to meet the demand that it sees, beyond what it has promised already.
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
    return by >= c::kThousandths && by * c::kGrowthStepPart >= size;
  };
  return enough(growth.cpus, member.size.cpus) || enough(growth.gpus, member.size.gpus);
}

}  // namespace

std::map<std::string, Amount> allot(const TeamBudget& budget,
                                    const std::map<std::string, MemberDemand>& members) {
  const auto part_of = [&](std::int64_t limit) {
    return static_cast<std::int64_t>(static_cast<double>(limit) * budget.share);
  };
  const Amount most{part_of(budget.limit.cpus), part_of(budget.limit.gpus)};
  // Up to the guarantee all that may be leased is handed out at once. Beyond it half stays with the leader at
  // each step, so that one burst of demand does not take what other controllers will need.
  const Amount rest = positive(smaller(budget.available, most - budget.leased));
  const Amount guaranteed = smaller(rest, positive(budget.guarantee - budget.leased));
  const Amount beyond = rest - guaranteed;
  const Amount hand_out = guaranteed + Amount{beyond.cpus / 2, beyond.gpus / 2};
  Amount lacked;
  for (const auto& [name, member] : members) lacked += unmet_demand(member);
  std::map<std::string, Amount> growth;
  for (const auto& [name, member] : members) {
    const Amount by = proportional_share(unmet_demand(member), lacked, hand_out);
    if (justifies_write(member, by)) growth[name] = by;
  }
  return growth;
}

}  // namespace robinford::quota
