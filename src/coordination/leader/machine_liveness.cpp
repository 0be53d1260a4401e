/// @file
/// Scheduler: detects unresponsive machines and decides when their tasks are certainly gone. docs/design.md,
/// section "What was added", "Evidence" and "Unanswered machines".
#include <spdlog/spdlog.h>

#include <algorithm>

#include "constants.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::MachineLedger;
using bookkeeping::MachineState;

double Scheduler::lease_expired_by(const Machine& machine) const {
  return last_answer_at(machine) + context_.settings.lease_s * (1 + 2 * c::kClockDrift) + c::kLeaseMarginS;
}

// Returns the latest steady time at which the machine's lease can have begun or been renewed by an answer of
// any controller.
double Scheduler::last_answer_at(const Machine& machine) const {
  if (machine.unanswered_since_ms)
    return context_.now.steady + (static_cast<double>(*machine.unanswered_since_ms - context_.now.wall_ms) +
                                  2 * context_.settings.clock_error_ms) /
                                     1000.0;
  // The lease of an agent epoch starts with the epoch, even if none of its heartbeats was answered. Without
  // agent_epoch_shown_at in this maximum, a machine that reached no controller but was given work by direct
  // commands was considered free of that work while its newest agent epoch was still running.
  double last = std::max({machine.last_answer, machine.agent_epoch_shown_at, term_began_at_});
  if (!machine.showed_token) last = std::max(last, election_.former_leaders_stopped_at());
  return last;
}

// Stops answering the machine's heartbeats until its durable record says that they are answered again, so
// that the next leader can compute the end of the machine's lease from the last answer. Without this, leaders
// that replace one another within a lease would each wait for a whole lease.
void Scheduler::stop_answering(Machine& machine) {
  if (machine.unanswered_since_ms || machine.state == MachineState::kGone) return;
  // For the first kUnansweredLeaseShare of its lease a machine that sends heartbeats again must be answered
  // at once. Waiting for a record to be written could let the lease expire, which ends the machine's tasks.
  if (context_.now.steady < last_answer_at(machine) + c::kUnansweredLeaseShare * context_.settings.lease_s)
    return;
  const double since_s = last_answer_at(machine) - context_.now.steady;
  context_.machines.set_unanswered(machine, context_.now.wall_ms + static_cast<std::int64_t>(since_s * 1000));
}

bool Scheduler::unresponsive_too_long(const Machine& machine) const {
  if (machine.state != MachineState::kUnresponsive) return false;
  const double unresponsive_since = std::max(machine.last_heartbeat, term_began_at_);
  return context_.now.steady - unresponsive_since >
         std::max(c::kGiveUpMinS, c::kGiveUpHeartbeats * context_.settings.heartbeat_interval_s);
}
// Marks a machine as unresponsive when its heartbeats have stopped, and requeues the gangs that reserve
// capacity on it.
void Scheduler::detect_missed_heartbeats(Machine& machine) {
  const double patience =
      context_.settings.heartbeat_interval_s * c::kHeartbeatJitterFactor + c::kHeartbeatRoundSlackS;
  const bool expected = machine.sent_heartbeat || (machine.unreconciled && phase_ == LeaderPhase::kServing);
  const bool present = machine.state == MachineState::kUp || machine.state == MachineState::kBooting;
  const double silent_since = std::max(machine.last_heartbeat, term_began_at_);
  if (!present || !expected || context_.now.steady - silent_since <= 2 * patience) return;
  MachineLedger::set_state(machine, MachineState::kUnresponsive);
  requeue_gangs_reserving_on(machine);
}

// Returns a machine that has not shown in time that cancelled work is gone. The tasks of a hung machine make
// no progress, but they are not gone until the machine resumes or the cloud confirms its return.
void Scheduler::return_if_cancelled_work_overdue(Machine& machine) {
  if (machine.state == MachineState::kReturning || machine.state == MachineState::kGone) return;
  if (!cancelled_work_.deadline_passed(machine)) return;
  spdlog::info("machine {} is returned: no heartbeat shows that cancelled work is gone", machine.name);
  MachineLedger::set_state(machine, MachineState::kReturning);
}

