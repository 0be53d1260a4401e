/// @file
/// Implements TaskList.
#include "protocol/task_list.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace robinford::protocol {
namespace {

bool same_attempt(const TaskStatus& left, const TaskStatus& right) {
  return left.task == right.task && left.attempt == right.attempt;
}

// By task; of one task the newest attempt first; of one attempt the furthest state first.
bool listed_before(const TaskStatus& left, const TaskStatus& right) {
  if (left.task != right.task) return left.task < right.task;
  if (left.attempt != right.attempt) return left.attempt > right.attempt;
  const auto progress = [](const TaskStatus& entry) {
    return std::tuple(entry.phase, TaskList::shows_result(entry), entry.saved, entry.exit_reason);
  };
  return progress(left) > progress(right);
}

}  // namespace

TaskList::TaskList(std::vector<TaskStatus> entries) : entries_(std::move(entries)) {
  std::sort(entries_.begin(), entries_.end(), listed_before);
  entries_.erase(std::unique(entries_.begin(), entries_.end(), same_attempt), entries_.end());
}

const TaskStatus* TaskList::find(const TaskId& task, std::uint64_t attempt) const {
  const auto found = std::partition_point(entries_.begin(), entries_.end(), [&](const TaskStatus& entry) {
    return entry.task < task || (entry.task == task && entry.attempt > attempt);
  });
  const bool listed = found != entries_.end() && found->task == task && found->attempt == attempt;
  return listed ? &*found : nullptr;
}

std::optional<Heartbeat> read_heartbeat(std::string_view body) {
  auto heartbeat = parse_heartbeat(body);
  if (heartbeat) heartbeat->tasks = TaskList(std::move(heartbeat->tasks)).entries();
  return heartbeat;
}

}  // namespace robinford::protocol
