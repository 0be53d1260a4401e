// What heartbeats prove and what their answers carry.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <tuple>

#include "constants.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::GangState;
using bookkeeping::Job;
using bookkeeping::JobLedger;
using bookkeeping::JobState;
using bookkeeping::Machine;
using bookkeeping::MachineLedger;
using bookkeeping::MachineState;
using bookkeeping::RunState;
using bookkeeping::TaskRun;
using protocol::Command;
using protocol::ExitReason;
using protocol::Heartbeat;
using protocol::TaskId;
using protocol::TaskPhase;
using protocol::TaskStatus;

namespace {
std::string name_of(const Job& job) { return protocol::job_id_text(job.spec.id); }
}  // namespace

// Whether this controller may answer a heartbeat that shows the token; if not, the heartbeat is answered
// here.
bool Scheduler::entitled(std::uint64_t key, std::uint64_t fencing_token) {
  if (fencing_token > election_.term()) {
    // Somebody newer leads: the worker must move on at once, while its lease still runs.
    election_.higher_term_seen(fencing_token);
    actions_.answer(key, 421, {});
    return false;
  }
  if (phase_ != LeaderPhase::kNone && election_.answers()) return true;
  actions_.answer(key, 421, {});
  return false;
}

void Scheduler::heartbeat(std::uint64_t key, const Heartbeat& heartbeat) {
  if (!entitled(key, heartbeat.fencing_token)) return;
  if (phase_ == LeaderPhase::kLoading) {
    if (early_.size() >= context_.per_machine(c::kEarlyPerMb)) return actions_.answer(key, 503, {});
    early_.emplace_back(key, heartbeat);
    return;
  }
  Machine* machine = context_.machines.find(heartbeat.machine);
  if (machine == nullptr) {
    machine = &context_.machines.add(heartbeat.machine, context_.now.steady);
    machine->provisioned_at = context_.now.steady;
    spdlog::info("machine {}: heartbeat of an unexpected machine", heartbeat.machine);
  }
  if (machine->state == MachineState::kGone) return actions_.answer(key, 503, {});
  if (machine->unanswered_since_ms || machine->unanswered_on_record) {
    // Its lease is not renewed before its record allows it. It sends another heartbeat about a second later.
    context_.machines.clear_unanswered(*machine);
    return actions_.answer(key, 503, {});
  }
  if (machine->saw_term && (heartbeat.fencing_token < election_.term() ||
                            !MachineLedger::newer(*machine, heartbeat.agent_epoch, heartbeat.seq))) {
    // A late copy: it renews nothing. Or the machine was reset, which only a probe can tell.
    probe_if_suspect(*machine);
    return actions_.answer(key, 503, {});
  }
  if (heartbeat.fencing_token < election_.term()) {
    // It may be a copy from long ago, and an earlier leader's launch may still be on its way: it proves
    // nothing. Our token in the answer ends both, and its next heartbeat shows it.
    first_contact(*machine, heartbeat);
    machine->last_answer = context_.now.steady;
    return actions_.answer(key, 200, {});
  }
  apply_heartbeat(*machine, heartbeat, false);
  serve_machine(key, *machine);
}

bool Scheduler::unchanged_heartbeat(std::uint64_t key, const std::string& name, std::uint64_t agent_epoch,
                                    std::uint64_t seq, std::uint64_t fencing_token, std::uint64_t base_seq) {
  Machine* machine = phase_ == LeaderPhase::kLoading || fencing_token != election_.term()
                         ? nullptr
                         : context_.machines.find(name);
  if (machine == nullptr || !machine->saw_term || machine->agent_epoch != agent_epoch ||
      machine->seq != base_seq || seq <= base_seq || machine->state == MachineState::kGone ||
      machine->unanswered_since_ms || machine->unanswered_on_record || !machine->clears.empty() ||
      !machine->unknown_tasks.empty())
    return false;
  // A launch that was in flight is settled by a heartbeat that does not show it, so those are looked at in
  // full.
  for (const auto& id : machine->tasks)
    if (const Job* job = context_.jobs.find(id.job);
        job == nullptr || job->runs.at(id.index).state == RunState::kLaunched)
      return false;
  if (!entitled(key, fencing_token)) return true;
  machine->seq = seq;
  record_contact(*machine, agent_epoch, seq);
  confirm_reservations(*machine);
  serve_machine(key, *machine);
  return true;
}

