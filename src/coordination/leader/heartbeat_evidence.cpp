/// @file
/// Scheduler: updates runs, reservations and unknown tasks from the state that a worker reports in a
/// heartbeat. docs/design.md, section "What was added", "Evidence".
#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "constants.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::GangState;
using bookkeeping::Job;
using bookkeeping::JobLedger;
using bookkeeping::JobState;
using bookkeeping::Machine;
using bookkeeping::RunState;
using bookkeeping::TaskRun;
using protocol::ExitReason;
using protocol::Heartbeat;
using protocol::TaskId;
using protocol::TaskList;
using protocol::TaskPhase;
using protocol::TaskStatus;

namespace {
std::string name_of(const Job& job) { return protocol::job_id_text(job.spec.id); }
}  // namespace

// Applies a heartbeat that carries this leader's fencing token and is newer than any applied before. The
// results are taken in first: whatever else is listed beside a result must not make its task start again.
void Scheduler::apply_heartbeat(Machine& machine, const Heartbeat& heartbeat, HeartbeatSource source) {
  const TaskList listed(heartbeat.tasks);
  if (direct_commands_.launches_directly() && shows_reset(machine, heartbeat.agent_epoch, listed))
    return return_reset_machine(machine, heartbeat);
  const bool agent_restarted = machine.showed_token && heartbeat.agent_epoch > machine.agent_epoch;
  if (agent_restarted) on_agent_restart(machine);
  update_machine_attributes(machine, heartbeat);
  placements_.set_unknown_tasks(machine, {});
  machine.clears.clear();
  const auto new_results = record_listed_results(listed);
  const auto unmatched = apply_to_runs(machine, listed, {agent_restarted, source});
  for (const auto* task : unmatched) handle_unmatched_task(machine, *task);
  settle_results(new_results);
  confirm_reservations(machine);
  cancelled_work_.update(machine);
}

// Marks the tasks of active jobs that the list shows as completed, by any attempt. Returns those whose result
// was not known.
std::set<TaskId> Scheduler::record_listed_results(const TaskList& listed) {
  std::set<TaskId> new_results;
  for (const auto& task : listed) {
    if (!TaskList::shows_result(task)) continue;
    Job* job = context_.jobs.find(task.task.job);
    if (job == nullptr || job->state != JobState::kActive || task.task.index >= job->spec.tasks ||
        job->done[task.task.index])
      continue;
    record_result(*job, task.task.index);
    new_results.insert(task.task);
  }
  return new_results;
}

// Updates the runs on the machine, each from its own attempt. Returns the entries that belong to no run.
std::vector<const TaskStatus*> Scheduler::apply_to_runs(Machine& machine, const TaskList& listed,
                                                        const HeartbeatContext& heartbeat_context) {
  std::set<const TaskStatus*> matched;
  const std::set<TaskId> known = machine.tasks;
  for (const auto& id : known) {
    Job* job = context_.jobs.find(id.job);
    if (job == nullptr) continue;
    const auto found = job->runs.find(id.index);
    if (found == job->runs.end()) continue;
    const TaskStatus* entry = listed.find(id, found->second.attempt);
    if (entry == nullptr) {
      handle_missing_run(machine, *job, id.index, heartbeat_context);
      continue;
    }
    matched.insert(entry);
    update_reported_run(machine, *job, id.index, *entry);
  }
  std::vector<const TaskStatus*> unmatched;
  for (const auto& task : listed)
    if (!matched.contains(&task)) unmatched.push_back(&task);
  return unmatched;
}

// Ends what is left of tasks whose result has just become known, and completes their jobs. The tasks of a
// gang end together, by themselves.
void Scheduler::settle_results(const std::set<TaskId>& new_results) {
  for (const auto& id : new_results) {
    Job* job = context_.jobs.find(id.job);
    if (job == nullptr || job->state != JobState::kActive) continue;
    if (!job->spec.gang) stop_run(*job, id.index, 0);
    if (job->done_count == job->spec.tasks) begin_completion(*job);
  }
}

void Scheduler::on_agent_restart(Machine& machine) {
  // The agent started a new epoch, as it does when its lease expires, although a heartbeat of the machine was
  // answered less than half a lease ago: the answers may not reach the machine.
  if (context_.now.steady - machine.last_answer < context_.settings.lease_s * 0.5)
    record_undelivered(machine, c::kUndeliveredCommandsMax);
  // The worker refuses commands that are addressed to the previous agent epoch.
  machine.direct.clear();
}

