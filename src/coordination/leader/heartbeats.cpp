/// @file
/// Scheduler: decides which heartbeats are answered and builds the commands for the answers.
#include <spdlog/spdlog.h>

#include <algorithm>
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
using bookkeeping::MachineLedger;
using bookkeeping::MachineState;
using bookkeeping::RunState;
using bookkeeping::TaskRun;
using protocol::Command;
using protocol::Heartbeat;

// Returns whether this controller may answer a heartbeat that carries `fencing_token`. If not, rejects the
// heartbeat with status 421.
bool Scheduler::authorize_heartbeat(std::uint64_t key, std::uint64_t fencing_token) {
  if (fencing_token > election_.term()) {
    // A newer leader exists. The worker must switch to it at once, while its lease is still valid.
    election_.higher_term_seen(fencing_token);
    actions_.answer(key, 421, {});
    return false;
  }
  if (phase_ != LeaderPhase::kNone && election_.may_answer_heartbeats()) return true;
  actions_.answer(key, 421, {});
  return false;
}

// Refuses the heartbeat if it comes from a machine whose agent is known to have been reset. Returns whether
// it does. Such a worker may carry a token above that of this term, which this leader itself has given it.
bool Scheduler::answer_reset_machine(std::uint64_t key, const Heartbeat& heartbeat) {
  if (phase_ == LeaderPhase::kNone || phase_ == LeaderPhase::kLoading) return false;
  Machine* machine = context_.machines.find(heartbeat.machine);
  if (machine == nullptr || !machine->agent_reset) return false;
  if (machine->state != MachineState::kGone) isolate_reset_machine(*machine, heartbeat);
  actions_.answer(key, 503, {});
  return true;
}

void Scheduler::heartbeat(std::uint64_t key, const Heartbeat& heartbeat) {
  if (answer_reset_machine(key, heartbeat)) return;
  if (!authorize_heartbeat(key, heartbeat.fencing_token)) return;
  if (phase_ == LeaderPhase::kLoading) {
    if (early_heartbeats_.size() >= context_.max_machine_entries(c::kEarlyHeartbeatsPerMb))
      return actions_.answer(key, 503, {});
    early_heartbeats_.push_back({key, heartbeat});
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
    // The lease must not be renewed while a durable record may say that the machine is not answered, because
    // the next leader computes the end of the lease from that record. The worker retries about a second
    // later.
    context_.machines.clear_unanswered(*machine);
    return actions_.answer(key, 503, {});
  }
  if (machine->showed_token && (heartbeat.fencing_token < election_.term() ||
                                !MachineLedger::newer(*machine, heartbeat.agent_epoch, heartbeat.seq))) {
    // Either a delayed or duplicate heartbeat, which must not renew the lease, or the agent was reset and its
    // counters restarted. If the counters do not tell the two cases apart, a probe does, and at once where a
    // late copy of a launch could start a task.
    const bool newer = MachineLedger::newer(*machine, heartbeat.agent_epoch, heartbeat.seq);
    const bool token_lost =
        heartbeat.fencing_token < election_.term() && direct_commands_.launches_directly();
    if (token_lost && newer)
      return_reset_machine(*machine, heartbeat);
    else if (token_lost && machine->open_probes == 0)
      direct_commands_.probe(*machine);
    else
      probe_if_suspect(*machine);
    return actions_.answer(key, 503, {});
  }
  if (heartbeat.fencing_token < election_.term()) {
    // The heartbeat may be an old duplicate, and a launch by an earlier leader may still be in flight, so its
    // task list is not used. Once the worker has received this leader's fencing token in the answer, neither
    // is possible, and its next heartbeat carries the token.
    record_stale_term_heartbeat(*machine, heartbeat);
    machine->last_answer = context_.now.steady;
    return actions_.answer(key, 200, {});
  }
  apply_heartbeat(*machine, heartbeat, HeartbeatSource::kWorker);
  if (machine->agent_reset) return actions_.answer(key, 503, {});
  serve_machine(key, *machine);
}

