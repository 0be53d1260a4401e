/// @file
/// Answers to users' requests about jobs.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "bookkeeping/job_ledger.hpp"
#include "coordination/routing/job_lookup.hpp"
#include "protocol/messages.hpp"

namespace robinford::coordination {

/// Answer to a user's request.
struct UserAnswer {
  int status = 503;       ///< HTTP status
  int retry_after_s = 0;  ///< 0 to omit the Retry-After header
  std::string body;
  /// The job that the answer reports as cancelled. The cancellation is announced to the other controllers
  /// before the answer is sent: docs/design.md, "Cancellations".
  std::optional<protocol::JobId> cancelled;
};

/// Receives the answer to one request; called once.
using UserReply = std::function<void(const UserAnswer&)>;

/// A user's request for a change that waits for an answer.
struct UserRequest {
  UserReply reply;
  double deadline = 0;  ///< steady s; an answer that is given later reaches nobody
};

/// Returns a 503 answer: the request can't be served now, and the user may retry.
UserAnswer unavailable(const std::string& reason);
/// Returns an answer that refuses the request and does not suggest a retry.
UserAnswer refused(int status, const std::string& reason);
/// Returns an answer with the job's final state, which must be durable.
UserAnswer final_state_answer(protocol::JobId id, bookkeeping::FinalState state);
/// Returns an answer with the state of a job in the leader's ledger; 503 while its final state is being
/// written.
UserAnswer ledger_answer(const bookkeeping::Job& job);
/// Returns an answer with the state of a job that was looked up at `now`, in steady seconds; `if_never` if
/// the job was never accepted, and 503 if its state could not be determined.
UserAnswer lookup_answer(protocol::JobId id, const JobLookup::Result& known, double now,
                         const UserAnswer& if_never);

}  // namespace robinford::coordination