// The machine's own heartbeat may carry work in its answer.
void Scheduler::serve_machine(std::uint64_t key, Machine& machine) {
  if (may_place() && machine.state == MachineState::kUp) {
    // The heartbeat that confirms the last reservation of a gang carries the launch in its own answer.
    check_reserving_gangs(machine);
    fill(machine);
  }
  answer_heartbeat(machine, key);
}

void Scheduler::answer_heartbeat(Machine& machine, std::uint64_t key) {
  machine.last_answer = context_.now.steady;
  context_.metrics.count("heartbeats");
  actions_.answer(key, 200, commands_for(machine));
}

void Scheduler::first_contact(Machine& machine, const Heartbeat& heartbeat) {
  machine.addr = heartbeat.addr;
  machine.agent_epoch_guess = std::max(machine.agent_epoch_guess, heartbeat.agent_epoch);
  if (!machine.unreconciled && (machine.type != heartbeat.type || machine.zone != heartbeat.zone)) {
    machine.type = heartbeat.type;
    machine.zone = heartbeat.zone;
    machine.spot = heartbeat.spot;
    know_type(machine);
  }
  if (machine.recorded_addr != machine.addr) context_.machines.touch(machine);
  // It was answered with our token again and again and still does not show it: our answers don't reach it.
  if (++machine.unproven_answers >= c::kUnprovenMost) probe_if_suspect(machine);
}

// Liveness: only a newer word of the machine counts.
void Scheduler::record_contact(Machine& machine, std::uint64_t agent_epoch, std::uint64_t seq) {
  const double now = context_.now.steady;
  if (!machine.saw_term || machine.agent_epoch != agent_epoch) machine.agent_epoch_shown_at = now;
  machine.agent_epoch = agent_epoch;
  machine.seq = seq;
  machine.saw_term = true;
  machine.unproven_answers = 0;
  context_.machines.clear_unanswered(machine);
  mark_reconciled(machine);
  machine.last_heartbeat = now;
  if (!machine.sent_heartbeat) {
    machine.sent_heartbeat = true;
    machine.up_at = now;
    machine.idle_since = now;
    if (machine.provisioned_at > 0 && machine.known_at - machine.provisioned_at < 1)
      context_.boots.record(machine.type, now - machine.provisioned_at);
    if (machine.provisioned_at > 0)
      spdlog::info("machine {} up {:.1f} s after its provisioning request", machine.name,
                   now - machine.provisioned_at);
  }
  if (machine.state == MachineState::kBooting || machine.state == MachineState::kUnresponsive)
    MachineLedger::set_state(machine, MachineState::kUp);
  if (!machine.tasks.empty() || !machine.reservations.empty()) machine.idle_since = now;
  dirty_ = true;
}

// The heartbeat is the evidence that reservations wait for: the capacity is still free.
void Scheduler::confirm_reservations(Machine& machine) {
  for (const auto id : machine.reservations) {
    Job* job = context_.jobs.find(id);
    if (job == nullptr) continue;
    for (auto& reservation : job->reservations)
      if (reservation.machine == machine.name && reservation.made_at < context_.now.steady)
        reservation.confirmed = true;
  }
}

