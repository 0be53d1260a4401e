/// @file
/// Implements the eligibility rules.
#include "coordination/scheduling/eligibility.hpp"

#include <algorithm>
#include <utility>

namespace robinford::coordination {
using bookkeeping::Job;
using bookkeeping::Machine;
using protocol::JobSpec;

namespace {

// Most tasks of a gang that one zone may hold.
std::uint32_t most_per_zone(const JobSpec& spec) { return spec.spread ? (spec.tasks + 1) / 2 : spec.tasks; }

}  // namespace

const char* to_text(Obstacle obstacle) {
  switch (obstacle) {
    case Obstacle::kNone:
      return "none";
    case Obstacle::kUnavailable:
      return "the machine takes no work";
    case Obstacle::kKind:
      return "its type, zone or price model is not allowed";
    case Obstacle::kAvoided:
      return "a task of the job failed there";
    case Obstacle::kEarlierAttempt:
      return "an earlier attempt may be listed there";
    case Obstacle::kReserved:
      return "its capacity was freed for another gang";
    case Obstacle::kClaimed:
      return "it is set aside for another gang";
    case Obstacle::kResources:
      return "too little of it is free";
    case Obstacle::kPolicyLimit:
      return "the limits of the policy are reached";
  }
  return "?";
}

bool may_list_earlier_attempt(const Job& gang, const Machine& machine) {
  const auto first = machine.direct.lower_bound({{gang.spec.id, 0}, 0});
  return first != machine.direct.end() && first->first.job == gang.spec.id;
}

Obstacle exclusion_from(const Job& job, const Machine& machine, double now) {
  const auto avoided = job.avoid.find(machine.name);
  if (avoided != job.avoid.end() && now < avoided->second) return Obstacle::kAvoided;
  if (job.spec.gang && may_list_earlier_attempt(job, machine)) return Obstacle::kEarlierAttempt;
  return Obstacle::kNone;
}

Obstacle machine_obstacle(const ControllerContext& context, const Job& job, const Machine& machine,
                          const ClaimedMachines& claimed) {
  const double now = context.now.steady;
  if (!kind_allowed(job.spec, machine.type, machine.zone, machine.spot)) return Obstacle::kKind;
  if (!takes_work(context, machine)) return Obstacle::kUnavailable;
  if (const Obstacle exclusion = exclusion_from(job, machine, now); exclusion != Obstacle::kNone)
    return exclusion;
  if (machine.reserved_by && *machine.reserved_by != job.spec.id && now < machine.reserved_until)
    return Obstacle::kReserved;
  if (job.spec.gang && claimed.contains(machine.name)) return Obstacle::kClaimed;
  return Obstacle::kNone;
}

Obstacle task_obstacle(ControllerContext& context, const Job& job, const Machine& machine,
                       const Resources& free, const ClaimedMachines& claimed) {
  if (!free.fits(job.spec)) return Obstacle::kResources;
  if (const Obstacle obstacle = machine_obstacle(context, job, machine, claimed); obstacle != Obstacle::kNone)
    return obstacle;
  return slots_within_policy(context, job, machine) == 0 ? Obstacle::kPolicyLimit : Obstacle::kNone;
}

std::uint32_t task_slots(const protocol::Policy& policy, const JobSpec& spec, const Resources& free) {
  return std::min(free.tasks_that_fit(spec), static_cast<std::uint32_t>(policy.tasks_per_job));
}

std::set<std::string> excluded_machines(ControllerContext& context, Job& job) {
  const double now = context.now.steady;
  std::set<std::string> excluded;
  for (const auto& [name, until] : job.avoid)
    if (now < until) excluded.insert(name);
  std::erase_if(job.launched_directly_on, [&](const std::string& name) {
    const Machine* machine = context.machines.find(name);
    return machine == nullptr || !may_list_earlier_attempt(job, *machine);
  });
  excluded.insert(job.launched_directly_on.begin(), job.launched_directly_on.end());
  return excluded;
}

ZoneAllowance::ZoneAllowance(const JobSpec& spec, std::string only_zone)
    : most_per_zone_(most_per_zone(spec)), only_zone_(std::move(only_zone)) {}

std::uint32_t ZoneAllowance::left(const std::string& zone) const {
  if (!only_zone_.empty() && zone != only_zone_) return 0;
  const auto taken = taken_.find(zone);
  return taken == taken_.end() ? most_per_zone_ : most_per_zone_ - std::min(most_per_zone_, taken->second);
}

std::uint32_t placeable_tasks(const JobSpec& spec, const SlotsByZone& slots) {
  std::uint32_t all_zones = 0;
  std::uint32_t best_zone = 0;
  for (const auto& [zone, count] : slots) {
    const std::uint32_t usable = std::min(count, most_per_zone(spec));
    all_zones = std::min(spec.tasks, all_zones + usable);
    best_zone = std::max(best_zone, usable);
  }
  return spec.one_zone ? best_zone : all_zones;
}

std::string zone_with_most_slots(const SlotsByZone& slots) {
  std::string best;
  std::uint32_t most = 0;
  for (const auto& [zone, count] : slots) {
    if (count <= most) continue;
    best = zone;
    most = count;
  }
  return best;
}

}  // namespace robinford::coordination