bool Scheduler::unchanged_heartbeat(std::uint64_t key, const std::string& name, std::uint64_t agent_epoch,
                                    std::uint64_t seq, std::uint64_t fencing_token, std::uint64_t base_seq) {
  Machine* machine = phase_ == LeaderPhase::kLoading || fencing_token != election_.term()
                         ? nullptr
                         : context_.machines.find(name);
  if (machine == nullptr || machine->agent_reset || !machine->showed_token ||
      machine->agent_epoch != agent_epoch || machine->seq != base_seq || seq <= base_seq ||
      machine->state == MachineState::kGone || machine->unanswered_since_ms ||
      machine->unanswered_on_record || !machine->clears.empty() || !machine->unknown_tasks.empty())
    return false;
  // Only a full heartbeat can show that a launch in flight has failed, by not listing the task.
  for (const auto& id : machine->tasks)
    if (const Job* job = context_.jobs.find(id.job);
        job == nullptr || job->runs.at(id.index).state == RunState::kLaunched)
      return false;
  if (!authorize_heartbeat(key, fencing_token)) return true;
  machine->seq = seq;
  record_liveness(*machine, agent_epoch, seq);
  confirm_reservations(*machine);
  serve_machine(key, *machine);
  return true;
}

// Answers a heartbeat, after placing tasks on the machine so that the answer can carry their launches.
void Scheduler::serve_machine(std::uint64_t key, Machine& machine) {
  if (may_place() && machine.state == MachineState::kUp) {
    // If this heartbeat confirms the last reservation of a gang, its answer can already carry the launch.
    advance_gangs_reserving_on(machine);
    place_arrays(machine);
  }
  answer_heartbeat(machine, key);
}

void Scheduler::answer_heartbeat(Machine& machine, std::uint64_t key) {
  machine.last_answer = context_.now.steady;
  context_.metrics.count("heartbeats");
  actions_.answer(key, 200, commands_for(machine));
}

void Scheduler::record_stale_term_heartbeat(Machine& machine, const Heartbeat& heartbeat) {
  machine.addr = heartbeat.addr;
  machine.agent_epoch_guess = std::max(machine.agent_epoch_guess, heartbeat.agent_epoch);
  if (!machine.unreconciled && (machine.type != heartbeat.type || machine.zone != heartbeat.zone)) {
    machine.type = heartbeat.type;
    machine.zone = heartbeat.zone;
    machine.spot = heartbeat.spot;
    set_capacity_from_catalog(machine);
  }
  if (machine.recorded_addr != machine.addr) context_.machines.mark_record_for_writing(machine);
  // The machine was answered with this leader's token several times and still does not send it, so the
  // answers probably do not reach the machine.
  if (++machine.unproven_answers >= c::kUnprovenAnswersMax) probe_if_suspect(machine);
}

// Records that the machine is alive. Called only for heartbeats that are newer than the last one applied.
void Scheduler::record_liveness(Machine& machine, std::uint64_t agent_epoch, std::uint64_t seq) {
  const double now = context_.now.steady;
  if (!machine.showed_token || machine.agent_epoch != agent_epoch) machine.agent_epoch_shown_at = now;
  machine.agent_epoch = agent_epoch;
  machine.seq = seq;
  machine.showed_token = true;
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
  round_requested_ = true;
}

// Confirms the reservations that were made before this heartbeat arrived. Their capacity is not compared with
// the tasks that the heartbeat lists, so a heartbeat that lists unknown tasks also confirms the reservations.
void Scheduler::confirm_reservations(Machine& machine) {
  for (const auto id : machine.reservations) {
    Job* job = context_.jobs.find(id);
    if (job == nullptr) continue;
    for (auto& reservation : job->reservations)
      if (reservation.machine == machine.name && reservation.made_at < context_.now.steady)
        reservation.confirmed = true;
  }
}