// What a newer heartbeat of a machine proves, once it shows our token. `direct`: it came as the answer to a
// direct command, and a launch in the answer to the last real heartbeat may still be under way to the worker.
namespace {
// Each task once. Should one stand twice, the live attempt is the one that matters.
std::map<TaskId, const TaskStatus*> tasks_shown(const Heartbeat& heartbeat) {
  std::map<TaskId, const TaskStatus*> shown;
  for (const auto& task : heartbeat.tasks) {
    auto& slot = shown[task.task];
    if (slot == nullptr || slot->phase == TaskPhase::kExited) slot = &task;
  }
  return shown;
}
}  // namespace

void Scheduler::apply_heartbeat(Machine& machine, const Heartbeat& heartbeat, bool direct) {
  const bool agent_restarted = machine.saw_term && heartbeat.agent_epoch > machine.agent_epoch;
  if (agent_restarted) on_agent_restart(machine);
  take_machine_facts(machine, heartbeat);
  const auto shown = tasks_shown(heartbeat);
  placements_.set_unknown_tasks(machine, {});
  machine.clears.clear();
  std::set<TaskId> settled;
  const std::set<TaskId> known = machine.tasks;
  for (const auto& id : known) {
    Job* job = context_.jobs.find(id.job);
    if (job == nullptr) continue;
    const auto found = job->runs.find(id.index);
    if (found == job->runs.end()) continue;
    const auto entry = shown.find(id);
    if (entry == shown.end() || entry->second->attempt != found->second.attempt)
      run_not_shown(machine, *job, id.index, {agent_restarted, direct});
    else if (run_shown(machine, *job, id.index, *entry->second))
      settled.insert(id);
  }
  adopt_unknown(machine, shown, settled);
  for (const auto& task : heartbeat.tasks) {
    // The second entry of a task that stands twice.
    if (shown.at(task.task) != &task && task.phase == TaskPhase::kExited) clear_later(machine, task);
  }
  confirm_reservations(machine);
  cancelled_work_.update(machine);
}

void Scheduler::on_agent_restart(Machine& machine) {
  // Its lease ran out though we answered its heartbeats in time: the answers don't get there.
  if (context_.now.steady - machine.last_answer < context_.settings.lease_s * 0.5)
    note_undelivered(machine, c::kUndeliveredMost);
  // Commands for the old agent epoch are refused from now on.
  machine.direct.clear();
}

// Address, type, zone, kind, counters and notice.
void Scheduler::take_machine_facts(Machine& machine, const Heartbeat& heartbeat) {
  machine.addr = heartbeat.addr;
  if (machine.type != heartbeat.type || machine.zone != heartbeat.zone || machine.spot != heartbeat.spot ||
      machine.cpus <= 0) {
    mark_reconciled(machine);
    machine.type = heartbeat.type;
    machine.zone = heartbeat.zone;
    machine.spot = heartbeat.spot;
    know_type(machine);
  }
  if (machine.recorded_addr != machine.addr) context_.machines.touch(machine);
  record_contact(machine, heartbeat.agent_epoch, heartbeat.seq);
  const bool had_interruption_notice = machine.interruption_at.has_value();
  machine.interruption_at = heartbeat.interruption_notice_s
                                ? std::optional(context_.now.steady + *heartbeat.interruption_notice_s)
                                : std::nullopt;
  if (machine.interruption_at && !had_interruption_notice)
    spdlog::info("machine {}: interruption notice, {:.0f} s left", machine.name,
                 *heartbeat.interruption_notice_s);
}

// A run of ours that the heartbeat does not show.
void Scheduler::run_not_shown(Machine& machine, Job& job, std::uint32_t index,
                              const HeartbeatContext& context) {
  const TaskRun& run = job.runs.at(index);
  if (run.state == RunState::kPlanned) return;
  if (run.seen)
    return run_lost(job, index,
                    context.agent_restarted ? "its machine began a new agent epoch"
                                            : "it is not on its machine any more");
  // Not shown yet. A direct command may still be carried out while its agent epoch lasts. Else a real
  // heartbeat that is newer than the one whose answer carried the launch settles it: the worker has taken or
  // dropped that answer before it sent another heartbeat. A direct answer settles nothing.
  const bool settled = run.direct ? machine.agent_epoch > run.launch_agent_epoch
                                  : !context.direct && std::tie(machine.agent_epoch, machine.seq) >
                                                           std::tie(run.launch_agent_epoch, run.launch_seq);
  if (!settled) return;
  if (!run.direct) {
    note_undelivered(machine, 1);
    job.avoid[machine.name] = context_.now.steady + context_.settings.heartbeat_interval_s;
  }
  run_lost(job, index, "the launch did not arrive");
}

