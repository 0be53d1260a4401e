/// @file
/// Scheduler: placement rounds, in which waiting gangs reserve capacity. docs/design.md, section "What was
/// kept".
#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "constants.hpp"
#include "coordination/scheduling/eligibility.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::CapacityOutlook;
using bookkeeping::GangState;
using bookkeeping::Job;
using bookkeeping::JobLedger;
using bookkeeping::JobState;
using bookkeeping::Machine;
using protocol::JobSpec;

// Returns whether anything changed since the last round that may let a gang start, and clears the flags for
// it.
bool Scheduler::take_round_request() {
  const bool due = round_requested_ || placements_.capacity_freed() || machine_records_.written();
  round_requested_ = false;
  placements_.clear_capacity_freed();
  machine_records_.reset_written_flag();
  return due;
}

void Scheduler::run_placement_round() {
  const double now = context_.now.steady;
  if (!may_place() || now - last_round_ < c::kPlacementRoundIntervalS) return;
  if (!take_round_request()) return;
  last_round_ = now;
  claimed_machines_.clear();
  context_.metrics.count("rounds");
  unreconciled_.charge_quota_if_changed();
  advance_gangs();
  update_tiers();
  if (queue_order_.sort_due()) sort_queues();
  capacity_survey_.refresh_if_due(queue_order_.queues());
  place_waiting_gangs();
  withhold_quota_for_waiting_gangs();
  place_arrays_directly();
}

// Advances the state of each active gang, and collects the gangs that wait for capacity.
void Scheduler::advance_gangs() {
  waiting_gangs_.clear();
  for (auto& [id, job] : context_.jobs.all()) {
    if (!job->spec.gang || job->state != JobState::kActive) continue;
    if (job->gang != GangState::kRunning) advance_gang(*job);
    if (job->gang == GangState::kQueued) waiting_gangs_.push_back(job.get());
  }
}

// State of one placement round, shared by all gangs that it considers.
struct Scheduler::GangRound {
  std::vector<Offer> open;             // machines with free capacity
  std::vector<const JobSpec*> failed;  // gangs that could not be placed in this round
  int searches = 0;                    // number of searches for tasks to preempt
  int claims = 0;                      // gangs that claimed machines
};

namespace {

// Added before a product is rounded down, since a floating-point error may make it slightly less than the
// exact whole number.
constexpr double kCountRounding = 1e-9;

struct WaitingGang {
  Rank rank;
  Job* job;
};

// Whether `spec` is assumed not to fit in this round either after `failed` did not: it requires at least as
// many resources and tasks, and has the same placement constraints. Neither gang may be excluded from single
// machines.
bool asks_no_less(const JobSpec& spec, const JobSpec& failed) {
  return failed.cpus <= spec.cpus && failed.gpus <= spec.gpus && failed.memory_gb <= spec.memory_gb &&
         failed.tasks <= spec.tasks && failed.spot == spec.spot && failed.zone == spec.zone &&
         failed.types == spec.types && failed.one_zone == spec.one_zone && failed.spread == spec.spread;
}

}  // namespace

void Scheduler::place_waiting_gangs() {
  std::vector<WaitingGang> queue;
  for (Job* job : waiting_gangs_)
    if (context_.now.steady >= job->backoff_until && job->runs.empty() &&
        !unreconciled_.may_hold_tasks_of(*job))
      queue.push_back({queue_order_.rank(*job, job->spec.tasks), job});
  if (queue.empty()) return;
  GangRound round;
  for (auto& [name, machine] : context_.machines.all())
    if (takes_work(context_, machine) && available_resources(context_, machine).cpus > 0)
      round.open.push_back({&machine, 0, 0});
  // Each placement changes the share in use of a team, so the best rank is determined again for each gang.
  while (!queue.empty()) {
    const auto best = std::min_element(
        queue.begin(), queue.end(),
        [](const WaitingGang& left, const WaitingGang& right) { return left.rank < right.rank; });
    Job& job = *best->job;
    queue.erase(best);
    if (!context_.quota.allows(job.spec, job.spec.tasks)) {
      free_quota_for(job);
      continue;
    }
    if (!try_place_gang(job, round)) continue;
    std::erase(waiting_gangs_, &job);
    for (auto& other : queue)
      if (other.job->spec.team == job.spec.team)
        other.rank = queue_order_.rank(*other.job, other.job->spec.tasks);
  }
  for (const auto& offer : round.open) offer.machine->offered = true;
}

// Reserves capacity for the gang. If that fails, preempts other work or claims machines for it, when due.
// Returns whether capacity was reserved.
bool Scheduler::try_place_gang(Job& job, GangRound& round) {
  const double now = context_.now.steady;
  const bool known_to_fail =
      excluded_machines(context_, job).empty() &&
      std::any_of(round.failed.begin(), round.failed.end(),
                  [&](const JobSpec* failed) { return asks_no_less(job.spec, *failed); });
  if (!known_to_fail) {
    if (reserve_for_gang(job, round.open)) return true;
    // Another gang may be placed on the machines from which this one is excluded.
    if (excluded_machines(context_, job).empty()) round.failed.push_back(&job.spec);
  }
  if (now >= job.next_preempt_search_at && round.searches < c::kPreemptSearchesPerRoundMax) {
    ++round.searches;
    job.next_preempt_search_at = now + c::kPreemptSearchIntervalS;
    preempt_for(job);
  }
  if (now - job.known_at > c::kGangClaimAfterS && round.claims < c::kGangClaimsPerRoundMax) {
    ++round.claims;
    claim_machines(job);
    std::erase_if(round.open,
                  [&](const Offer& offer) { return claimed_machines_.contains(offer.machine->name); });
  }
  return false;
}