// Reports whether a direct launch to the machine is unanswered. Such a launch may still be carried out while
// the machine's agent epoch lasts. Unless a heartbeat shows a newer epoch, only the cloud's confirmation of
// the machine's return rules that out; missing heartbeats and an expired lease do not. Sets the machine to
// returning when the launch is overdue and its job is over.
bool Scheduler::check_unanswered_launches(Machine& machine) {
  if (machine.direct.empty() || machine.state == MachineState::kGone) return false;
  bool any_open = false;
  for (const auto& id : machine.tasks) {
    const Job* job = context_.jobs.find(id.job);
    if (job == nullptr) continue;
    const auto& run = job->runs.at(id.index);
    if (!run.direct || run.seen) continue;
    any_open = true;
    const bool overdue = context_.now.steady - run.launched_at > c::kUnansweredLaunchTimeoutS;
    if (!job->over() || !overdue || machine.state == MachineState::kReturning) continue;
    spdlog::info("machine {} is returned: a launch of cancelled work may still reach it", machine.name);
    MachineLedger::set_state(machine, MachineState::kReturning);
  }
  return any_open;
}

// Drops the tasks of an unresponsive or returning machine once its lease has certainly expired, unless its
// agent was reset. If a direct launch could still start work there, the machine is returned instead.
void Scheduler::handle_expired_lease(Machine& machine, bool has_open_launch) {
  if (machine.state != MachineState::kUnresponsive && machine.state != MachineState::kReturning) return;
  const bool has_work = !machine.tasks.empty() || machine.unreconciled || !machine.unknown_tasks.empty();
  if (!has_work || context_.now.steady <= lease_expired_by(machine) || machine.agent_reset) return;
  if (has_open_launch) {
    MachineLedger::set_state(machine, MachineState::kReturning);
    return;
  }
  spdlog::info("machine {}: its lease has certainly expired, its tasks are lost", machine.name);
  drop_machine_tasks(machine, "the lease of its machine has expired");
}

void Scheduler::check_machine_liveness() {
  for (auto& [name, machine] : context_.machines.all()) {
    detect_missed_heartbeats(machine);
    const bool probes_failed = machine.unreconciled && machine.probe_failures >= c::kProbeFailureThreshold;
    if (phase_ == LeaderPhase::kServing && election_.valid() &&
        (machine.state == MachineState::kUnresponsive || probes_failed))
      stop_answering(machine);
    return_if_cancelled_work_overdue(machine);
    const bool has_open_launch = check_unanswered_launches(machine);
    handle_expired_lease(machine, has_open_launch);
  }
}

void Scheduler::on_machine_gone(Machine& machine) {
  cancelled_work_.forget(machine);
  drop_machine_tasks(machine, "its machine was returned");
  MachineLedger::set_state(machine, MachineState::kGone);
  // Logged only for machines that this leader has known since their provisioning request, or since an
  // unexpected first heartbeat.
  if (machine.sent_heartbeat && machine.provisioned_at > 0 && machine.cpus > 0 &&
      machine.known_at - machine.provisioned_at < 1) {
    const double lived = context_.now.steady - machine.provisioned_at;
    const double cpu_seconds_percent = lived * machine.cpus / 100;
    spdlog::info(
        "machine {} ({}{}) lived {:.0f} s: boot {:.0f} s, useful {:.0f}%, lost {:.0f}%, fetching {:.0f}%",
        machine.name, machine.type, machine.spot ? " spot" : "", lived,
        machine.up_at - machine.provisioned_at, machine.useful / cpu_seconds_percent,
        machine.lost / cpu_seconds_percent, machine.fetching / cpu_seconds_percent);
  }
  machine.direct.clear();
  context_.machines.mark_record_for_writing(machine);
}

}  // namespace robinford::coordination
