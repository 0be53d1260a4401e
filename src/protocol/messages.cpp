#include "protocol/messages.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

#include "constants.hpp"
#include "protocol/names.hpp"

namespace robinford::protocol {
namespace json = boost::json;
namespace n = names;
namespace {

const json::value* field(const json::object& object, const char* key) {
  const auto* value = object.if_contains(key);
  return value == nullptr || value->is_null() ? nullptr : value;
}

std::optional<double> amount(const json::object& object, const char* key) {
  const auto* value = field(object, key);
  if (value == nullptr) return std::nullopt;
  double result = 0;
  if (value->is_double())
    result = value->get_double();
  else if (value->is_int64())
    result = static_cast<double>(value->get_int64());
  else if (value->is_uint64())
    result = static_cast<double>(value->get_uint64());
  else
    return std::nullopt;
  if (!std::isfinite(result)) return std::nullopt;
  return result;
}

std::optional<std::uint64_t> whole(const json::object& object, const char* key) {
  const auto* value = field(object, key);
  if (value == nullptr) return std::nullopt;
  if (value->is_uint64()) return value->get_uint64();
  if (value->is_int64() && value->get_int64() >= 0) return static_cast<std::uint64_t>(value->get_int64());
  return std::nullopt;
}

std::optional<std::string> word(const json::object& object, const char* key) {
  const auto* value = field(object, key);
  if (value == nullptr || !value->is_string()) return std::nullopt;
  const auto& text = value->get_string();
  if (text.empty() || text.size() > constants::kNameBytesMax) return std::nullopt;
  return std::string(text);
}

std::optional<bool> flag(const json::object& object, const char* key) {
  const auto* value = field(object, key);
  if (value == nullptr || !value->is_bool()) return std::nullopt;
  return value->get_bool();
}

std::optional<std::vector<std::string>> words(const json::value& value) {
  if (!value.is_array()) return std::nullopt;
  std::vector<std::string> result;
  for (const auto& item : value.get_array()) {
    if (!item.is_string() || item.get_string().empty() || item.get_string().size() > constants::kNameBytesMax)
      return std::nullopt;
    result.emplace_back(item.get_string());
  }
  return result;
}

// A bounded list of job ids, sorted, each once.
std::optional<std::vector<JobId>> job_ids(const json::value& value) {
  if (!value.is_array() || value.get_array().size() > constants::kDependenciesMost) return std::nullopt;
  std::vector<JobId> ids;
  for (const auto& item : value.get_array()) {
    if (!item.is_string()) return std::nullopt;
    const auto id = parse_job_id(item.get_string());
    if (!id) return std::nullopt;
    ids.push_back(*id);
  }
  std::sort(ids.begin(), ids.end());
  ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
  return ids;
}

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

std::optional<std::uint64_t> digits(std::string_view text) {
  std::uint64_t result = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), result);
  if (error != std::errc() || end != text.data() + text.size() || text.empty()) return std::nullopt;
  return result;
}

}  // namespace

std::optional<json::value> parse_json(std::string_view text) {
  json::error_code error;
  json::parse_options options;
  options.max_depth = 16;  // deeper nesting is no message of ours
  auto value = json::parse(json::string_view(text.data(), text.size()), error, {}, options);
  if (error) return std::nullopt;
  return value;
}

std::uint64_t count_field(const json::value& record, const char* key) {
  const auto* object = record.if_object();
  const auto* value = object == nullptr ? nullptr : object->if_contains(key);
  if (value == nullptr) return 0;
  json::error_code error;
  const auto result = value->to_number<std::uint64_t>(error);
  return error ? 0 : result;
}

std::optional<JobId> parse_job_id(std::string_view text) {
  const std::string_view prefix = n::kJobPrefix;
  if (text.size() > 24 || !text.starts_with(prefix)) return std::nullopt;
  const auto id = digits(text.substr(prefix.size()));
  if (!id || job_id_text(*id) != text) return std::nullopt;
  return id;
}