// A run of ours, as the heartbeat shows it. True: it has ended.
bool Scheduler::run_shown(Machine& machine, Job& job, std::uint32_t index, const TaskStatus& task) {
  TaskRun& run = job.runs.at(index);
  if (!run.seen) machine.undelivered = machine.probe_failures = 0;  // it took a command
  run.seen = true;
  if (task.phase == TaskPhase::kExited) {
    task_exited(machine, job, index, task);
    return true;
  }
  if (run.state == RunState::kLaunched || run.state == RunState::kPlanned)
    JobLedger::set_run(job, run, RunState::kPresent);
  if (task.phase == TaskPhase::kRunning && run.phase != TaskPhase::kRunning) run_began(machine, job, run);
  run.phase = task.phase;
  return false;
}

void Scheduler::run_began(Machine& machine, Job& job, TaskRun& run) {
  const double now = context_.now.steady;
  run.running_since = now;
  machine.fetching += (now - run.launched_at) * job.spec.cpus;
  machine.images[job.spec.image] = now;
  if (job.first_start != 0) return;
  job.first_start = now;
  const double waited = (context_.now.wall_ms - job.submitted_ms) / 1000.0;
  if (job.spec.gang) spdlog::debug("gang {} first runs {:.1f} s after its submission", name_of(job), waited);
  context_.metrics.record(job.spec.gang ? Metrics::Spread::kGangWait : Metrics::Spread::kArrayWait,
                          std::max(0.0, waited));
}

// Tasks that are no runs of ours: an earlier leader's, or old attempts.
void Scheduler::adopt_unknown(Machine& machine, const std::map<TaskId, const TaskStatus*>& shown,
                              const std::set<TaskId>& settled) {
  for (const auto& [id, task] : shown) {
    if (settled.contains(id)) continue;
    if (const Job* job = context_.jobs.find(id.job)) {
      const auto run = job->runs.find(id.index);
      if (run != job->runs.end() && run->second.machine == machine.name &&
          run->second.attempt == task->attempt)
        continue;
    }
    adopt(machine, *task);
  }
}

// An attempt that a direct command started stays listed: the command may come once more, and would start it
// again.
void Scheduler::clear_later(Machine& machine, const TaskStatus& task) {
  if (!machine.direct.contains({task.task, task.attempt}))
    machine.clears.push_back({task.task, task.attempt});
}

void Scheduler::adopt(Machine& machine, const TaskStatus& task) {
  Job* job = context_.jobs.find(task.task.job);
  if (task.phase == TaskPhase::kExited) {
    clear_later(machine, task);
    if (job == nullptr || job->state != JobState::kActive || task.exit_reason != ExitReason::kDone ||
        task.task.index >= job->spec.tasks)
      return;
    // A result is kept whoever started it. The tasks of a gang complete together.
    if (job->spec.gang) {
      for (std::uint32_t i = 0; i < job->spec.tasks; ++i) job->mark_done(i);
    } else {
      job->mark_done(task.task.index);
    }
    if (job->done_count == job->spec.tasks) complete(*job);
    return;
  }
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
  run.planned_at = run.launched_at = run.running_since = context_.now.steady;
  job->attempt = task.attempt;
  placements_.add_run(*job, task.task.index, run, machine);
  machine.images[job->spec.image] = context_.now.steady;
  if (job->spec.gang && job->gang == GangState::kStopping) stop_run(*job, task.task.index, 0);
}

