/// @file
/// Handles users' requests about jobs: submissions, polls and cancellations.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "coordination/controller_context.hpp"
#include "coordination/election/election.hpp"
#include "coordination/election/peer_versions.hpp"
#include "coordination/routing/change_log_entries.hpp"
#include "coordination/routing/job_admission.hpp"
#include "coordination/routing/job_lookup.hpp"
#include "coordination/routing/user_answer.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {

/// Executes users' requests: on the leader from its ledger, on any other controller from the records in the
/// state service. The leader also uses the records for jobs that are not in its ledger, and for waiting jobs
/// whose dependencies are not settled. Each reply is called once, at the latest when the calls to the state
/// service have succeeded or failed. An answer reports a job as accepted, done or cancelled only after that
/// is durable, and is never older than one that another controller may have given: docs/design.md,
/// "Cancellations".
class JobRequests {
 public:
  JobRequests(ControllerContext& context, const Election& election, Scheduler& scheduler,
              const PeerVersions& versions, JobAdmission::JobChanged job_changed);

  /// Submits a job; `body` is its description as JSON. If the job is already known, the answer is its state.
  void submit(const std::string& body, const UserRequest& request);
  /// Answers with the job's state.
  void poll(protocol::JobId id, const UserReply& reply);
  /// Cancels the job. If it already has a final state, the answer is that state.
  void cancel(protocol::JobId id, const UserRequest& request);

  /// Called when the job's final state is durable, or implied by a dependency's durable cancellation: answers
  /// the cancellations that wait for it.
  void on_job_final_state(protocol::JobId id, bookkeeping::FinalState state);
  /// Answers the waiting cancellations with 503, because this controller is not the leader any more.
  void fail_waiting_cancellations();

 private:
  bool leading() const { return scheduler_.knows_all_jobs(); }
  void answer_as_leader(protocol::JobId id, const UserReply& reply);
  void answer_from_ledger(protocol::JobId id, const UserReply& reply);
  void answer_from_records(protocol::JobId id, const UserReply& reply);
  /// A cancellation on the records, and how often it may still be tried.
  struct CancellationAttempt {
    UserRequest request;
    int tries_left = 0;
  };
  /// The one write of a job's cancellation that is queued or in flight, and the requests that wait for it.
  struct PendingCancellation {
    std::vector<CancellationAttempt> attempts;
    bookkeeping::WriteId write = 0;
  };
  void cancel_on_records(protocol::JobId id, const CancellationAttempt& attempt);
  void write_cancellation(protocol::JobId id, const bookkeeping::StateRead& live,
                          const CancellationAttempt& attempt);
  void on_cancellation_written(protocol::JobId id, bookkeeping::WriteOutcome outcome);

  ControllerContext& context_;
  Scheduler& scheduler_;
  JobLookup& lookup_;
  ChangeLogEntries change_log_entries_;
  JobAdmission admission_;
  std::map<protocol::JobId, std::vector<UserReply>>
      cancellation_replies_;  ///< replies that wait for each job's final state
  std::map<protocol::JobId, PendingCancellation> pending_cancellations_;  ///< writes on the records
};

}  // namespace robinford::coordination