std::string job_id_text(JobId id) {
  char buffer[32];
  std::snprintf(buffer, sizeof buffer, "%s%06llu", n::kJobPrefix, static_cast<unsigned long long>(id));
  return buffer;
}

std::string task_text(const TaskId& task) { return job_id_text(task.job) + "/" + std::to_string(task.index); }

std::optional<TaskId> parse_task(std::string_view text) {
  const auto slash = text.find('/');
  if (slash == std::string_view::npos) return std::nullopt;
  const auto job = parse_job_id(text.substr(0, slash));
  const auto index = digits(text.substr(slash + 1));
  if (!job || !index || *index >= constants::kPiecesMax) return std::nullopt;
  return TaskId{*job, static_cast<std::uint32_t>(*index)};
}

JobParse parse_job(std::string_view body) {
  const auto value = parse_json(body);
  if (!value) return {{}, {}, "not JSON"};
  return parse_job(*value);
}

JobParse parse_job(const json::value& value) {
  JobParse result;
  if (!value.is_object()) {
    result.error = "not an object";
    return result;
  }
  const auto& object = value.get_object();
  const auto bad = [&](const char* key) {
    result.error = std::string(key) + " is missing or invalid";
    return result;
  };
  const auto id_text = word(object, n::kJobId);
  if (!id_text || !(result.id = parse_job_id(*id_text))) return bad(n::kJobId);
  JobSpec spec;
  spec.id = *result.id;
  const auto take_word = [&](const char* key, std::string& into) {
    auto found = word(object, key);
    if (found) into = std::move(*found);
    return found.has_value();
  };
  if (!take_word(n::kClass, spec.job_class)) return bad(n::kClass);
  if (!take_word(n::kTeam, spec.team)) return bad(n::kTeam);
  const auto shape = word(object, n::kShape);
  if (!shape || (*shape != n::kShapeGang && *shape != n::kShapeArray && *shape != n::kShapeService))
    return bad(n::kShape);
  spec.gang = *shape == n::kShapeGang;
  spec.service = *shape == n::kShapeService;
  const auto priority = word(object, n::kPriority);
  bool known = false;
  for (int i = 0; priority && i < 4; ++i) {
    if (*priority != n::kPriorityNames[i]) continue;
    spec.priority = static_cast<Priority>(i);
    known = true;
  }
  if (!known) return bad(n::kPriority);
  const auto tasks = whole(object, n::kTasks);
  if (!tasks || *tasks < 1 || *tasks > constants::kPiecesMax) return bad(n::kTasks);
  spec.tasks = static_cast<std::uint32_t>(*tasks);
  const auto take_amount = [&](const char* key, double& into) {
    const auto found = amount(object, key);
    if (!found || *found < 0 || *found > constants::kAmountMax) return false;
    into = *found;
    return true;
  };
  if (!take_amount(n::kCpus, spec.cpus)) return bad(n::kCpus);
  if (!take_amount(n::kGpus, spec.gpus)) return bad(n::kGpus);
  if (!take_amount(n::kMemoryGb, spec.memory_gb)) return bad(n::kMemoryGb);
  if (const auto* types = field(object, n::kTypes)) {
    spec.types = words(*types);
    if (!spec.types) return bad(n::kTypes);
  }
  if (field(object, n::kZone) != nullptr) {
    spec.zone = word(object, n::kZone);
    if (!spec.zone) return bad(n::kZone);
  }
  const auto take_flag = [&](const char* key, bool& into) {
    const auto found = flag(object, key);
    if (found) into = *found;
    return found.has_value();
  };
  if (!take_flag(n::kOneZone, spec.one_zone)) return bad(n::kOneZone);
  if (!take_flag(n::kSpread, spec.spread)) return bad(n::kSpread);
  if (!take_flag(n::kSpot, spec.spot)) return bad(n::kSpot);
  if (!take_word(n::kImage, spec.image)) return bad(n::kImage);
  if (!take_amount(n::kImageGb, spec.image_gb)) return bad(n::kImageGb);
  if (!take_amount(n::kEstimateS, spec.estimate_s)) return bad(n::kEstimateS);
  if (!take_amount(n::kCheckpointS, spec.checkpoint_s)) return bad(n::kCheckpointS);
  if (!take_amount(n::kSaveS, spec.save_s)) return bad(n::kSaveS);
  if (field(object, n::kDeadlineS) != nullptr) {
    double deadline = 0;
    if (!take_amount(n::kDeadlineS, deadline)) return bad(n::kDeadlineS);
    spec.deadline_s = deadline;
  }
  if (const auto* dependencies = field(object, n::kDependencies)) {
    auto ids = job_ids(*dependencies);
    if (!ids) return bad(n::kDependencies);
    spec.dependencies = std::move(*ids);
  }
  result.spec = std::move(spec);
  return result;
}