// Counts the launch, and reports work that is repeated without progress. The tasks of a gang are launched
// together, so only the first counts.
void Scheduler::record_launch(Job& job, std::uint32_t index) {
  if (job.spec.gang && index > 0) return;
  const auto launches = job.launches.record_launch(index, context_.now.steady);
  if (launches <= c::kLaunchesWithoutBackoff) return;
  context_.metrics.count("launches_repeated");
  if (context_.now.steady - job.repeated_launches_logged_at < c::kRepeatedLaunchLogIntervalS) return;
  job.repeated_launches_logged_at = context_.now.steady;
  spdlog::warn(
      "job {}: task {} is launched for the {}th time in a row without progress; the next launch waits {:.0f} "
      "s",
      protocol::job_id_text(job.spec.id), index, launches,
      job.launches.next_launch_at(index) - context_.now.steady);
}

void Scheduler::mark_launched(Machine& machine, Job& job, std::uint32_t index, LaunchPath path) {
  TaskRun& run = job.runs.at(index);
  const bool direct = path == LaunchPath::kDirectCommand;
  JobLedger::set_run_state(job, run, RunState::kLaunched);
  run.launched_at = context_.now.steady;
  run.launch_agent_epoch = machine.agent_epoch;
  run.launch_seq = machine.seq;
  run.direct = direct;
  context_.metrics.count(direct ? "launches_direct" : "launches");
  record_launch(job, index);
  if (first_launch_seen_) return;
  first_launch_seen_ = true;
  context_.metrics.record(Metrics::Distribution::kFailover, context_.now.steady - term_began_at_);
  spdlog::info("first launch {:.2f} s into term {}", context_.now.steady - term_began_at_, election_.term());
}

// Whether a planned run of the task may be launched now: never once the task's result is known.
bool Scheduler::may_launch_task(const Job& job, std::uint32_t index) {
  return job.state == JobState::kActive && !job.done[index] &&
         (!job.spec.gang || job.gang == GangState::kLaunching);
}

std::vector<Command> Scheduler::commands_for(Machine& machine) {
  std::vector<Command> commands;
  const bool may_launch = may_place() && machine.state == MachineState::kUp && machine.recorded;
  const auto has_space = [&] { return commands.size() < c::kCommandsPerAnswerMax; };
  for (const auto& unknown_task : machine.unknown_tasks)
    if (has_space()) commands.push_back({Command::Op::kStop, unknown_task.task, unknown_task.attempt, 0});
  // Exited tasks may be cleared before their completions are durable: a completed task that is launched again
  // ends at once as done.
  if (election_.valid()) {
    for (const auto& clear : machine.clears)
      if (has_space()) commands.push_back({Command::Op::kClear, clear.task, clear.attempt, 0});
  }
  for (const auto& id : machine.tasks) {
    Job* job = context_.jobs.find(id.job);
    if (job == nullptr || !has_space()) continue;
    auto& run = job->runs.at(id.index);
    if (run.state == RunState::kStopping) {
      // An unanswered direct launch may still arrive. Launching and stopping the attempt here leaves it
      // listed as exited, so that the late command has no effect. No task of a job that is over may be
      // started, so its machine is returned instead (check_unanswered_launches).
      if (run.direct && !run.seen && !job->over())
        commands.push_back({Command::Op::kLaunch, id, run.attempt, 0});
      commands.push_back({Command::Op::kStop, id, run.attempt, run.stop_grace});
    } else if (run.state == RunState::kLaunched && run.direct && !run.seen && may_launch &&
               job->state == JobState::kActive && !job->done[id.index]) {
      commands.push_back({Command::Op::kLaunch, id, run.attempt, 0});  // in case the direct command was lost
    } else if (run.state == RunState::kPlanned && may_launch && may_launch_task(*job, id.index)) {
      commands.push_back({Command::Op::kLaunch, id, run.attempt, 0});
      mark_launched(machine, *job, id.index, LaunchPath::kHeartbeatAnswer);
    }
  }
  return commands;
}

}  // namespace robinford::coordination
