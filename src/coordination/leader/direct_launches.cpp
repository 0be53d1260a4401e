/// @file
/// Scheduler: sends launches and stops as direct commands, and evaluates the answers. docs/design.md, section
/// "Direct launches".
#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>
#include <utility>

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
using protocol::TaskList;
using protocol::TaskPhase;

namespace {
// Statuses that a worker itself returns for commands. Any other status comes from an intermediary or means
// that there was no answer.
constexpr int kAccepted = 200;
constexpr int kRefused = 409;
}  // namespace

void Scheduler::handle_direct_answer(std::uint64_t id, int status, const Heartbeat* heartbeat) {
  const auto open = direct_commands_.close(id);
  if (!open) return;
  Machine* machine = context_.machines.find(open->machine);
  if (machine == nullptr || machine->state == MachineState::kGone || phase_ == LeaderPhase::kNone ||
      phase_ == LeaderPhase::kLoading)
    return;
  --machine->open_probes;
  if (machine->agent_reset) {
    if (heartbeat != nullptr && heartbeat->machine == machine->name)
      isolate_reset_machine(*machine, *heartbeat);
    return;
  }
  const bool from_worker = status == kAccepted || status == kRefused;
  if (heartbeat == nullptr || !from_worker || heartbeat->machine != machine->name)
    return direct_command_failed(*machine);
  if (heartbeat->fencing_token > election_.term())
    return election_.higher_term_seen(heartbeat->fencing_token);
  machine->undelivered_commands = 0;
  machine->probe_failures = 0;
  machine->agent_epoch_guess = heartbeat->agent_epoch;
  const bool counters_went_back =
      machine->showed_token &&
      std::tie(heartbeat->agent_epoch, heartbeat->seq) < std::tie(open->known_agent_epoch, open->known_seq);
  if (counters_went_back) return return_reset_machine(*machine, *heartbeat);
  if (heartbeat->fencing_token == election_.term()) return direct_command_answered(*machine, *heartbeat);
  // The worker refused the command because it was addressed to another agent epoch, so the worker has not
  // learned this leader's token.
  if (status == kRefused && heartbeat->agent_epoch != open->agent_epoch) direct_commands_.probe(*machine);
}

void Scheduler::direct_command_failed(Machine& machine) {
  if (direct_commands_.record_failure(machine) == DirectCommands::Reachability::kUnreachable)
    cordon(machine, "unreachable: its heartbeats arrive, answers and commands do not");
  // Gangs must not wait for capacity on a machine that does not answer.
  const double avoid_until =
      context_.now.steady + c::kReservationHeartbeats * context_.settings.heartbeat_interval_s;
  for (const auto id : machine.reservations)
    if (Job* job = context_.jobs.find(id); job != nullptr && job->gang == GangState::kReserving)
      job->avoid[machine.name] = avoid_until;
  requeue_gangs_reserving_on(machine);
}

// Applies a worker's answer that carries this leader's token. It is treated like a heartbeat, except
// that a task missing from it may still start: a launch in the answer to the worker's last own heartbeat may
// still be in flight.
void Scheduler::direct_command_answered(Machine& machine, const Heartbeat& heartbeat) {
  if (!machine.showed_token || MachineLedger::newer(machine, heartbeat.agent_epoch, heartbeat.seq))
    apply_heartbeat(machine, heartbeat, HeartbeatSource::kDirectAnswer);
  if (may_place()) advance_gangs_reserving_on(machine);
}

// The agent was reset while this leader knew the machine, so its tasks are gone, but it has also forgotten
// which attempts it had, and its agent epochs begin anew: a late copy of any launch may start its task there
// once more. Only the cloud's confirmation of the machine's return rules that out, so until then its runs
// count as being there, and no heartbeat of it frees them.
void Scheduler::return_reset_machine(Machine& machine, const Heartbeat& heartbeat) {
  machine.agent_reset = true;
  context_.metrics.count("agents_reset");
  spdlog::info("machine {}: its agent was reset, the machine is returned", machine.name);
  if (machine.state != MachineState::kReturning) MachineLedger::set_state(machine, MachineState::kReturning);
  isolate_reset_machine(machine, heartbeat);
}

