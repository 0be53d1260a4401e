/// @file
/// Scheduler: preempts array tasks of lower priority to free machine capacity or quota for a gang.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "constants.hpp"
#include "coordination/scheduling/eligibility.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::RunState;
using protocol::TaskId;

namespace {
std::string name_of(const Job& job) { return protocol::job_id_text(job.spec.id); }
}  // namespace

// Frees quota for a gang for which its team's limit on cpus leaves too little: stops tasks of the team's own
// arrays of lower priority, those that lose the fewest cpu seconds first.
void Scheduler::free_quota_for(Job& job) {
  const double now = context_.now.steady;
  const auto* team = context_.settings.team(job.spec.team);
  if (team == nullptr || now < job.quota_freed_until || now < job.next_preempt_search_at) return;
  job.next_preempt_search_at = now + c::kPreemptSearchIntervalS;
  const auto used = context_.quota.usage(job.spec.team);
  double excess = used.cpus + job.spec.cpus * job.spec.tasks - team->cpus_max;
  struct Victim {
    Job* job;
    std::uint32_t index;
    double lost_cpu_s;
  };
  std::vector<Victim> victims;
  for (auto& [id, other] : context_.jobs.all()) {
    if (other->spec.gang || other->spec.team != job.spec.team || other->priority() >= job.priority())
      continue;
    for (const auto& [index, run] : other->runs) {
      if (run.state == RunState::kStopping)
        excess -= other->spec.cpus;
      else
        victims.push_back(
            {other.get(), index, (run.running_since > 0 ? now - run.running_since : 0) * other->spec.cpus});
    }
  }
  std::sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) {
    return std::tuple(a.lost_cpu_s, a.job->spec.id, a.index) <
           std::tuple(b.lost_cpu_s, b.job->spec.id, b.index);
  });
  double possible = 0;
  for (const auto& victim : victims) possible += victim.job->spec.cpus;
  if (possible < excess) return;  // the rest of the quota is used by work that the gang cannot preempt
  job.quota_freed_until = now + c::kPreemptionHoldS;
  std::size_t stopped = 0;
  for (const auto& victim : victims) {
    if (excess <= 0) break;
    excess -= victim.job->spec.cpus;
    stop_run(*victim.job, victim.index, 0);
    placements_.requeue_task(*victim.job, victim.index);
    ++stopped;
    context_.metrics.count("preempted");
  }
  if (stopped > 0)
    spdlog::info("gang {}: {} tasks of its own team preempted to free the team's quota", name_of(job),
                 stopped);
  send_stops();
}

// Tasks of one machine that have to stop to make one task of the gang fit there.
struct Scheduler::PreemptionOption {
  struct Victim {
    TaskId task;
    double lost_cpu_s;  // cpu seconds that its run has used; lost if it is stopped
  };
  Machine* machine;
  std::vector<Victim> victims;
  double lost_cpu_s = 0;  // total of the victims
};

// Whether a machine is already reserved for the gang after a preemption.
bool Scheduler::has_reserved_machine(const Job& job) const {
  const auto& machines = context_.machines.all();
  return std::any_of(machines.begin(), machines.end(), [&](const auto& entry) {
    const Machine& machine = entry.second;
    return machine.reserved_by == job.spec.id && context_.now.steady < machine.reserved_until;
  });
}

// Selects array tasks of lower priority on the machine, those that lose the fewest cpu seconds first, until
// one task of the gang fits. Returns nothing if it does not fit even without all of them.
std::optional<Scheduler::PreemptionOption> Scheduler::preemption_option(const Job& job, Machine& machine) {
  using Victim = PreemptionOption::Victim;
  std::vector<Victim> candidates;
  for (const auto& id : machine.tasks) {
    const Job* other = context_.jobs.find(id.job);
    if (other == nullptr || other->spec.gang || other->priority() >= job.priority()) continue;
    const auto& run = other->runs.at(id.index);
    const double ran_s = run.running_since > 0 ? context_.now.steady - run.running_since : 0;
    candidates.push_back({id, ran_s * other->spec.cpus});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Victim& left, const Victim& right) { return left.lost_cpu_s < right.lost_cpu_s; });
  PreemptionOption option{&machine, {}, 0};
  Resources free = available_resources(context_, machine);
  for (const auto& victim : candidates) {
    if (free.fits(job.spec)) break;
    free.give(context_.jobs.find(victim.task.job)->spec);
    option.victims.push_back(victim);
    option.lost_cpu_s += victim.lost_cpu_s;
  }
  if (!free.fits(job.spec)) return std::nullopt;
  return option;
}

