// JSON itself, and the names of jobs and tasks.
#include "protocol/messages.hpp"

#include <charconv>
#include <cstdio>

#include "constants.hpp"
#include "protocol/names.hpp"

namespace robinford::protocol {
namespace json = boost::json;
namespace n = names;
namespace {

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
  if (!job || !index || *index >= constants::kTasksPerJobMax) return std::nullopt;
  return TaskId{*job, static_cast<std::uint32_t>(*index)};
}

std::string error_json(const std::string& reason) {
  json::object object;
  object["error"] = reason;
  return json::serialize(object);
}

}  // namespace robinford::protocol