json::object job_json(const JobSpec& spec) {
  json::object object;
  object[n::kJobId] = job_id_text(spec.id);
  object[n::kClass] = spec.job_class;
  object[n::kTeam] = spec.team;
  object[n::kShape] = spec.gang ? n::kShapeGang : spec.service ? n::kShapeService : n::kShapeArray;
  object[n::kPriority] = n::kPriorityNames[static_cast<int>(spec.priority)];
  object[n::kTasks] = spec.tasks;
  object[n::kCpus] = spec.cpus;
  object[n::kGpus] = spec.gpus;
  object[n::kMemoryGb] = spec.memory_gb;
  if (spec.types) {
    json::array types;
    for (const auto& type : *spec.types) types.emplace_back(type);
    object[n::kTypes] = std::move(types);
  }
  if (spec.zone) object[n::kZone] = *spec.zone;
  object[n::kOneZone] = spec.one_zone;
  object[n::kSpread] = spec.spread;
  object[n::kSpot] = spec.spot;
  object[n::kImage] = spec.image;
  object[n::kImageGb] = spec.image_gb;
  object[n::kEstimateS] = spec.estimate_s;
  object[n::kCheckpointS] = spec.checkpoint_s;
  object[n::kSaveS] = spec.save_s;
  if (spec.deadline_s) object[n::kDeadlineS] = *spec.deadline_s;
  if (!spec.dependencies.empty()) {
    json::array ids;
    for (const auto id : spec.dependencies) ids.emplace_back(job_id_text(id));
    object[n::kDependencies] = std::move(ids);
  }
  return object;
}

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

std::optional<std::vector<MachineType>> parse_catalog(std::string_view body) {
  const auto value = parse_json(body);
  if (!value || !value->is_object()) return std::nullopt;
  const auto* list = field(value->get_object(), n::kTypes);
  if (list == nullptr || !list->is_array()) return std::nullopt;
  std::vector<MachineType> result;
  for (const auto& item : list->get_array()) {
    if (!item.is_object()) return std::nullopt;
    const auto& entry = item.get_object();
    MachineType type;
    const auto name = word(entry, n::kTypeName);
    const auto cpus = amount(entry, n::kCpus), memory = amount(entry, n::kMemoryGb);
    if (!name || !cpus || !memory) return std::nullopt;
    type.name = *name;
    type.cpus = *cpus;
    type.memory_gb = *memory;
    type.gpus = amount(entry, n::kGpus).value_or(0);
    type.cache_gb = amount(entry, n::kCacheGb).value_or(0);
    type.fetch_gb_per_s = amount(entry, n::kFetchGbPerS).value_or(0);
    type.price = amount(entry, n::kPrice).value_or(0);
    type.spot_price = amount(entry, n::kSpotPrice).value_or(0);
    type.boot_s = amount(entry, n::kBootS).value_or(0);
    if (const auto* zones = field(entry, n::kZones)) {
      auto parsed = words(*zones);
      if (!parsed) return std::nullopt;
      type.zones = std::move(*parsed);
    }
    result.push_back(std::move(type));
  }
  return result;
}

