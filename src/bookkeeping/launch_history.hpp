/// @file
/// Launches of a job's tasks that followed one another without a result, and the backoff that they cause.
#pragma once

#include <cstdint>
#include <map>

namespace robinford::bookkeeping {

/// Counts, for each task of a job, the launches in a row of which none led to progress. A task that is
/// launched again and again is launched ever more slowly, whatever the reason is. Times are those of the
/// steady clock, in s.
class LaunchHistory {
 public:
  /// Records a launch. Returns the number of launches in a row, this one included. A launch more than
  /// constants::kLaunchRowGapS after the last one begins a new row.
  std::uint32_t record_launch(std::uint32_t task, double now);
  /// Records that the task completed or saved progress, which ends its row.
  void record_progress(std::uint32_t task) { rows_.erase(task); }
  /// Earliest time of the task's next launch; 0 if it need not wait.
  double next_launch_at(std::uint32_t task) const;

 private:
  struct Row {
    std::uint32_t launches = 0;
    double last_launch_at = 0;
  };
  std::map<std::uint32_t, Row> rows_;  // by task index
};

}  // namespace robinford::bookkeeping
