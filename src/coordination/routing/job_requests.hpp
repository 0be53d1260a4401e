/// @file
/// Users' requests about jobs: submissions, polls and cancellations.
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

/// Carries out users' requests, at the leader from its ledger, and at any other controller on the records in
/// the state service. Each reply is called once, at the latest when the state service answers or is given up;
/// an answer is durable, and never older than one that another controller may have given:
/// docs/design.md, "Cancellations".
class JobRequests {
 public:
  JobRequests(ControllerContext& context, const Election& election, Scheduler& scheduler,
              const PeerVersions& versions, JobAdmission::JobChanged job_changed);

  /// Accepts a job; `body` is its description as JSON. A job that is known already is answered with its
  /// state.
  void submit(const std::string& body, const UserReply& reply);
  /// Answers with the job's state.
  void poll(protocol::JobId id, const UserReply& reply);
  /// Cancels the job; if it has a final state, that is the answer.
  void cancel(protocol::JobId id, const UserReply& reply);

  /// The job's final state is durable: answers the cancellations that wait for it.
  void on_job_final_state(protocol::JobId id, bookkeeping::FinalState state);
  /// This controller is not the leader any more: cancellations that its ledger was to settle get 503.
  void fail_waiting_cancellations();

 private:
  bool leading() const { return scheduler_.knows_all_jobs(); }
  void answer_as_leader(protocol::JobId id, const UserReply& reply);
  void answer_from_ledger(protocol::JobId id, const UserReply& reply);
  void answer_from_records(protocol::JobId id, const UserReply& reply);
  void cancel_on_records(protocol::JobId id, int tries_left, const UserReply& reply);
  void write_cancellation(protocol::JobId id, const bookkeeping::StateRead& live, int tries_left,
                          const UserReply& reply);

  ControllerContext& context_;
  Scheduler& scheduler_;
  JobLookup& lookup_;
  ChangeLogEntries change_log_entries_;
  JobAdmission admission_;
  std::map<protocol::JobId, std::vector<UserReply>>
      cancellation_replies_;  ///< who waits for each job's final state
};

}  // namespace robinford::coordination
