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

/// An answer to a user.
struct UserAnswer {
  int status = 503;       ///< of HTTP
  int retry_after_s = 0;  ///< 0: no such header
  std::string body;
  /// The job that the answer says to be cancelled. It is announced to the other controllers first:
  /// docs/design.md, "Cancellations".
  std::optional<protocol::JobId> cancelled;
};

/// Takes the answer to one request; called once.
using UserReply = std::function<void(const UserAnswer&)>;

/// The request can't be served just now (503); the user may try again.
UserAnswer unavailable(const std::string& reason);
/// The request is refused for good.
UserAnswer refused(int status, const std::string& reason);
/// The job's final state is durable.
UserAnswer final_state_answer(protocol::JobId id, bookkeeping::FinalState state);
/// The state of a job in the leader's ledger.
UserAnswer ledger_answer(const bookkeeping::Job& job);
/// The state of a job as it was looked up at `now`, in steady seconds; `if_never` if it was never accepted.
UserAnswer lookup_answer(protocol::JobId id, const JobLookup::Result& known, double now,
                         const UserAnswer& if_never);

}  // namespace robinford::coordination
