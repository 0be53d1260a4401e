// Machines that fall unresponsive, and what their silence proves.
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

double Scheduler::lease_over_at(const Machine& machine) const {
  return last_answer_at(machine) + context_.settings.lease_s * (1 + 2 * c::kClockDrift) + c::kLeaseMarginS;
}

// The last moment (steady) at which any controller can have answered one of its heartbeats.
double Scheduler::last_answer_at(const Machine& machine) const {
  if (machine.unanswered_since_ms)
    return context_.now.steady + (static_cast<double>(*machine.unanswered_since_ms - context_.now.wall_ms) +
                                  2 * context_.settings.clock_error_ms) /
                                     1000.0;
  // An agent epoch without an answered heartbeat has its lease from its beginning. A machine that reached no
  // controller, and was given work by direct commands, was once taken for free of it while its newest agent
  // epoch still ran.
  double last = std::max({machine.last_answer, machine.agent_epoch_shown_at, began_});
  if (!machine.saw_term) last = std::max(last, election_.former_leaders_stopped_at());
  return last;
}

// From now on its heartbeats are answered only once its record says so: whoever leads next can reckon its
// lease from the last answer. Leaders that followed one another within a lease each waited for a whole one
// before.
void Scheduler::stop_answering(Machine& machine) {
  if (machine.unanswered_since_ms || machine.state == MachineState::kGone) return;
  // A machine that comes back earlier must be answered at once, or its tasks end with its lease.
  if (context_.now.steady < last_answer_at(machine) + c::kUnansweredLeaseShare * context_.settings.lease_s)
    return;
  const double since_s = last_answer_at(machine) - context_.now.steady;
  context_.machines.set_unanswered(machine, context_.now.wall_ms + static_cast<std::int64_t>(since_s * 1000));
}
bool Scheduler::give_up(const Machine& machine) const {
  if (machine.state != MachineState::kUnresponsive) return false;
  const double unresponsive_since = std::max(machine.last_heartbeat, began_);
  return context_.now.steady - unresponsive_since >
         std::max(c::kUnresponsiveMinS, c::kUnresponsiveHeartbeats * context_.settings.heartbeat_interval_s);
}
void Scheduler::watch_machines() {
  const double now = context_.now.steady;
  const double patience = context_.settings.heartbeat_interval_s * c::kHeartbeatJitter + c::kRoundSlackS;
  for (auto& [name, machine] : context_.machines.all()) {
    const bool expected = machine.sent_heartbeat || (machine.unreconciled && phase_ == LeaderPhase::kServing);
    if ((machine.state == MachineState::kUp || machine.state == MachineState::kBooting) && expected &&
        now - std::max(machine.last_heartbeat, began_) > 2 * patience) {
      MachineLedger::set_state(machine, MachineState::kUnresponsive);
      requeue_reserving_gangs(machine);
    }
    const bool unproven_answers = machine.unreconciled && machine.probe_failures >= c::kProbesEnough;
    if (phase_ == LeaderPhase::kServing && election_.valid() &&
        (machine.state == MachineState::kUnresponsive || unproven_answers))
      stop_answering(machine);
    // A machine that hangs runs nothing, but what is on it is not gone before it moves again, or the cloud
    // says so.
    const bool late = std::any_of(machine.overdue.begin(), machine.overdue.end(),
                                  [&](const auto& entry) { return now >= entry.second; });
    if (late && machine.state != MachineState::kReturning && machine.state != MachineState::kGone) {
      spdlog::info("machine {} is returned: no heartbeat shows that cancelled work is gone", name);
      MachineLedger::set_state(machine, MachineState::kReturning);
    }
    // Launches sent straight to the machine that nobody answered: while its agent epoch lasts they may still
    // be carried out, and neither silence nor a lease that is over ends that. Only the cloud's word does.
    bool open_launch = false;
    if (!machine.direct.empty() && machine.state != MachineState::kGone) {
      for (const auto& id : machine.tasks) {
        const Job* job = context_.jobs.find(id.job);
        if (job == nullptr) continue;
        const auto& run = job->runs.at(id.index);
        if (!run.direct || run.seen) continue;
        open_launch = true;
        if (job->over() && now - run.launched_at > c::kUnansweredLaunchS &&
            machine.state != MachineState::kReturning) {
          spdlog::info("machine {} is returned: a launch of cancelled work may still reach it", name);
          MachineLedger::set_state(machine, MachineState::kReturning);
        }
      }
    }
    if (machine.state == MachineState::kUnresponsive || machine.state == MachineState::kReturning) {
      const bool has_work = !machine.tasks.empty() || machine.unreconciled || !machine.unknown_tasks.empty();
      if (!has_work || now <= lease_over_at(machine) || machine.agent_reset) continue;
      if (open_launch) {
        MachineLedger::set_state(machine, MachineState::kReturning);
        continue;
      }
      spdlog::info("machine {}: its lease has expired for certain", name);
      lose_tasks(machine, "the lease of its machine is over");
    }
  }
}
void Scheduler::expect_cancelled_work_gone(Machine& machine, const Job& job) {
  const double now = context_.now.steady, cancel_s = context_.settings.cancel_s;
  const double lease = context_.settings.lease_s * (1 + 2 * c::kClockDrift) + c::kLeaseMarginS;
  const double patience =
      std::max(c::kOverdueShare / 2 * cancel_s,
               std::min(std::max(c::kOverdueShare * cancel_s, lease), cancel_s - c::kOverdueLeadS));
  const double announced =
      now - (job.cancelled_ms > 0 ? std::max(0.0, (context_.now.wall_ms - job.cancelled_ms) / 1000.0) : 0.0);
  double limit = announced + patience;
  // A new leader hears of old cancellations: each machine first gets the time of a round, or what is left of
  // the time that the cancellation has. All of them were once given back in the moment when the ledger was
  // read.
  if (machine.unreconciled || machine.unanswered_since_ms) {
    const double round =
        began_ + 2 * (context_.settings.heartbeat_interval_s * c::kHeartbeatJitter + c::kRoundSlackS);
    const double last = announced + cancel_s - c::kOverdueLastS;
    limit = std::max(limit, last > now ? std::min(round, last) : round);
  }
  machine.overdue.emplace(job.spec.id, limit);
  overdue_.insert(machine.name);
}

