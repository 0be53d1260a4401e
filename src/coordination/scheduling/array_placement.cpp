// Arrays go into the capacity that machines heartbeat.
#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Job;
using bookkeeping::JobState;
using bookkeeping::Machine;
using bookkeeping::TaskRun;

void Scheduler::plan(Job& job, std::uint32_t index, Machine& machine, std::uint64_t attempt) {
  TaskRun run;
  run.machine = machine.name;
  run.attempt = attempt;
  run.planned_at = context_.now.steady;
  placements_.add_run(job, index, std::move(run), machine);
}

// Whether a task of the array may go to the machine now, and how many by count.
bool Scheduler::array_fits(Job& job, Machine& machine, const Resources& free, std::uint32_t& slots) {
  const double now = context_.now.steady;
  if (job.state != JobState::kActive || now < job.backoff_until || job.unplaced() == 0 || !job.next_task())
    return false;
  if (!kind_allowed(job.spec, machine.type, machine.zone, machine.spot) || !free.fits(job.spec) ||
      unreconciled_.may_hold_tasks_of(job))
    return false;
  if (const auto avoided = job.avoid.find(machine.name); avoided != job.avoid.end() && now < avoided->second)
    return false;
  const auto kept = gang_kept_.find(job.spec.team);
  if (!context_.quota.allows(job.spec, 1, kept == gang_kept_.end() ? 0 : kept->second)) return false;
  slots = slots_by_count(context_, job, machine);
  // One that goes before the others by its age begins with a single task: the rest keeps its place in the
  // order of due times. Whole arrays let through by age made others late that were in time.
  if (waited_too_long(job)) slots = job.runs.empty() ? std::min<std::uint32_t>(slots, 1) : 0;
  // A job that failed on several machines is tried with a single task until one succeeds.
  if (static_cast<int>(job.failed_on.size()) >= c::kJobSuspectMachines)
    slots = job.runs.empty() ? std::min<std::uint32_t>(slots, 1) : 0;
  if (slots == 0) return false;
  return !(job.spec.one_zone || job.spec.spread) ||
         zone_allowed(job.spec, zones_of(context_, job, placements_.unknown_task_machines()), machine.zone);
}

// Arrays go into the capacity that the machine's own heartbeat shows, in the order of the teams' queues.
std::uint32_t Scheduler::fill(Machine& machine) {
  const double now = context_.now.steady;
  if (!takes_work(context_, machine) || machine.draining) return 0;
  if (machine.reserved_by && now < machine.reserved_until) return 0;
  if ((queues_dirty_ || placements_.array_unqueued()) && now >= next_queues_) sort_queues();
  if (queues_.empty() || free_resources(context_, machine).cpus <= 0) return 0;
  if (now >= next_survey_) survey();
  // Capacity that just came free is the waiting gangs' first: arrays that took it would be stopped again at
  // once.
  if (!machine.offered && !waiting_gangs_.empty() && arrivals_.suits_gangs(machine)) return 0;
  // Machines that should be filled before this one have capacity for all that waits: they send heartbeats as
  // well, before long.
  if (survey_.better[capacity_class(machine)] > survey_.array_demand) return 0;
  struct Turn {
    std::vector<Job*>* queue;
    std::size_t at;
    std::uint32_t slots;
    Rank rank;
  };
  std::vector<Turn> turns;
  Resources free = free_resources(context_, machine);
  // Moves on to the team's first job that may go here; false when there is none.
  const auto next = [&](Turn& turn) {
    for (; turn.at < turn.queue->size(); ++turn.at) {
      Job& job = *(*turn.queue)[turn.at];
      if (!array_fits(job, machine, free, turn.slots)) continue;
      turn.rank = rank(job, 1);
      return true;
    }
    return false;
  };
  for (auto& [team, queue] : queues_) {
    Turn turn{&queue, 0, 0, {}};
    if (next(turn)) turns.push_back(turn);
  }
  std::uint32_t placed = 0;
  while (!turns.empty()) {
    auto best = std::min_element(turns.begin(), turns.end(),
                                 [](const Turn& a, const Turn& b) { return a.rank < b.rank; });
    Job& job = *(*best->queue)[best->at];
    plan(job, *job.next_task(), machine, next_attempt());
    free.take(job.spec);
    survey_.array_demand -= job.spec.cpus;
    ++placed;
    // The capacity is smaller now, and the team's share larger.
    const auto at = static_cast<std::size_t>(best - turns.begin());
    for (std::size_t i = turns.size(); i-- > 0;)
      if ((i == at || !free.fits((*turns[i].queue)[turns[i].at]->spec)) && !next(turns[i]))
        turns.erase(turns.begin() + static_cast<std::ptrdiff_t>(i));
  }
  return placed;
}

// With long heartbeat intervals, work that has come would wait for most of one: the leader launches by direct
// commands.
void Scheduler::fill_idle() {
  if (!direct_.launches_directly() || queues_.empty() || survey_.array_demand <= 0) return;
  for (auto& [name, machine] : context_.machines.all()) {
    if (!direct_.can_send() || !direct_.within_budget()) return;
    if (machine.open_probes > 0 || !machine.recorded || machine.undelivered > 0 ||
        machine.direct.size() >= c::kDirectListMax)
      continue;
    if (fill(machine) > 0) launch_directly(machine);
  }
}

}  // namespace robinford::coordination
