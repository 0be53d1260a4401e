/// @file
/// Looks up the state of a job in its durable records: docs/design.md, "Dependencies".
#pragma once

#include <functional>
#include <memory>

#include "coordination/controller_context.hpp"

namespace robinford::coordination {

/// Reads the durable records of jobs, on the leader or on any other controller. Only final states are cached,
/// since they never change. `Done` is called once: before the call returns if the answer is in memory,
/// otherwise in the step in which the last read of the state service is answered or
/// fails.
class JobLookup {
 public:
  /// Result of looking up a job.
  struct Result {
    enum class RecordStatus {
      kLive,           ///< accepted, without a final state so far
      kFinal,          ///< the job has a final state
      kNeverAccepted,  ///< never accepted: neither of the job's records exists
      kUnknown,        ///< a read went unanswered, a record can't be read, or the walk can't be completed
    } record_status = RecordStatus::kUnknown;
    bookkeeping::FinalState state = bookkeeping::FinalState::kDone;  ///< only for kFinal
    bookkeeping::StateRead live;  ///< only for kLive: the record that was read
  };
  using Done = std::function<void(const Result&)>;
  /// What a lookup has found out, called before its `Done`: whoever answers from a record leaves it to these
  /// that the in-memory state agrees with the answer. Not called for a job whose own final state was already
  /// in memory.
  struct Events {
    /// For each job whose records show that it is cancelled, and for the looked-up job if one of its
    /// dependencies is cancelled.
    std::function<void(protocol::JobId)> cancelled;
    /// For each job that has a live record and is not cancelled.
    std::function<void(protocol::JobId)> accepted;
  };

  JobLookup(ControllerContext& context, Events events);

  /// Reads the job's own records, without regard to its dependencies.
  void read_own_records(protocol::JobId id, Done done);
  /// Determines the job's state. A job is also cancelled if any of its direct or transitive dependencies is.
  /// Because this is derived from the records, every controller gives the same answer after a cancellation
  /// without a further write. The result is kUnknown if a dependency was never accepted, or if records would
  /// have to be read after the first `kDependencyWalkReadsMax` dependencies.
  void read_state_with_dependencies(protocol::JobId id, Done done);

 private:
  struct Walk;
  using WalkPtr = std::shared_ptr<Walk>;

  void read_final_record(protocol::JobId id, const Done& done);
  void follow_dependencies(const WalkPtr& walk);
  void on_dependency_read(const WalkPtr& walk, const Result& dependency);
  void finish_as_cancelled(const WalkPtr& walk);

  ControllerContext& context_;
  Events events_;
};

}  // namespace robinford::coordination
