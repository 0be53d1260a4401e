// What workers send and hear: heartbeats, commands, redirections.
#include <algorithm>
#include <cmath>

#include "constants.hpp"
#include "protocol/json_fields.hpp"
#include "protocol/messages.hpp"
#include "protocol/names.hpp"

namespace robinford::protocol {
namespace json = boost::json;
namespace n = names;
using json_fields::amount;
using json_fields::field;
using json_fields::flag;
using json_fields::whole;
using json_fields::word;
namespace {

constexpr std::pair<TaskPhase, const char*> kPhases[] = {{TaskPhase::kFetching, n::kTaskFetching},
                                                         {TaskPhase::kWaiting, n::kTaskWaiting},
                                                         {TaskPhase::kRunning, n::kTaskRunning},
                                                         {TaskPhase::kSaving, n::kTaskSaving},
                                                         {TaskPhase::kExited, n::kTaskExited}};
constexpr std::pair<ExitReason, const char*> kExitReasonNames[] = {
    {ExitReason::kDone, n::kExitDone},   {ExitReason::kStopped, n::kExitStopped},
    {ExitReason::kPeers, n::kExitPeers}, {ExitReason::kAlone, n::kExitAlone},
    {ExitReason::kError, n::kExitError}, {ExitReason::kInsufficientResources, n::kExitInsufficientResources},
    {ExitReason::kBusy, n::kExitBusy},   {ExitReason::kUnknown, n::kExitUnknown}};
constexpr std::pair<Command::Op, const char*> kOps[] = {{Command::Op::kLaunch, n::kOpLaunch},
                                                        {Command::Op::kStop, n::kOpStop},
                                                        {Command::Op::kClear, n::kOpClear}};

template <typename Value, std::size_t Size>
std::optional<Value> from_name(const std::pair<Value, const char*> (&table)[Size], std::string_view text) {
  for (const auto& [value, name] : table)
    if (text == name) return value;
  return std::nullopt;
}

template <typename Value, std::size_t Size>
const char* to_name(const std::pair<Value, const char*> (&table)[Size], Value value) {
  for (const auto& [known, name] : table)
    if (known == value) return name;
  return "";
}

}  // namespace

const char* to_text(TaskPhase phase) { return to_name(kPhases, phase); }
const char* to_text(ExitReason reason) { return to_name(kExitReasonNames, reason); }

std::optional<Heartbeat> parse_heartbeat(std::string_view body) {
  const auto value = parse_json(body);
  if (!value || !value->is_object()) return std::nullopt;
  const auto& object = value->get_object();
  Heartbeat heartbeat;
  const auto machine = word(object, n::kMachine), addr = word(object, n::kAddr),
             type = word(object, n::kType), zone = word(object, n::kZone);
  const auto agent_epoch = whole(object, n::kAgentEpoch), seq = whole(object, n::kSeq);
  if (!machine || !addr || !type || !zone || !agent_epoch || !seq) return std::nullopt;
  heartbeat.machine = *machine;
  heartbeat.addr = *addr;
  heartbeat.type = *type;
  heartbeat.zone = *zone;
  heartbeat.spot = flag(object, n::kSpot).value_or(false);
  heartbeat.agent_epoch = *agent_epoch;
  heartbeat.seq = *seq;
  heartbeat.fencing_token = whole(object, n::kFencingToken).value_or(0);
  heartbeat.interruption_notice_s = amount(object, n::kInterruptionNoticeS);
  const auto* tasks = field(object, n::kTasks);
  if (tasks == nullptr) return heartbeat;
  if (!tasks->is_array()) return std::nullopt;
  for (const auto& item : tasks->get_array()) {
    if (!item.is_object()) return std::nullopt;
    const auto& entry = item.get_object();
    const auto name = word(entry, n::kTask), phase = word(entry, n::kState);
    const auto attempt = whole(entry, n::kAttempt);
    if (!name || !phase || !attempt) return std::nullopt;
    const auto task = parse_task(*name);
    const auto known = from_name(kPhases, *phase);
    if (!task || !known) return std::nullopt;
    TaskStatus one{*task, *attempt, *known, ExitReason::kNone, flag(entry, n::kSaved).value_or(false)};
    if (const auto reason = word(entry, n::kExitReason))
      // A cause that we don't know is treated as a failure, never as success.
      one.exit_reason = from_name(kExitReasonNames, *reason).value_or(ExitReason::kError);
    else if (one.phase == TaskPhase::kExited)
      one.exit_reason = ExitReason::kError;
    heartbeat.tasks.push_back(one);
  }
  return heartbeat;
}

std::string heartbeat_json(const Heartbeat& heartbeat) {
  json::object object;
  object[n::kMachine] = heartbeat.machine;
  object[n::kAddr] = heartbeat.addr;
  object[n::kType] = heartbeat.type;
  object[n::kZone] = heartbeat.zone;
  object[n::kSpot] = heartbeat.spot;
  object[n::kAgentEpoch] = heartbeat.agent_epoch;
  object[n::kSeq] = heartbeat.seq;
  object[n::kFencingToken] = heartbeat.fencing_token;
  object[n::kInterruptionNoticeS] =
      heartbeat.interruption_notice_s ? json::value(*heartbeat.interruption_notice_s) : json::value(nullptr);
  json::array tasks;
  for (const auto& task : heartbeat.tasks) {
    json::object entry;
    entry[n::kTask] = task_text(task.task);
    entry[n::kAttempt] = task.attempt;
    entry[n::kState] = to_text(task.phase);
    if (task.phase == TaskPhase::kExited) entry[n::kExitReason] = to_text(task.exit_reason);
    if (task.saved) entry[n::kSaved] = true;
    tasks.emplace_back(std::move(entry));
  }
  object[n::kTasks] = std::move(tasks);
  return json::serialize(object);
}

std::string commands_json(std::uint64_t fencing_token, const std::vector<Command>& commands,
                          std::optional<std::uint64_t> agent_epoch) {
  json::object object;
  object[n::kFencingToken] = fencing_token;
  if (agent_epoch) object[n::kAgentEpoch] = *agent_epoch;
  json::array list;
  for (const auto& command : commands) {
    json::object entry;
    entry[n::kOp] = to_name(kOps, command.op);
    entry[n::kTask] = task_text(command.task);
    entry[n::kAttempt] = command.attempt;
    if (command.op == Command::Op::kStop) entry[n::kGraceS] = command.grace_s;
    list.emplace_back(std::move(entry));
  }
  object[n::kCommands] = std::move(list);
  return json::serialize(object);
}

std::optional<CommandList> parse_commands(std::string_view body) {
  const auto value = parse_json(body);
  if (!value || !value->is_object()) return std::nullopt;
  const auto& object = value->get_object();
  CommandList result;
  result.fencing_token = whole(object, n::kFencingToken);
  result.agent_epoch = whole(object, n::kAgentEpoch);
  const auto* list = field(object, n::kCommands);
  if (list == nullptr) return result;
  if (!list->is_array()) return std::nullopt;
  for (const auto& item : list->get_array()) {
    if (!item.is_object()) return std::nullopt;
    const auto& entry = item.get_object();
    const auto op_name = word(entry, n::kOp), name = word(entry, n::kTask);
    const auto attempt = whole(entry, n::kAttempt);
    if (!op_name || !name || !attempt) return std::nullopt;
    const auto op = from_name(kOps, *op_name);
    const auto task = parse_task(*name);
    if (!op || !task) return std::nullopt;
    result.commands.push_back({*op, *task, *attempt, amount(entry, n::kGraceS).value_or(0)});
  }
  return result;
}

std::string redirect_json(const std::string& member) {
  json::object object;
  object[n::kRedirectTo] = member;
  return json::serialize(object);
}

}  // namespace robinford::protocol
