// Commands and probes that go straight to workers: stops, probes of a new leader, and launches where
// heartbeats are far apart. docs/design.md argues why a launch that comes late, twice or never does no harm.
#include <spdlog/spdlog.h>

#include <algorithm>

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
using protocol::Command;
using protocol::Heartbeat;
using protocol::TaskId;

void Scheduler::direct(Machine& machine, std::vector<Command> commands) {
  if (machine.addr.empty() || !election_.owns_fencing_token()) return;
  probe_budget_.take(1);
  OpenDirect open{machine.name,
                  machine.saw_term ? machine.agent_epoch : machine.agent_epoch_guess,
                  machine.saw_term ? machine.agent_epoch : 0,
                  machine.saw_term ? machine.seq : 0,
                  {}};
  for (const auto& command : commands)
    if (command.op == Command::Op::kLaunch) open.launches.emplace_back(command.task, command.attempt);
  const auto id = ++direct_counter_;
  ++machine.open_probes;
  machine.last_probe_at = context_.now.steady;
  context_.metrics.count("direct_calls");
  const DirectCall call{id, machine.addr, open.agent_epoch, std::move(commands)};
  open_direct_.emplace(id, std::move(open));
  actions_.direct(call);
}

void Scheduler::direct_answer(std::uint64_t id, int status, const Heartbeat* heartbeat) {
  const auto found = open_direct_.find(id);
  if (found == open_direct_.end()) return;
  const OpenDirect open = std::move(found->second);
  open_direct_.erase(found);
  Machine* machine = context_.machines.find(open.machine);
  if (machine == nullptr || machine->state == MachineState::kGone || phase_ == LeaderPhase::kNone ||
      phase_ == LeaderPhase::kLoading)
    return;
  --machine->open_probes;
  const double now = context_.now.steady;
  if (heartbeat == nullptr || (status != 200 && status != 409) || heartbeat->machine != machine->name) {
    ++machine->probe_failures;
    if (machine->unreconciled && machine->probe_failures < c::kProbesMost) to_probe_.push_back(machine->name);
    // Its heartbeats come, and neither answers nor commands get there: it is unreachable. Should that seem
    // true of many, the fault is ours.
    const bool suspect =
        (machine->undelivered >= c::kUndeliveredMost || machine->unproven_answers >= c::kUnprovenMost) &&
        now - machine->last_heartbeat <
            2 * context_.settings.heartbeat_interval_s + c::kUnreachableHeartbeatS;
    if (suspect && !machine->cordoned && machine->probe_failures < c::kProbesEnough) {
      probe(*machine);
    } else if (suspect && !machine->cordoned &&
               unreachable_ <
                   c::kUnreachableLeast +
                       static_cast<std::size_t>(c::kUnreachableShareMax * context_.machines.all().size())) {
      ++unreachable_;
      cordon(*machine, "unreachable: its heartbeats arrive, answers and commands do not");
    }
    // A gang must not wait for the capacity of a machine that does not answer.
    const auto reserving_jobs = machine->reservations;
    for (const auto holder : reserving_jobs) {
      Job* job = context_.jobs.find(holder);
      if (job == nullptr || job->gang != GangState::kReserving) continue;
      job->avoid[machine->name] = now + c::kReservationHeartbeats * context_.settings.heartbeat_interval_s;
      placements_.release_reservations(*job);
      JobLedger::set_gang(*job, GangState::kQueued, now);
    }
    return;
  }
  if (heartbeat->fencing_token > election_.term())
    return election_.higher_term_seen(heartbeat->fencing_token);
  machine->undelivered = 0;
  machine->probe_failures = 0;
  machine->agent_epoch_guess = heartbeat->agent_epoch;
  const bool went_back = machine->saw_term && std::tie(heartbeat->agent_epoch, heartbeat->seq) <
                                                  std::tie(open.known_agent_epoch, open.known_seq);
  if (went_back) {
    // Its counters began anew while we knew it: whatever was on it is gone, and a launch for the agent epoch
    // of the same number may still come. The cloud settles that.
    machine->agent_reset = true;
    spdlog::info("machine {}: its agent was reset, the machine is returned", machine->name);
    MachineLedger::set_state(*machine, MachineState::kReturning);
    return;
  }
  if (status == 409 && heartbeat->fencing_token < election_.term()) {
    // Its agent epoch was not the one we guessed, and it did not learn our token: once more.
    if (machine->probe_failures == 0 && heartbeat->agent_epoch != open.agent_epoch) probe(*machine);
    return;
  }
  if (heartbeat->fencing_token != election_.term()) return;
  if (!machine->saw_term || MachineLedger::newer(*machine, heartbeat->agent_epoch, heartbeat->seq))
    apply_heartbeat(*machine, *heartbeat, true);
  if (!may_place()) return;
  const auto reserving_jobs = machine->reservations;
  for (const auto holder : reserving_jobs)
    if (Job* job = context_.jobs.find(holder); job != nullptr && job->state == JobState::kActive)
      check_gang(*job);
}

