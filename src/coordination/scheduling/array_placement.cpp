/// @file
/// Scheduler: places array tasks on machines with free capacity. docs/design.md, section "What was added",
/// "Arrays".
#include <algorithm>
#include <utility>
#include <vector>

#include "constants.hpp"
#include "coordination/scheduling/eligibility.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Job;
using bookkeeping::JobState;
using bookkeeping::Machine;
using bookkeeping::TaskRun;

void Scheduler::plan_run(Job& job, std::uint32_t index, Machine& machine, std::uint64_t attempt) {
  TaskRun run;
  run.machine = machine.name;
  run.attempt = attempt;
  run.planned_at = context_.now.steady;
  placements_.add_run(job, index, std::move(run), machine);
}

// Whether a task of the array may be placed on the machine now.
bool Scheduler::can_place_array_task(const Job& job, const Machine& machine, const Resources& free) {
  const double now = context_.now.steady;
  if (job.state != JobState::kActive || now < job.backoff_until || job.unplaced() == 0 || !job.next_task())
    return false;
  if (task_obstacle(context_, job, machine, free, claimed_machines_) != Obstacle::kNone ||
      unreconciled_.may_hold_tasks_of(job))
    return false;
  const auto withheld = withheld_quota_cpus_.find(job.spec.team);
  if (!context_.quota.allows(job.spec, 1, withheld == withheld_quota_cpus_.end() ? 0 : withheld->second))
    return false;
  // A job that failed on at least `kJobSuspectMachines` machines runs one task at a time until one succeeds.
  // A job that is ranked first because of its waiting time also starts with one task, and its other tasks are
  // ranked by due time again: when whole arrays were preferred by waiting time, other arrays missed their due
  // times.
  const bool one_task_only =
      static_cast<int>(job.failed_on.size()) >= c::kJobSuspectMachines || queue_order_.waited_too_long(job);
  if (one_task_only && !job.runs.empty()) return false;
  return !(job.spec.one_zone || job.spec.spread) ||
         zone_allowed(job.spec, count_tasks_by_zone(context_, job, placements_.unknown_task_machines()),
                      machine.zone);
}

// Position in the queue of one team while tasks are placed on a machine.
struct Scheduler::QueueCursor {
  const std::vector<Job*>* queue;
  std::size_t position = 0;
  Rank rank;
  Job& job() const { return *(*queue)[position]; }
};

// Advances the cursor to the next job of its queue with a task that may be placed on the machine. Returns
// false if there is none.
bool Scheduler::advance_to_fitting_array(QueueCursor& cursor, const Machine& machine, const Resources& free) {
  for (; cursor.position < cursor.queue->size(); ++cursor.position) {
    if (!can_place_array_task(cursor.job(), machine, free)) continue;
    cursor.rank = queue_order_.rank(cursor.job(), 1);
    return true;
  }
  return false;
}

// Whether arrays may use the free capacity of the machine now.
bool Scheduler::open_to_arrays(Machine& machine) {
  if (!takes_work(context_, machine) || machine.draining) return false;
  if (machine.reserved_by && context_.now.steady < machine.reserved_until) return false;
  if ((queue_order_.changed() || placements_.has_unqueued_array_task()) && queue_order_.sort_due())
    sort_queues();
  if (queue_order_.queues().empty() || available_resources(context_, machine).cpus <= 0) return false;
  capacity_survey_.refresh_if_due(queue_order_.queues());
  // Waiting gangs are considered first for capacity that was just freed: array tasks placed there could be
  // preempted again at once.
  if (!machine.offered && !waiting_gangs_.empty() && arrivals_.suits_gangs(machine)) return false;
  return !capacity_survey_.arrays_fit_preferred_machines(machine);
}

// Places array tasks on the machine in the order of their ranks until nothing more fits. Returns the number
// of tasks placed.
std::uint32_t Scheduler::place_arrays(Machine& machine) {
  if (!open_to_arrays(machine)) return 0;
  Resources free = available_resources(context_, machine);
  std::vector<QueueCursor> cursors;
  for (const auto& [team, queue] : queue_order_.queues()) {
    QueueCursor cursor{&queue, 0, {}};
    if (advance_to_fitting_array(cursor, machine, free)) cursors.push_back(cursor);
  }
  std::uint32_t placed = 0;
  while (!cursors.empty()) {
    const auto best = std::min_element(
        cursors.begin(), cursors.end(),
        [](const QueueCursor& left, const QueueCursor& right) { return left.rank < right.rank; });
    Job& job = best->job();
    plan_run(job, *job.next_task(), machine, next_attempt());
    free.take(job.spec);
    capacity_survey_.array_task_placed(job.spec);
    ++placed;
    // The machine has less free capacity now, and the job's team a larger share in use.
    const auto placed_cursor = static_cast<std::size_t>(best - cursors.begin());
    for (std::size_t i = cursors.size(); i-- > 0;) {
      const bool still_fits = i != placed_cursor && free.fits(cursors[i].job().spec);
      if (!still_fits && !advance_to_fitting_array(cursors[i], machine, free))
        cursors.erase(cursors.begin() + static_cast<std::ptrdiff_t>(i));
    }
  }
  return placed;
}

// Where launches are direct, places array tasks on machines with free capacity and launches them by direct
// command. With long heartbeat intervals, the tasks could otherwise wait almost a whole interval for the next
// heartbeat of a machine.
void Scheduler::place_arrays_directly() {
  if (!direct_commands_.launches_directly() || queue_order_.queues().empty() ||
      capacity_survey_.array_demand_cpus() <= 0)
    return;
  for (auto& [name, machine] : context_.machines.all()) {
    if (!direct_commands_.can_send() || !direct_commands_.within_budget()) return;
    if (machine.open_probes > 0 || !machine.recorded || machine.undelivered_commands > 0 ||
        machine.direct.size() >= c::kListedDirectAttemptsMax)
      continue;
    if (place_arrays(machine) > 0) launch_directly(machine);
  }
}

}  // namespace robinford::coordination