void Scheduler::task_exited(Machine& machine, Job& job, std::uint32_t index, const TaskStatus& task) {
  const double now = context_.now.steady;
  const TaskRun run = job.runs.at(index);
  placements_.remove_run(job, index);
  if (run.running_since > 0)
    (task.exit_reason == ExitReason::kDone || task.saved ? machine.useful : machine.lost) +=
        (now - run.running_since) * job.spec.cpus;
  if (spdlog::should_log(spdlog::level::debug))
    spdlog::debug("task {} attempt {} on {}: {}{}", protocol::task_text(task.task), task.attempt,
                  machine.name, protocol::to_text(task.exit_reason), task.saved ? ", saved" : "");
  if (task.exit_reason == ExitReason::kDone) {
    machine.errors = 0;
    machine.error_jobs.clear();
    job.failures = 0;
    job.failed_on.clear();
    if (run.running_since > 0 && run.running_since > run.planned_at)
      run_times_.completed(job, now - run.running_since);
    if (job.state == JobState::kActive) {
      if (job.spec.gang) {
        // The tasks of a gang complete together.
        for (std::uint32_t i = 0; i < job.spec.tasks; ++i) job.mark_done(i);
      } else {
        job.mark_done(index);
      }
      if (job.done_count == job.spec.tasks) complete(job);
    }
    clear_later(machine, task);
    context_.metrics.count("tasks_done");
    return;
  }
  clear_later(machine, task);
  if (job.over()) return;
  switch (task.exit_reason) {
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
      job.backoff_until = std::max(job.backoff_until, now + c::kUnknownBackoffS);
      break;
    default:
      break;
  }
  if (!job.spec.gang) {
    placements_.return_task(job, index);
    return;
  }
  if (job.gang != GangState::kStopping) stop_gang(job, false, protocol::to_text(task.exit_reason));
}

void Scheduler::run_lost(Job& job, std::uint32_t index, const char* why) {
  context_.metrics.count("tasks_lost");
  spdlog::debug("task {}/{} lost: {}", name_of(job), index, why);
  placements_.remove_run(job, index);
  if (job.over()) return;
  if (!job.spec.gang) return placements_.return_task(job, index);
  if (job.gang != GangState::kStopping) stop_gang(job, false, why);
}

void Scheduler::lose_tasks(Machine& machine, const char* why) {
  const auto tasks = machine.tasks;
  for (const auto& id : tasks) {
    if (Job* job = context_.jobs.find(id.job)) run_lost(*job, id.index, why);
  }
  placements_.set_unknown_tasks(machine, {});
  mark_reconciled(machine);
  const auto reservations = machine.reservations;
  for (const auto id : reservations)
    if (Job* job = context_.jobs.find(id)) {
      placements_.release_reservations(*job);
      if (job->gang == GangState::kReserving)
        JobLedger::set_gang(*job, GangState::kQueued, context_.now.steady);
    }
  dirty_ = true;
}

// A failed task speaks against its machine, its job, or both: a machine that fails different jobs is set
// aside, a job that fails on different machines is tried ever more rarely.
void Scheduler::record_failure(Machine& machine, Job& job) {
  const double now = context_.now.steady;
  ++machine.errors;
  machine.error_jobs.insert(job.spec.id);
  job.failed_on.insert(machine.name);
  ++job.failures;
  job.avoid[machine.name] = now + c::kAvoidS;
  const bool job_suspect = static_cast<int>(job.failed_on.size()) >= c::kJobSuspectMachines;
  const bool works_elsewhere = !job_suspect && (job.done_count > 0 || !job.runs.empty());
  if (job_suspect || job.spec.gang) {
    const double pause = std::min(
        c::kBackoffMaxS, c::kBackoffFirstS * std::pow(2.0, std::max(0.0, job.failed_on.size() - 2.0)));
    job.backoff_until = std::max(job.backoff_until, now + (job_suspect ? pause : 0.0));
  }
  const bool sick = static_cast<int>(machine.error_jobs.size()) >= c::kMachineSuspectErrors ||
                    (works_elsewhere && machine.errors > c::kMachineSuspectErrors);
  spdlog::info("task of {} failed on {} ({} in a row there)", name_of(job), machine.name, machine.errors);
  if (sick && !machine.cordoned) {
    cordon(machine, "it fails the tasks of different jobs");
    stop_machine_tasks(machine, "machine cordoned");
  }
}