std::string catalog_json(const std::vector<MachineType>& types) {
  json::array list;
  for (const auto& type : types) {
    json::object entry;
    entry[n::kTypeName] = type.name;
    entry[n::kCpus] = type.cpus;
    entry[n::kGpus] = type.gpus;
    entry[n::kMemoryGb] = type.memory_gb;
    entry[n::kCacheGb] = type.cache_gb;
    entry[n::kFetchGbPerS] = type.fetch_gb_per_s;
    entry[n::kPrice] = type.price;
    entry[n::kSpotPrice] = type.spot_price;
    entry[n::kBootS] = type.boot_s;
    json::array zones;
    for (const auto& zone : type.zones) zones.emplace_back(zone);
    entry[n::kZones] = std::move(zones);
    list.emplace_back(std::move(entry));
  }
  json::object object;
  object[n::kTypes] = std::move(list);
  return json::serialize(object);
}

std::optional<MachineList> parse_machines(std::string_view body) {
  const auto value = parse_json(body);
  if (!value || !value->is_object()) return std::nullopt;
  const auto& object = value->get_object();
  const auto* list = field(object, n::kMachines);
  if (list == nullptr || !list->is_array()) return std::nullopt;
  MachineList result;
  result.more = flag(object, n::kMore).value_or(false);
  for (const auto& item : list->get_array()) {
    if (!item.is_object()) return std::nullopt;
    const auto& entry = item.get_object();
    ListedMachine machine;
    const auto name = word(entry, n::kMachineName), type = word(entry, n::kType),
               zone = word(entry, n::kZone), state = word(entry, n::kState);
    if (!name || !type || !zone || !state) return std::nullopt;
    machine.name = *name;
    machine.addr = word(entry, n::kAddr).value_or("");
    machine.type = *type;
    machine.zone = *zone;
    machine.spot = flag(entry, n::kSpot).value_or(false);
    machine.failed = *state == n::kFailed;
    machine.booting = *state == n::kBooting;
    machine.age_s = amount(entry, n::kAgeS).value_or(0);
    result.machines.push_back(std::move(machine));
  }
  return result;
}

std::string rent_json(const std::string& request, const std::string& type, const std::string& zone, bool spot,
                      int count) {
  json::object object;
  object[n::kRequest] = request;
  object[n::kType] = type;
  object[n::kZone] = zone;
  object[n::kSpot] = spot;
  object[n::kCount] = count;
  return json::serialize(object);
}

std::string return_json(const std::vector<std::string>& machines) {
  json::array list;
  for (const auto& machine : machines) list.emplace_back(machine);
  json::object object;
  object[n::kMachines] = std::move(list);
  return json::serialize(object);
}

std::optional<std::vector<std::string>> parse_rented(std::string_view body) {
  const auto value = parse_json(body);
  if (!value || !value->is_object()) return std::nullopt;
  const auto* list = field(value->get_object(), n::kMachines);
  if (list == nullptr) return std::nullopt;
  return words(*list);
}

std::string job_state_json(JobId id, const char* state) {
  return std::string("{\"") + n::kJobId + "\":\"" + job_id_text(id) + "\",\"" + n::kState + "\":\"" + state +
         "\"}";
}

std::string job_poll_json(JobId id, const char* state, std::uint64_t done, std::uint64_t running) {
  std::string text = job_state_json(id, state);
  text.pop_back();
  return text + ",\"" + n::kDone + "\":" + std::to_string(done) + ",\"" + n::kRunning +
         "\":" + std::to_string(running) + "}";
}

std::string redirect_json(const std::string& member) {
  json::object object;
  object[n::kReportTo] = member;
  return json::serialize(object);
}

std::string error_json(const std::string& reason) {
  json::object object;
  object["error"] = reason;
  return json::serialize(object);
}

}  // namespace robinford::protocol