// Updates the address, type, zone, spot flag, heartbeat counters and interruption notice.
void Scheduler::update_machine_attributes(Machine& machine, const Heartbeat& heartbeat) {
  machine.addr = heartbeat.addr;
  if (machine.type != heartbeat.type || machine.zone != heartbeat.zone || machine.spot != heartbeat.spot ||
      machine.cpus <= 0) {
    mark_reconciled(machine);
    machine.type = heartbeat.type;
    machine.zone = heartbeat.zone;
    machine.spot = heartbeat.spot;
    set_capacity_from_catalog(machine);
  }
  if (machine.recorded_addr != machine.addr) context_.machines.mark_record_for_writing(machine);
  record_liveness(machine, heartbeat.agent_epoch, heartbeat.seq);
  const bool had_interruption_notice = machine.interruption_at.has_value();
  machine.interruption_at = heartbeat.interruption_notice_s
                                ? std::optional(context_.now.steady + *heartbeat.interruption_notice_s)
                                : std::nullopt;
  if (machine.interruption_at && !had_interruption_notice)
    spdlog::info("machine {}: received an interruption notice, {:.0f} s left", machine.name,
                 *heartbeat.interruption_notice_s);
}

// Handles a run in the ledger that the heartbeat does not list, or lists with another attempt.
void Scheduler::handle_missing_run(Machine& machine, Job& job, std::uint32_t index,
                                   const HeartbeatContext& context) {
  const TaskRun& run = job.runs.at(index);
  if (run.state == RunState::kPlanned) return;
  if (run.seen)
    return drop_lost_run(job, index,
                         context.agent_restarted ? "the agent on its machine started a new epoch"
                                                 : "its machine no longer reports it");
  // No heartbeat has listed the run yet. A direct launch may still be carried out while the agent epoch that
  // it was addressed to lasts. A launch in a heartbeat answer has failed once the worker itself sends a
  // heartbeat newer than the answered one, because the worker takes or discards an answer before it sends its
  // next heartbeat. The answer to a direct command does not imply this, since the launch may still be in
  // flight.
  const bool launch_failed = run.direct ? machine.agent_epoch > run.launch_agent_epoch
                                        : context.source == HeartbeatSource::kWorker &&
                                              std::tie(machine.agent_epoch, machine.seq) >
                                                  std::tie(run.launch_agent_epoch, run.launch_seq);
  if (!launch_failed) return;
  if (!run.direct) {
    record_undelivered(machine, 1);
    job.avoid[machine.name] = context_.now.steady + context_.settings.heartbeat_interval_s;
  }
  drop_lost_run(job, index, "the launch did not reach its machine");
}

// Updates a run from the status of its attempt in the heartbeat.
void Scheduler::update_reported_run(Machine& machine, Job& job, std::uint32_t index, const TaskStatus& task) {
  TaskRun& run = job.runs.at(index);
  if (!run.seen) {  // the first heartbeat that lists the run shows that its launch reached the machine
    machine.undelivered_commands = 0;
    machine.probe_failures = 0;
  }
  run.seen = true;
  if (task.phase == TaskPhase::kExited) return handle_task_exit(machine, job, index, task);
  if (run.state == RunState::kLaunched || run.state == RunState::kPlanned)
    JobLedger::set_run_state(job, run, RunState::kPresent);
  if (task.phase == TaskPhase::kRunning && run.phase != TaskPhase::kRunning)
    on_run_started(machine, job, run);
  run.phase = task.phase;
}

void Scheduler::on_run_started(Machine& machine, Job& job, TaskRun& run) {
  const double now = context_.now.steady;
  run.running_since = now;
  machine.fetching += (now - run.launched_at) * job.spec.cpus;
  machine.images[job.spec.image] = now;
  if (job.first_started_at != 0) return;
  job.first_started_at = now;
  const double waited = (context_.now.wall_ms - job.submitted_ms) / 1000.0;
  if (job.spec.gang)
    spdlog::debug("gang {}: its first task runs {:.1f} s after submission", name_of(job), waited);
  context_.metrics.record(
      job.spec.gang ? Metrics::Distribution::kGangWait : Metrics::Distribution::kArrayWait,
      std::max(0.0, waited));
}

// Queues a clear command for an exited task. An attempt that was launched by a direct command is not cleared,
// because a duplicate of that command could then start it again.
void Scheduler::queue_clear_command(Machine& machine, const TaskStatus& task) {
  if (!machine.direct.contains({task.task, task.attempt}))
    machine.clears.push_back({task.task, task.attempt});
}

// Handles a listed attempt that belongs to no run in the ledger, such as one launched by an earlier leader or
// an old one.
void Scheduler::handle_unmatched_task(Machine& machine, const TaskStatus& task) {
  if (task.phase == TaskPhase::kExited) return queue_clear_command(machine, task);
  Job* job = context_.jobs.find(task.task.job);
  const bool wanted = job != nullptr && job->state == JobState::kActive &&
                      task.task.index < job->spec.tasks && !job->done[task.task.index] &&
                      !job->runs.contains(task.task.index) &&
                      (!job->spec.gang || job->attempt == 0 || job->attempt == task.attempt);
  if (!wanted) {
    auto unknown_tasks = machine.unknown_tasks;
    unknown_tasks.push_back(task);
    placements_.set_unknown_tasks(machine, std::move(unknown_tasks));
    return;
  }
  TaskRun run;
  run.machine = machine.name;
  run.attempt = task.attempt;
  run.state = RunState::kPresent;
  run.phase = task.phase;
  run.seen = true;
  run.planned_at = context_.now.steady;
  run.launched_at = context_.now.steady;
  run.running_since = context_.now.steady;
  job->attempt = task.attempt;
  placements_.add_run(*job, task.task.index, run, machine);
  machine.images[job->spec.image] = context_.now.steady;
  if (job->spec.gang && job->gang == GangState::kStopping) stop_run(*job, task.task.index, 0);
}

