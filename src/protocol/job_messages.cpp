// What users send and hear: descriptions and states of jobs.
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
using json_fields::words;
namespace {

// A bounded list of job ids, sorted, each once.
std::optional<std::vector<JobId>> job_ids(const json::value& value) {
  if (!value.is_array() || value.get_array().size() > constants::kDependenciesPerJobMax) return std::nullopt;
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

}  // namespace

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
  if (!tasks || *tasks < 1 || *tasks > constants::kTasksPerJobMax) return bad(n::kTasks);
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

std::string job_state_json(JobId id, const char* state) {
  return std::string("{\"") + n::kJobId + "\":\"" + job_id_text(id) + "\",\"" + n::kState + "\":\"" + state +
         "\"}";
}

std::string job_poll_json(JobId id, const char* state, std::uint64_t done, std::uint64_t running,
                          const char* wait_reason) {
  std::string text = job_state_json(id, state);
  text.pop_back();
  text += ",\"" + std::string(n::kDone) + "\":" + std::to_string(done) + ",\"" + n::kRunning +
          "\":" + std::to_string(running);
  if (wait_reason != nullptr) text += ",\"" + std::string(n::kWaitReason) + "\":\"" + wait_reason + "\"";
  return text + "}";
}

}  // namespace robinford::protocol