// The full round after a failover does not wait for the workers: those of earlier leaders are asked, and
// learn our token by the probe itself, also where a degraded leader still answers their heartbeats.
void Scheduler::probe_unreconciled() {
  for (std::size_t left = to_probe_.size(); left > 0 && probe_budget_.covers(1) && can_send_direct();
       --left) {
    const std::string name = std::move(to_probe_.front());
    to_probe_.pop_front();
    Machine* machine = context_.machines.find(name);
    if (machine == nullptr || !machine->unreconciled) continue;
    // One that was just answered with our token sends another heartbeat by itself, to show it.
    if (machine->open_probes > 0 || context_.now.steady - machine->last_probe_at < c::kProbeAgainS ||
        (machine->unproven_answers > 0 && context_.now.steady - machine->last_answer < c::kShowTokenS)) {
      to_probe_.push_back(name);
      continue;
    }
    probe(*machine);
  }
}

void Scheduler::launch_directly(Machine& machine) {
  if (!may_place() || machine.state != MachineState::kUp || !machine.recorded || machine.addr.empty()) return;
  if (machine.direct_agent_epoch != machine.agent_epoch) {
    machine.direct.clear();
    machine.direct_agent_epoch = machine.agent_epoch;
  }
  std::vector<Command> commands;
  for (const auto& id : machine.tasks) {
    Job* job = context_.jobs.find(id.job);
    if (job == nullptr || job->state != JobState::kActive || commands.size() >= c::kCommandsMax) continue;
    auto& run = job->runs.at(id.index);
    if (run.state != RunState::kPlanned || (job->spec.gang && job->gang != GangState::kLaunching)) continue;
    commands.push_back({Command::Op::kLaunch, id, run.attempt, 0});
    launched(machine, *job, run, true);
    machine.direct.insert({id, run.attempt});
  }
  if (!commands.empty()) direct(machine, std::move(commands));
}

// Stops also go straight to the machines: a late one does no harm, since attempts are never used twice.
void Scheduler::send_stops() {
  if (!election_.owns_fencing_token()) return;
  const double now = context_.now.steady;
  for (auto it = stopping_.begin(); it != stopping_.end();) {
    Machine* machine = context_.machines.find(*it);
    bool any = false;
    std::vector<Command> commands;
    if (machine != nullptr && machine->state != MachineState::kGone) {
      for (const auto& id : machine->tasks) {
        Job* job = context_.jobs.find(id.job);
        if (job == nullptr) continue;
        auto& run = job->runs.at(id.index);
        if (run.state != RunState::kStopping) continue;
        any = true;
        if (now - run.last_stop < c::kStopAgainS || commands.size() >= c::kCommandsMax ||
            machine->open_probes >= c::kOpenMost || !can_send_direct())
          continue;
        run.last_stop = now;
        commands.push_back({Command::Op::kStop, id, run.attempt, run.stop_grace});
      }
    }
    it = any ? std::next(it) : stopping_.erase(it);
    if (!commands.empty() && machine->saw_term) direct(*machine, std::move(commands));
  }
}

}  // namespace robinford::coordination
