/// @file
/// In which order jobs get capacity: their ranks, and the queues of the arrays.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "coordination/controller_context.hpp"
#include "coordination/scheduling/run_times.hpp"

namespace robinford::coordination {

/// The place of a job in the order; members in order of their weight, the smaller first.
struct Rank {
  bool borrows = false;        // its team would use more than its guarantee
  int priority = 0;            // negated
  int tier = 0;                // `Job::tier`; -1: has waited for too long
  double share = 0;            // of the team's share that is in use
  double time_left_s = 0;      // until it should be over
  std::int64_t submitted = 0;  // time of day, ms
  protocol::JobId id{};
  // NOLINTNEXTLINE(modernize-use-nullptr): a false positive of clang-tidy 14 on defaulted comparisons.
  auto operator<=>(const Rank&) const = default;
};

/// Ranks jobs, and keeps for each team a queue of its arrays with tasks to place. The queues are sorted anew
/// at most every `kQueueSortIntervalS`, so that a heartbeat does not walk all jobs; a queue may in between
/// name jobs that have no task to place any more, but none that was erased (see `sort`).
class QueueOrder {
 public:
  using Queues = std::map<std::string, std::vector<bookkeeping::Job*>>;  // by team

  /// The references must outlive the order.
  QueueOrder(ControllerContext& context, const RunTimes& run_times)
      : context_(context), run_times_(run_times) {}

  /// Seconds until the job should be over: by its own deadline, by its class's objective or by its expected
  /// run time, and in time for the jobs that depend on it. Negative if it is late.
  double time_left(const bookkeeping::Job& job) const;
  /// Seconds that a job should take from the moment when it is ready, with the transfer of its image.
  double expected_duration(const bookkeeping::Job& job) const;
  /// An array of which nothing has run for `kArrayOverdueWaitS`: it has to begin.
  bool waited_too_long(const bookkeeping::Job& job) const;
  /// `tasks`: how many would be placed at once.
  Rank rank(const bookkeeping::Job& job, std::uint32_t tasks) const;

  /// Empties the queues; the next `sort` is due at once.
  void clear();
  /// An array has tasks to place that is in no queue, or a queued job is over.
  void mark_changed() { changed_ = true; }
  bool changed() const { return changed_; }
  /// Whether the last sorting is old enough for another.
  bool sort_due() const { return context_.now.steady >= next_sort_; }
  /// Fills and sorts the queues. To be called before jobs that may be in a queue are erased from the ledger,
  /// once they are over.
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
