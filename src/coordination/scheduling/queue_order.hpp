/// @file
/// The order in which jobs get capacity: ranks of all jobs, and one queue of arrays per team.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "coordination/controller_context.hpp"
#include "coordination/scheduling/run_times.hpp"

namespace robinford::coordination {

/// Sort key of a job; the lowest rank gets capacity first. Members are compared in the order of declaration.
struct Rank {
  bool borrows = false;        // placing it takes its team above its guarantee
  int priority = 0;            // the job's priority, negated
  int tier = 0;                // `Job::tier`; -1 for a job that has waited for too long (see `rank`)
  double share = 0;            // what the team uses, in relation to its share
  double time_left_s = 0;      // until the job should be over
  std::int64_t submitted = 0;  // time of day, ms
  protocol::JobId id{};
  // NOLINTNEXTLINE(modernize-use-nullptr): a false positive of clang-tidy 14 on defaulted comparisons.
  auto operator<=>(const Rank&) const = default;
};

/// Ranks jobs, and keeps for each team a queue of its arrays with tasks to place. The queues are rebuilt at
/// most every `kQueueSortIntervalS`, so that a heartbeat does not visit all jobs. Until the next rebuild, a
/// queue may contain jobs whose tasks are all placed, but no job that was erased from the ledger (see
/// `sort`).
class QueueOrder {
 public:
  using Queues = std::map<std::string, std::vector<bookkeeping::Job*>>;  // by team

  /// The references must outlive the object.
  QueueOrder(ControllerContext& context, const RunTimes& run_times)
      : context_(context), run_times_(run_times) {}

  /// Seconds until the job should be over; negative if it is late. The due time follows from the job's
  /// deadline, else from the objective of its class, else from its expected run time, and is never later than
  /// the jobs that depend on it allow.
  double time_left(const bookkeeping::Job& job) const;
  /// Estimated time in seconds that a job needs at least from becoming eligible to its end: the expected run
  /// time of one task, the transfer of the image at the lowest known rate of all machine types, and two
  /// heartbeat intervals. Waiting for capacity, and tasks of an array that run one after another, are not
  /// included.
  double min_duration_s(const bookkeeping::Job& job) const;
  /// Whether the job is an array that this leader has known as eligible for more than `kArrayOverdueWaitS`
  /// and of which no task has been seen running by this leader.
  bool waited_too_long(const bookkeeping::Job& job) const;
  /// Returns the rank of the job if `tasks` of its tasks were placed at once. Among jobs with equal `borrows`
  /// and `priority`, arrays that have `waited_too_long` and gangs known as eligible for more than
  /// `kGangClaimAfterS` come first.
  Rank rank(const bookkeeping::Job& job, std::uint32_t tasks) const;

  /// Empties the queues and makes the next `sort` due at once.
  void clear();
  /// Marks the queues as outdated, for instance because an array was admitted or a queued job is over.
  void mark_changed() { changed_ = true; }
  bool changed() const { return changed_; }
  /// Whether `kQueueSortIntervalS` has passed since the last `sort`.
  bool sort_due() const { return context_.now.steady >= next_sort_; }
  /// Rebuilds and sorts the queues. Must be called after jobs are over and before they are erased from the
  /// ledger; otherwise a queue would keep dangling pointers to them.
  void sort();
  const Queues& queues() const { return queues_; }

 private:
  ControllerContext& context_;
  const RunTimes& run_times_;
  Queues queues_;
  bool changed_ = false;
  double next_sort_ = 0;
};

}  // namespace robinford::coordination