// Records a completed task, whichever leader launched it. All tasks of a gang complete together.
void Scheduler::record_result(Job& job, std::uint32_t index) {
  if (!job.spec.gang) return job.mark_done(index);
  for (std::uint32_t i = 0; i < job.spec.tasks; ++i) job.mark_done(i);
}

void Scheduler::handle_task_exit(Machine& machine, Job& job, std::uint32_t index, const TaskStatus& task) {
  const TaskRun run = job.runs.at(index);
  placements_.remove_run(job, index);
  if (run.running_since > 0) {
    const bool kept = task.exit_reason == ExitReason::kDone || task.saved;
    (kept ? machine.useful : machine.lost) += (context_.now.steady - run.running_since) * job.spec.cpus;
  }
  if (task.saved) job.launches.record_progress(job.spec.gang ? 0 : index);
  if (spdlog::should_log(spdlog::level::debug))
    spdlog::debug("task {} attempt {} on {}: {}{}", protocol::task_text(task.task), task.attempt,
                  machine.name, protocol::to_text(task.exit_reason), task.saved ? ", saved" : "");
  if (task.exit_reason == ExitReason::kDone) {
    handle_task_success(machine, job, run);
    queue_clear_command(machine, task);
    context_.metrics.count("tasks_done");
    return;
  }
  queue_clear_command(machine, task);
  if (job.over()) return;
  delay_next_attempt(machine, job, task.exit_reason);
  if (job.done[index]) return;
  if (!job.spec.gang) {
    placements_.requeue_task(job, index);
    return;
  }
  if (job.gang != GangState::kStopping)
    stop_gang(job, StopMode::kImmediate, protocol::to_text(task.exit_reason));
}

void Scheduler::handle_task_success(Machine& machine, Job& job, const TaskRun& run) {
  machine.errors = 0;
  machine.error_jobs.clear();
  job.failures = 0;
  job.failed_on.clear();
  if (run.running_since > 0 && run.running_since > run.planned_at)
    run_times_.record_completion(job, context_.now.steady - run.running_since);
}

// After a task of the job has ended without a result on the machine: depending on the reason, makes the job
// avoid the machine for a while, back off, both or neither.
void Scheduler::delay_next_attempt(Machine& machine, Job& job, ExitReason reason) {
  const double now = context_.now.steady;
  switch (reason) {
    case ExitReason::kError:
      record_failure(machine, job);
      break;
    case ExitReason::kInsufficientResources:
      job.avoid[machine.name] = now + context_.settings.heartbeat_interval_s * 2;
      job.backoff_until = std::max(job.backoff_until, now + c::kInsufficientResourcesBackoffS);
      break;
    case ExitReason::kBusy:
      job.backoff_until = std::max(job.backoff_until, now + context_.settings.heartbeat_interval_s);
      break;
    case ExitReason::kUnknown:
      job.backoff_until = std::max(job.backoff_until, now + c::kUnknownJobBackoffS);
      break;
    default:
      break;
  }
}

void Scheduler::drop_lost_run(Job& job, std::uint32_t index, const char* why) {
  context_.metrics.count("tasks_lost");
  spdlog::debug("task {}/{} lost: {}", name_of(job), index, why);
  placements_.remove_run(job, index);
  if (job.over() || job.done[index]) return;
  if (!job.spec.gang) return placements_.requeue_task(job, index);
  if (job.gang != GangState::kStopping) stop_gang(job, StopMode::kImmediate, why);
}

void Scheduler::drop_machine_tasks(Machine& machine, const char* why) {
  const auto tasks = machine.tasks;
  for (const auto& id : tasks) {
    if (Job* job = context_.jobs.find(id.job)) drop_lost_run(*job, id.index, why);
  }
  placements_.set_unknown_tasks(machine, {});
  mark_reconciled(machine);
  const auto reservations = machine.reservations;
  for (const auto id : reservations)
    if (Job* job = context_.jobs.find(id)) {
      placements_.release_reservations(*job);
      if (job->gang == GangState::kReserving)
        JobLedger::set_gang_state(*job, GangState::kQueued, context_.now.steady);
    }
  round_requested_ = true;
}

}  // namespace robinford::coordination