// Withholds the quota that waiting gangs need from the arrays of their teams, also while preemption is still
// freeing it. Otherwise arrays would use each part as soon as it is free, and the gang would starve. Nothing
// is withheld for gangs that failed on `kJobSuspectMachines` or more machines, that cannot get the machines
// they need at present, or that do not fit into the team's limit on cpus beside its other gangs.
void Scheduler::withhold_quota_for_waiting_gangs() {
  withheld_quota_cpus_.clear();
  std::map<std::string, double> gang_cpus;
  for (const auto& [id, job] : context_.jobs.all())
    if (job->spec.gang)
      gang_cpus[job->spec.team] += job->spec.cpus * (job->runs.size() + job->reservations.size());
  for (const Job* gang : waiting_gangs_) {
    const auto* team = context_.settings.team(gang->spec.team);
    double& used = gang_cpus[gang->spec.team];
    if (static_cast<int>(gang->failed_on.size()) >= c::kJobSuspectMachines || team == nullptr) continue;
    if (gang->outlook != CapacityOutlook::kPossible) continue;
    if (used + gang->spec.cpus * gang->spec.tasks > team->cpus_max) continue;
    used += gang->spec.cpus * gang->spec.tasks;
    withheld_quota_cpus_[gang->spec.team] += gang->spec.cpus * gang->spec.tasks;
  }
}

// Returns those of the machines in `open` that can run tasks of the gang, with the number of tasks that fit.
std::vector<Offer> Scheduler::offers_for(const Job& job, const std::vector<Offer>& open) {
  std::vector<Offer> offers;
  for (const auto& offer : open) {
    Machine& machine = *offer.machine;
    const Resources& free = available_resources(context_, machine);
    if (task_obstacle(context_, job, machine, free, claimed_machines_) != Obstacle::kNone) continue;
    const auto slots = std::min(free.tasks_that_fit(job.spec), slots_within_policy(context_, job, machine));
    offers.push_back({&machine, slots, free.cpus, machine.images.contains(job.spec.image)});
  }
  return offers;
}

// Reserves capacity for all tasks of the gang. Returns false if they do not fit. Removes from `open` the
// machines that have no free cpus left.
bool Scheduler::reserve_for_gang(Job& job, std::vector<Offer>& open) {
  auto offers = offers_for(job, open);
  std::uint32_t slots = 0;
  for (const auto& offer : offers) slots += offer.slots;
  if (slots < job.spec.tasks) return false;
  // `overbook` asks for extra reservations, which are made only as far as quota and free capacity allow.
  auto extra =
      static_cast<std::uint32_t>(std::floor(job.spec.tasks * context_.policy.overbook + kCountRounding));
  while (extra > 0 && !context_.quota.allows(job.spec, job.spec.tasks + extra)) --extra;
  const auto assignments =
      map_gang(job.spec, std::move(offers), job.spec.tasks, extra, context_.policy.concentrate);
  if (!assignments) return false;
  for (const auto& assignment : *assignments) {
    Machine& machine = *context_.machines.find(assignment.machine);
    for (std::uint32_t i = 0; i < assignment.tasks; ++i) placements_.add_reservation(job, machine);
    if (machine.reserved_by == job.spec.id) machine.reserved_by.reset();
    // Where launches are direct, a probe confirms the reservation earlier than the next regular heartbeat.
    if (direct_commands_.launches_directly() && direct_commands_.can_send()) direct_commands_.probe(machine);
  }
  std::erase_if(open,
                [&](const Offer& offer) { return available_resources(context_, *offer.machine).cpus <= 0; });
  JobLedger::set_gang_state(job, GangState::kReserving, context_.now.steady);
  return true;
}

// Sets machines aside for a gang that this leader has known as eligible for more than `kGangClaimAfterS`:
// gangs considered later in this round cannot use them. Otherwise gangs with fewer tasks would take each
// machine as it becomes free, and a gang with many tasks would starve. Arrays may still use the machines,
// since a gang can preempt arrays of lower priority. A gang that cannot be placed even when other work ends
// claims nothing, and no zone is claimed for more tasks than it may take.
void Scheduler::claim_machines(const Job& job) {
  if (job.outlook != CapacityOutlook::kPossible) return;
  struct Claimable {
    const Machine* machine;
    std::uint32_t slots;
  };
  std::vector<Claimable> claimable;
  SlotsByZone slots_by_zone;
  for (auto& [name, machine] : context_.machines.all()) {
    if (machine_obstacle(context_, job, machine, claimed_machines_) != Obstacle::kNone) continue;
    Resources free = available_resources(context_, machine);
    for (const auto& id : machine.tasks) {
      const Job* other = context_.jobs.find(id.job);
      if (other != nullptr && !other->spec.gang && other->priority() < job.priority()) free.give(other->spec);
    }
    const auto slots = task_slots(context_.policy, job.spec, free);
    if (slots == 0) continue;
    claimable.push_back({&machine, slots});
    slots_by_zone[machine.zone] += slots;
  }
  ZoneAllowance zones(job.spec, job.spec.one_zone ? zone_with_most_slots(slots_by_zone) : std::string());
  std::uint32_t left = job.spec.tasks;
  for (const auto& candidate : claimable) {
    const auto tasks = std::min({left, candidate.slots, zones.left(candidate.machine->zone)});
    if (tasks == 0) continue;
    claimed_machines_.insert(candidate.machine->name);
    zones.take(candidate.machine->zone, tasks);
    left -= tasks;
  }
}

}  // namespace robinford::coordination
