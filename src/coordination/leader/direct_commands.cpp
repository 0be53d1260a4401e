/// @file
/// Implements DirectCommands.
#include "coordination/leader/direct_commands.hpp"

#include <algorithm>
#include <utility>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Machine;
using protocol::Command;

namespace {

double calls_per_second(const protocol::Settings& settings) {
  return std::max(c::kDirectCallRateMin, settings.cpu_share * c::kDirectCallRatePerCore);
}

}  // namespace

// Through heartbeats, the start of a gang takes up to two of them from a machine: one that confirms its
// reservation and one whose answer carries the launch. A direct command costs a connection to each machine.
// That is worthwhile if two heartbeats take a large part of the shortest start that users expect.
bool launches_directly(const protocol::Settings& settings) {
  double shortest = c::kDefaultStartObjectiveS;
  for (const auto& objective : settings.objectives)
    if (objective.kind == "wait" || objective.kind == "guarantee")
      shortest = std::min(shortest, objective.within_s);
  return 2 * settings.heartbeat_interval_s * c::kHeartbeatJitterFactor > shortest * c::kDirectLaunchWaitShare;
}

DirectCommands::DirectCommands(ControllerContext& context, const Election& election,
                               std::function<void(const DirectCall&)> send)
    : context_(context),
      election_(election),
      send_(std::move(send)),
      launches_directly_(coordination::launches_directly(context.settings)),
      budget_(calls_per_second(context.settings) * context.settings.count,
              calls_per_second(context.settings)) {}

void DirectCommands::clear() {
  open_commands_.clear();
  to_probe_.clear();
  unreachable_ = 0;
}

bool DirectCommands::can_send() const {
  return open_commands_.size() <
         static_cast<std::size_t>(context_.settings.max_connections / c::kDirectSocketDivisor);
}

void DirectCommands::send(Machine& machine, std::vector<Command> commands) {
  send_with_token(machine, machine.showed_token ? machine.agent_epoch : machine.agent_epoch_guess,
                  election_.term(), std::move(commands));
}

void DirectCommands::fence(Machine& machine, std::vector<Command> commands) {
  send_with_token(machine, machine.agent_epoch_guess, election_.term() + 1, std::move(commands));
}

void DirectCommands::send_with_token(Machine& machine, std::uint64_t agent_epoch, std::uint64_t fencing_token,
                                     std::vector<Command> commands) {
  if (machine.addr.empty() || !election_.owns_fencing_token()) return;
  budget_.take(1);
  OpenCommand open;
  open.machine = machine.name;
  open.agent_epoch = agent_epoch;
  if (machine.showed_token) {
    open.known_agent_epoch = machine.agent_epoch;
    open.known_seq = machine.seq;
  }
  const auto id = ++last_id_;
  ++machine.open_probes;
  machine.last_probe_at = context_.now.steady;
  context_.metrics.count("direct_calls");
  const DirectCall call{id, machine.addr, agent_epoch, fencing_token, std::move(commands)};
  open_commands_.emplace(id, std::move(open));
  send_(call);
}

void DirectCommands::send_planned_probes() {
  for (std::size_t left = to_probe_.size(); left > 0 && within_budget() && can_send(); --left) {
    const std::string name = std::move(to_probe_.front());
    to_probe_.pop_front();
    Machine* machine = context_.machines.find(name);
    if (machine == nullptr || !machine->unreconciled) continue;
    const bool just_probed = machine->open_probes > 0 ||
                             context_.now.steady - machine->last_probe_at < c::kReconcileProbeIntervalS;
    // A machine that was just answered with this leader's token sends another heartbeat on its own, which
    // carries the token.
    const bool about_to_show_token =
        machine->unproven_answers > 0 && context_.now.steady - machine->last_answer < c::kTokenEchoWaitS;
    if (just_probed || about_to_show_token)
      to_probe_.push_back(name);
    else
      probe(*machine);
  }
}

std::optional<DirectCommands::OpenCommand> DirectCommands::close(std::uint64_t id) {
  const auto found = open_commands_.find(id);
  if (found == open_commands_.end()) return std::nullopt;
  OpenCommand open = std::move(found->second);
  open_commands_.erase(found);
  return open;
}

bool DirectCommands::may_be_unreachable(const Machine& machine) const {
  const bool commands_lost = machine.undelivered_commands >= c::kUndeliveredCommandsMax ||
                             machine.unproven_answers >= c::kUnprovenAnswersMax;
  const double heartbeat_age_s = context_.now.steady - machine.last_heartbeat;
  return commands_lost &&
         heartbeat_age_s < 2 * context_.settings.heartbeat_interval_s + c::kUnreachableHeartbeatSlackS;
}

DirectCommands::Reachability DirectCommands::record_failure(Machine& machine) {
  ++machine.probe_failures;
  if (machine.unreconciled && machine.probe_failures < c::kReconcileProbesMax) plan_probe(machine.name);
  if (!may_be_unreachable(machine) || machine.cordoned) return Reachability::kUncertain;
  if (machine.probe_failures < c::kProbeFailureThreshold) {
    probe(machine);
    return Reachability::kUncertain;
  }
  const auto most = c::kUnreachableBaseAllowance +
                    static_cast<std::size_t>(c::kUnreachableShareMax * context_.machines.all().size());
  if (unreachable_ >= most) return Reachability::kUncertain;
  ++unreachable_;
  return Reachability::kUnreachable;
}

}  // namespace robinford::coordination