void Scheduler::cordon(Machine& machine, const char* why) {
  if (machine.cordoned) return;
  machine.cordoned = true;
  context_.metrics.count("machines_cordoned");
  spdlog::info("machine {} is cordoned: {}", machine.name, why);
}

// Commands that newer heartbeats show were never taken. Whether the machine is unreachable is settled by a
// probe.
void Scheduler::note_undelivered(Machine& machine, int by) {
  machine.undelivered += by;
  if (machine.undelivered >= c::kUndeliveredMost) probe_if_suspect(machine);
}

void Scheduler::probe_if_suspect(Machine& machine) {
  if (machine.open_probes > 0 || context_.now.steady - machine.last_probe_at < c::kSuspectProbeEveryS) return;
  direct_.probe(machine);
}

void Scheduler::launched(Machine& machine, Job& job, TaskRun& run, bool direct) {
  JobLedger::set_run(job, run, RunState::kLaunched);
  run.launched_at = context_.now.steady;
  run.launch_agent_epoch = machine.agent_epoch;
  run.launch_seq = machine.seq;
  run.direct = direct;
  context_.metrics.count(direct ? "launches_direct" : "launches");
  if (first_launch_seen_) return;
  first_launch_seen_ = true;
  context_.metrics.record(Metrics::Spread::kFailover, context_.now.steady - began_);
  spdlog::info("first launch {:.2f} s into term {}", context_.now.steady - began_, election_.term());
}

std::vector<Command> Scheduler::commands_for(Machine& machine) {
  std::vector<Command> commands;
  const bool may_launch = may_place() && machine.state == MachineState::kUp && machine.recorded;
  const auto has_space = [&] { return commands.size() < c::kCommandsMax; };
  for (const auto& unknown_task : machine.unknown_tasks)
    if (has_space()) commands.push_back({Command::Op::kStop, unknown_task.task, unknown_task.attempt, 0});
  // Completions may be cleared before they are durable: a task that is started again ends at once, as done.
  if (election_.valid()) {
    for (const auto& clear : machine.clears)
      if (has_space()) commands.push_back({Command::Op::kClear, clear.task, clear.attempt, 0});
  }
  for (const auto& id : machine.tasks) {
    Job* job = context_.jobs.find(id.job);
    if (job == nullptr || !has_space()) continue;
    auto& run = job->runs.at(id.index);
    if (run.state == RunState::kStopping) {
      // A direct launch that nobody answered may still come. Begun and ended here it stays listed as ended,
      // and then does nothing. Of a job that is over nothing may begin: its machine is given up instead
      // (watch_machines).
      if (run.direct && !run.seen && !job->over())
        commands.push_back({Command::Op::kLaunch, id, run.attempt, 0});
      commands.push_back({Command::Op::kStop, id, run.attempt, run.stop_grace});
    } else if (run.state == RunState::kLaunched && run.direct && !run.seen && may_launch &&
               job->state == JobState::kActive) {
      commands.push_back({Command::Op::kLaunch, id, run.attempt, 0});  // the direct command may be lost
    } else if (run.state == RunState::kPlanned && may_launch && job->state == JobState::kActive &&
               (!job->spec.gang || job->gang == GangState::kLaunching)) {
      commands.push_back({Command::Op::kLaunch, id, run.attempt, 0});
      launched(machine, *job, run, false);
    }
  }
  return commands;
}

}  // namespace robinford::coordination