// Makes a reset worker refuse late copies of this term's launches, and stops what they have started before.
// The return alone takes as long as the cloud does not answer.
void Scheduler::isolate_reset_machine(Machine& machine, const Heartbeat& heartbeat) {
  machine.agent_epoch_guess = heartbeat.agent_epoch;
  std::vector<Command> stops;
  for (const auto& task : TaskList(heartbeat.tasks))
    if (task.phase != TaskPhase::kExited && stops.size() < c::kCommandsPerAnswerMax)
      stops.push_back({Command::Op::kStop, task.task, task.attempt, 0});
  const bool fenced = heartbeat.fencing_token > election_.term();
  if (machine.open_probes > 0 || (fenced && stops.empty())) return;
  direct_commands_.fence(machine, std::move(stops));
}

// Whether the heartbeat, newer than the last one applied, proves that the agent was reset: it lacks a task
// that the worker has listed in the same agent epoch. A worker lists its tasks until the epoch ends, exited
// ones until they are cleared, and their runs are over before they are.
bool Scheduler::shows_reset(const Machine& machine, std::uint64_t agent_epoch, const TaskList& listed) {
  if (!machine.showed_token || agent_epoch != machine.agent_epoch) return false;
  return std::any_of(machine.tasks.begin(), machine.tasks.end(), [&](const TaskId& id) {
    const Job* job = context_.jobs.find(id.job);
    if (job == nullptr) return false;
    const auto run = job->runs.find(id.index);
    return run != job->runs.end() && run->second.seen && listed.find(id, run->second.attempt) == nullptr;
  });
}

// Releases the reservations of gangs that wait for capacity on the machine, and queues the gangs again.
void Scheduler::requeue_gangs_reserving_on(Machine& machine) {
  const auto holders = machine.reservations;  // a copy: releasing changes the list
  for (const auto id : holders) {
    Job* job = context_.jobs.find(id);
    if (job == nullptr || job->gang != GangState::kReserving) continue;
    placements_.release_reservations(*job);
    JobLedger::set_gang_state(*job, GangState::kQueued, context_.now.steady);
  }
}

// Advances the gangs with reservations on the machine: launches those whose reservations are now all
// confirmed, and queues those again whose reservations have expired.
void Scheduler::advance_gangs_reserving_on(Machine& machine) {
  const auto holders = machine.reservations;  // a copy: launching changes the list
  for (const auto id : holders)
    if (Job* job = context_.jobs.find(id); job != nullptr && job->state == JobState::kActive)
      advance_gang(*job);
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
    if (job == nullptr || commands.size() >= c::kCommandsPerAnswerMax) continue;
    auto& run = job->runs.at(id.index);
    if (run.state != RunState::kPlanned || !may_launch_task(*job, id.index)) continue;
    commands.push_back({Command::Op::kLaunch, id, run.attempt, 0});
    mark_launched(machine, *job, id.index, LaunchPath::kDirectCommand);
    machine.direct.insert({id, run.attempt});
    if (job->spec.gang) job->launched_directly_on.insert(machine.name);
  }
  if (!commands.empty()) direct_commands_.send(machine, std::move(commands));
}

// Sends stops as direct commands, in addition to heartbeat answers. A late stop is harmless, since attempt
// numbers are never reused.
void Scheduler::send_stops() {
  if (!election_.owns_fencing_token()) return;
  const double now = context_.now.steady;
  for (auto it = machines_with_pending_stops_.begin(); it != machines_with_pending_stops_.end();) {
    Machine* machine = context_.machines.find(*it);
    bool any = false;
    std::vector<Command> commands;
    if (machine != nullptr && machine->state != MachineState::kGone) {
      for (const auto& id : machine->tasks) {
        Job* job = context_.jobs.find(id.job);
        if (job == nullptr) continue;
        auto& run = job->runs.at(id.index);
        if (run.state != RunState::kStopping || machine->agent_reset) continue;
        any = true;
        if (now - run.last_stop < c::kDirectStopRetryS || commands.size() >= c::kCommandsPerAnswerMax ||
            machine->open_probes >= c::kOpenDirectCallsMax || !direct_commands_.can_send())
          continue;
        run.last_stop = now;
        commands.push_back({Command::Op::kStop, id, run.attempt, run.stop_grace});
      }
    }
    it = any ? std::next(it) : machines_with_pending_stops_.erase(it);
    if (!commands.empty() && machine->showed_token) direct_commands_.send(*machine, std::move(commands));
  }
}

}  // namespace robinford::coordination