// After a heartbeat: what of the cancelled work is still on the machine, or may come there?
void Scheduler::check_cancelled_work_gone(Machine& machine) {
  if (machine.overdue.empty()) return;
  std::erase_if(machine.overdue, [&](const auto& entry) {
    const auto of_it = [&](const auto& id) { return id.job == entry.first; };
    return std::none_of(machine.tasks.begin(), machine.tasks.end(), of_it) &&
           std::none_of(machine.unknown_tasks.begin(), machine.unknown_tasks.end(),
                        [&](const auto& unknown_task) { return of_it(unknown_task.task); });
  });
  if (machine.overdue.empty()) overdue_.erase(machine.name);
}

void Scheduler::machine_gone(Machine& machine) {
  machine.overdue.clear();
  overdue_.erase(machine.name);
  lose_tasks(machine, "its machine was returned");
  MachineLedger::set_state(machine, MachineState::kGone);
  // Only of machines that this leader has known all their life.
  if (machine.sent_heartbeat && machine.provisioned_at > 0 && machine.cpus > 0 &&
      machine.known_at - machine.provisioned_at < 1) {
    const double lived = context_.now.steady - machine.provisioned_at, all = lived * machine.cpus / 100;
    spdlog::info(
        "machine {} ({}{}) lived {:.0f} s: boot {:.0f} s, useful {:.0f}%, lost {:.0f}%, fetching {:.0f}%",
        machine.name, machine.type, machine.spot ? " spot" : "", lived,
        machine.up_at - machine.provisioned_at, machine.useful / all, machine.lost / all,
        machine.fetching / all);
  }
  machine.direct.clear();
  context_.machines.touch(machine);
}

}  // namespace robinford::coordination
