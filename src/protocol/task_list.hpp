/// @file
/// The one reader of the task list in a worker's heartbeat or answer to a command.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "protocol/messages.hpp"

namespace robinford::protocol {

/// The attempts that a worker lists, each once, ordered by task and then from the newest attempt to the
/// oldest. A worker may list several attempts of a task, in any order and more than once; two lists with the
/// same entries give equal objects. Of repeated entries for one attempt, the one with the furthest state
/// counts.
class TaskList {
 public:
  explicit TaskList(std::vector<TaskStatus> entries);

  /// The state of this attempt of the task; null if it is not listed.
  const TaskStatus* find(const TaskId& task, std::uint64_t attempt) const;
  /// Whether the entry says that the task has completed. The completion of any attempt is the task's result.
  static bool shows_result(const TaskStatus& entry) {
    return entry.phase == TaskPhase::kExited && entry.exit_reason == ExitReason::kDone;
  }

  const std::vector<TaskStatus>& entries() const { return entries_; }
  std::size_t size() const { return entries_.size(); }
  auto begin() const { return entries_.begin(); }
  auto end() const { return entries_.end(); }

 private:
  std::vector<TaskStatus> entries_;
};

/// Parses a worker's heartbeat or answer to a command, and puts its task list into the order of TaskList, so
/// that what is forwarded and compared does not depend on the worker's order either. Nothing if the body is
/// malformed.
std::optional<Heartbeat> read_heartbeat(std::string_view body);

}  // namespace robinford::protocol
