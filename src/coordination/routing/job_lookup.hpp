/// @file
/// What the durable records say of a job: docs/design.md, "Dependencies".
#pragma once

#include <functional>
#include <memory>

#include "coordination/controller_context.hpp"

namespace robinford::coordination {

/// Reads the durable records of jobs afresh. Any controller can ask, leader or not. Nothing is kept but final
/// states, which never change. `Done` is called once, at once if the answer is in memory, else in the step
/// that brings the state service's answer.
class JobLookup {
 public:
  /// What was found out about a job.
  struct Result {
    enum class RecordStatus {
      kLive,           ///< it was accepted and has no final state yet
      kFinal,          ///< it has a final state
      kNeverAccepted,  ///< it was never accepted: neither of its records exists
      kUnknown,        ///< a read went unanswered, or a record can't be read
    } record_status = RecordStatus::kUnknown;
    bookkeeping::FinalState state = bookkeeping::FinalState::kDone;  ///< of kFinal
    bookkeeping::StateRead live;                                     ///< of kLive: the record that was read
  };
  using Done = std::function<void(const Result&)>;

  /// `cancelled` is called for each job that a lookup finds to be cancelled, before the lookup's `Done`.
  JobLookup(ControllerContext& context, std::function<void(protocol::JobId)> cancelled);

  /// What the job's own records say.
  void read_own_records(protocol::JobId id, Done done);
  /// The job's state: it is also cancelled while any job is that it needs, directly or through others. This
  /// is derived from the records, so no write has to follow a cancellation before it is the answer
  /// everywhere. kUnknown also if the job needs more than `kDependencyWalkMost` others.
  void read_state_with_dependencies(protocol::JobId id, Done done);

 private:
  struct Walk;
  using WalkPtr = std::shared_ptr<Walk>;

  void read_final_record(protocol::JobId id, const Done& done);
  void follow_dependencies(const WalkPtr& walk);
  void on_dependency_read(const WalkPtr& walk, const Result& dependency);
  void finish_as_cancelled(const WalkPtr& walk);

  ControllerContext& context_;
  std::function<void(protocol::JobId)> cancelled_;
};

}  // namespace robinford::coordination
