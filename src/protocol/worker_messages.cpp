// What workers send and hear: reports, orders, redirections.
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
constexpr std::pair<ExitWhy, const char*> kWhys[] = {
    {ExitWhy::kDone, n::kWhyDone},   {ExitWhy::kStopped, n::kWhyStopped}, {ExitWhy::kPeers, n::kWhyPeers},
    {ExitWhy::kAlone, n::kWhyAlone}, {ExitWhy::kError, n::kWhyError},     {ExitWhy::kNoRoom, n::kWhyNoRoom},
    {ExitWhy::kBusy, n::kWhyBusy},   {ExitWhy::kUnknown, n::kWhyUnknown}};
constexpr std::pair<Order::Op, const char*> kOps[] = {
    {Order::Op::kStart, n::kOpStart}, {Order::Op::kStop, n::kOpStop}, {Order::Op::kForget, n::kOpForget}};

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
const char* to_text(ExitWhy why) { return to_name(kWhys, why); }

std::optional<Report> parse_report(std::string_view body) {
  const auto value = parse_json(body);
  if (!value || !value->is_object()) return std::nullopt;
  const auto& object = value->get_object();
  Report report;
  const auto machine = word(object, n::kMachine), addr = word(object, n::kAddr),
             type = word(object, n::kType), zone = word(object, n::kZone);
  const auto session = whole(object, n::kSession), seq = whole(object, n::kSeq);
  if (!machine || !addr || !type || !zone || !session || !seq) return std::nullopt;
  report.machine = *machine;
  report.addr = *addr;
  report.type = *type;
  report.zone = *zone;
  report.spot = flag(object, n::kSpot).value_or(false);
  report.session = *session;
  report.seq = *seq;
  report.token = whole(object, n::kToken).value_or(0);
  report.notice_s = amount(object, n::kNoticeS);
  const auto* tasks = field(object, n::kTasks);
  if (tasks == nullptr) return report;
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
    TaskReport one{*task, *attempt, *known, ExitWhy::kNone, flag(entry, n::kSaved).value_or(false)};
    if (const auto why = word(entry, n::kWhy))
      // A cause that we don't know is treated as a failure, never as success.
      one.why = from_name(kWhys, *why).value_or(ExitWhy::kError);
    else if (one.phase == TaskPhase::kExited)
      one.why = ExitWhy::kError;
    report.tasks.push_back(one);
  }
  return report;
}

std::string report_json(const Report& report) {
  json::object object;
  object[n::kMachine] = report.machine;
  object[n::kAddr] = report.addr;
  object[n::kType] = report.type;
  object[n::kZone] = report.zone;
  object[n::kSpot] = report.spot;
  object[n::kSession] = report.session;
  object[n::kSeq] = report.seq;
  object[n::kToken] = report.token;
  object[n::kNoticeS] = report.notice_s ? json::value(*report.notice_s) : json::value(nullptr);
  json::array tasks;
  for (const auto& task : report.tasks) {
    json::object entry;
    entry[n::kTask] = task_text(task.task);
    entry[n::kAttempt] = task.attempt;
    entry[n::kState] = to_text(task.phase);
    if (task.phase == TaskPhase::kExited) entry[n::kWhy] = to_text(task.why);
    if (task.saved) entry[n::kSaved] = true;
    tasks.emplace_back(std::move(entry));
  }
  object[n::kTasks] = std::move(tasks);
  return json::serialize(object);
}

std::string orders_json(std::uint64_t token, const std::vector<Order>& orders,
                        std::optional<std::uint64_t> session) {
  json::object object;
  object[n::kToken] = token;
  if (session) object[n::kSession] = *session;
  json::array list;
  for (const auto& order : orders) {
    json::object entry;
    entry[n::kOp] = to_name(kOps, order.op);
    entry[n::kTask] = task_text(order.task);
    entry[n::kAttempt] = order.attempt;
    if (order.op == Order::Op::kStop) entry[n::kGraceS] = order.grace_s;
    list.emplace_back(std::move(entry));
  }
  object[n::kOrders] = std::move(list);
  return json::serialize(object);
}

std::optional<OrderList> parse_orders(std::string_view body) {
  const auto value = parse_json(body);
  if (!value || !value->is_object()) return std::nullopt;
  const auto& object = value->get_object();
  OrderList result;
  result.token = whole(object, n::kToken);
  result.session = whole(object, n::kSession);
  const auto* list = field(object, n::kOrders);
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
    result.orders.push_back({*op, *task, *attempt, amount(entry, n::kGraceS).value_or(0)});
  }
  return result;
}

std::string redirect_json(const std::string& member) {
  json::object object;
  object[n::kReportTo] = member;
  return json::serialize(object);
}

}  // namespace robinford::protocol