// Stops the selected tasks and reserves the machine for the gang for a limited time, so that no other work
// takes the freed capacity.
void Scheduler::preempt(const Job& job, const PreemptionOption& option) {
  option.machine->reserved_by = job.spec.id;
  option.machine->reserved_until =
      context_.now.steady + std::max(c::kPreemptionHoldS, 3 * context_.settings.heartbeat_interval_s);
  for (const auto& victim : option.victims) {
    Job* other = context_.jobs.find(victim.task.job);
    stop_run(*other, victim.task.index, 0);
    placements_.requeue_task(*other, victim.task.index);
    context_.metrics.count("preempted");
  }
  spdlog::info("gang {}: {} tasks preempted on {}, {:.0f} cpu seconds lost", name_of(job),
               option.victims.size(), option.machine->name, option.lost_cpu_s);
}

// The zone in which a gang with `one_zone` loses the fewest cpu seconds by preemption; empty if none has
// enough capacity. `options` must be sorted by that loss.
std::string Scheduler::zone_to_preempt_in(const Job& job, const SlotsByZone& free_slots,
                                          const std::vector<PreemptionOption>& options) {
  struct ZoneOptions {
    std::uint32_t slots = 0;
    double lost_cpu_s = 0;
  };
  std::map<std::string, ZoneOptions> zones;
  for (const auto& [zone, slots] : free_slots) zones[zone].slots = slots;
  for (const auto& option : options) {
    ZoneOptions& zone = zones[option.machine->zone];
    if (zone.slots >= job.spec.tasks) continue;
    ++zone.slots;
    zone.lost_cpu_s += option.lost_cpu_s;
  }
  std::string best;
  double least_lost_cpu_s = 0;
  for (const auto& [name, zone] : zones) {
    if (zone.slots < job.spec.tasks || (!best.empty() && zone.lost_cpu_s >= least_lost_cpu_s)) continue;
    best = name;
    least_lost_cpu_s = zone.lost_cpu_s;
  }
  return best;
}

// Selects as many options as the gang needs beside the free slots, under its zone rules. Returns nothing if
// they are too few. `options` must be sorted by what they lose.
std::vector<const Scheduler::PreemptionOption*> Scheduler::select_preemptions(
    const Job& job, const SlotsByZone& free_slots, const std::vector<PreemptionOption>& options) {
  const std::string only_zone =
      job.spec.one_zone ? zone_to_preempt_in(job, free_slots, options) : std::string();
  if (job.spec.one_zone && only_zone.empty()) return {};
  ZoneAllowance zones(job.spec, only_zone);
  std::uint32_t left = job.spec.tasks;
  for (const auto& [zone, slots] : free_slots) {
    const auto tasks = std::min({left, slots, zones.left(zone)});
    zones.take(zone, tasks);
    left -= tasks;
  }
  std::vector<const PreemptionOption*> selected;
  for (const auto& option : options) {
    if (selected.size() == left) break;
    if (zones.left(option.machine->zone) == 0) continue;
    zones.take(option.machine->zone, 1);
    selected.push_back(&option);
  }
  if (selected.size() < left) selected.clear();
  return selected;
}

// Frees capacity for the gang by preempting tasks of lower priority, for one task of the gang per machine, on
// as many machines as it still needs, those that lose the fewest cpu seconds first. Does nothing while a
// machine is reserved for the gang, or if this would not free enough capacity for all its tasks.
void Scheduler::preempt_for(const Job& job) {
  const double now = context_.now.steady;
  if (has_reserved_machine(job)) return;
  std::vector<PreemptionOption> options;
  SlotsByZone free_slots;
  for (auto& [name, machine] : context_.machines.all()) {
    if (machine_obstacle(context_, job, machine, claimed_machines_) != Obstacle::kNone) continue;
    if (machine.reserved_by && now < machine.reserved_until) continue;
    const Resources& free = available_resources(context_, machine);
    if (free.fits(job.spec))
      free_slots[machine.zone] +=
          std::min(free.tasks_that_fit(job.spec), slots_within_policy(context_, job, machine));
    else if (auto option = preemption_option(job, machine))
      options.push_back(std::move(*option));
  }
  if (placeable_tasks(job.spec, free_slots) >= job.spec.tasks) return;
  std::sort(options.begin(), options.end(), [](const PreemptionOption& left, const PreemptionOption& right) {
    return std::tie(left.lost_cpu_s, left.machine->name) < std::tie(right.lost_cpu_s, right.machine->name);
  });
  for (const auto* option : select_preemptions(job, free_slots, options)) preempt(job, *option);
  send_stops();
}

}  // namespace robinford::coordination
