/// @file
/// Implementation of JobRequests.
#include "coordination/routing/job_requests.hpp"

#include <utility>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::FinalState;
using bookkeeping::Job;
using bookkeeping::JobLedger;
using bookkeeping::JobState;
using bookkeeping::StateRead;
using bookkeeping::WriteOp;
using bookkeeping::WriteOutcome;
using protocol::JobId;

JobRequests::JobRequests(ControllerContext& context, const Election& election, Scheduler& scheduler,
                         const PeerVersions& versions, JobAdmission::JobChanged job_changed)
    : context_(context),
      scheduler_(scheduler),
      lookup_(scheduler.lookup()),
      change_log_entries_(context.incarnation),
      admission_(context, election, scheduler, versions, change_log_entries_, std::move(job_changed)) {}

void JobRequests::submit(const std::string& body, const UserRequest& request) {
  const UserReply& reply = request.reply;
  const auto submission = protocol::parse_job(body);
  if (!submission.id) return reply(refused(400, submission.error));
  const JobId id = *submission.id;
  // For a job that is known in memory the answer is its state; the submitted description is not checked.
  if (const auto state = context_.jobs.final_state(id)) return reply(final_state_answer(id, *state));
  if (leading() && context_.jobs.find(id) != nullptr) return answer_as_leader(id, reply);
  admission_.admit(id, submission, request);
}

// ---------------------------------------------------------------- polls

void JobRequests::poll(JobId id, const UserReply& reply) {
  if (const auto state = context_.jobs.final_state(id)) return reply(final_state_answer(id, *state));
  if (leading() && context_.jobs.find(id) != nullptr) return answer_as_leader(id, reply);
  answer_from_records(id, reply);
}

// Answers from the leader's ledger once no other controller can have announced a newer state to a user:
// immediately while the in-memory state is known to be current, otherwise after a read of the change log that
// all waiting requests share. Reading the job's record for each poll exhausted the state service's limit as
// soon as one controller was absent.
void JobRequests::answer_as_leader(JobId id, const UserReply& reply) {
  if (context_.cancellations.is_in_memory_state_current(context_.now.steady))
    return answer_from_ledger(id, reply);
  scheduler_.change_log().after_fresh_read([this, id, reply](bool read) {
    if (!read || !leading()) return reply(unavailable("the state service does not answer"));
    answer_from_ledger(id, reply);
  });
}

void JobRequests::answer_from_ledger(JobId id, const UserReply& reply) {
  if (const auto state = context_.jobs.final_state(id)) return reply(final_state_answer(id, *state));
  const Job* job = context_.jobs.find(id);
  const bool waits = job != nullptr && job->state == JobState::kWaiting;
  if (job != nullptr && (!waits || scheduler_.dependencies_settled())) return reply(ledger_answer(*job));
  answer_from_records(id, reply);
}

void JobRequests::answer_from_records(JobId id, const UserReply& reply) {
  lookup_.read_state_with_dependencies(id, [this, id, reply](const JobLookup::Result& known) {
    // The record was read after the user's request arrived and shows that the job is not cancelled; the
    // leader's ledger has the more recent state of its tasks.
    if (known.record_status == JobLookup::Result::RecordStatus::kLive && leading())
      if (const Job* job = context_.jobs.find(id)) return reply(ledger_answer(*job));
    reply(lookup_answer(id, known, context_.now.steady, refused(404, "no such job")));
  });
}

// ---------------------------------------------------------------- cancellations

void JobRequests::cancel(JobId id, const UserRequest& request) {
  const UserReply& reply = request.reply;
  if (const auto state = context_.jobs.final_state(id)) return reply(final_state_answer(id, *state));
  Job* job = leading() ? context_.jobs.find(id) : nullptr;
  if (job == nullptr) return cancel_on_records(id, {request, c::kCancelWriteAttempts});
  // The reply is registered before the cancellation starts: if another final state is already being written,
  // the answer is the state that becomes durable.
  cancellation_replies_[id].push_back(reply);
  scheduler_.cancel(*job);
}

void JobRequests::on_job_final_state(JobId id, FinalState state) {
  const auto found = cancellation_replies_.find(id);
  if (found == cancellation_replies_.end()) return;
  const auto replies = std::move(found->second);
  cancellation_replies_.erase(found);
  for (const auto& reply : replies) reply(final_state_answer(id, state));
}

void JobRequests::fail_waiting_cancellations() {
  const auto cancelling = std::exchange(cancellation_replies_, {});
  for (const auto& [id, replies] : cancelling)
    for (const auto& reply : replies) reply(unavailable("leadership changes"));
}

// Each attempt reads the records again, because another controller may write them concurrently.
void JobRequests::cancel_on_records(JobId id, const CancellationAttempt& attempt) {
  if (attempt.tries_left == 0) return attempt.request.reply(unavailable("the job is changing"));
  lookup_.read_state_with_dependencies(id, [this, id, attempt](const JobLookup::Result& known) {
    if (known.record_status == JobLookup::Result::RecordStatus::kLive)
      return write_cancellation(id, known.live, attempt);
    attempt.request.reply(lookup_answer(id, known, context_.now.steady, refused(404, "no such job")));
  });
}

// A second write of the same cancellation would conflict with the first, and so would its whole transaction.
void JobRequests::write_cancellation(JobId id, const StateRead& live, const CancellationAttempt& attempt) {
  PendingCancellation& pending = pending_cancellations_[id];
  pending.attempts.push_back(attempt);
  if (pending.attempts.size() > 1) {
    context_.metrics.count("cancellations_joined");
    return context_.writer.extend(pending.write, attempt.request.deadline);
  }
  auto cancelled_record = JobLedger::cancelled_record(live.value.get_object(), context_.now.wall_ms);
  std::vector<WriteOp> ops{
      WriteOp{JobLedger::final_key(id), 0, JobLedger::final_record(FinalState::kCancelled)},
      WriteOp{JobLedger::live_key(id), live.mod_revision, std::move(cancelled_record)},
      change_log_entries_.make_cancellation_entry(id)};
  const auto write = context_.writer.submit(
      std::move(ops),
      [this, id](WriteOutcome outcome, std::uint64_t) { on_cancellation_written(id, outcome); },
      bookkeeping::WritePriority::kFinalState, attempt.request.deadline);
  // A refused write has been answered already.
  if (const auto queued = pending_cancellations_.find(id); queued != pending_cancellations_.end())
    queued->second.write = write;
}

void JobRequests::on_cancellation_written(JobId id, WriteOutcome outcome) {
  const auto found = pending_cancellations_.find(id);
  const auto attempts = std::move(found->second.attempts);
  pending_cancellations_.erase(found);
  if (outcome == WriteOutcome::kDone) scheduler_.on_cancelled_elsewhere(id);
  for (const auto& [request, tries_left] : attempts) {
    if (outcome == WriteOutcome::kDone)
      request.reply(final_state_answer(id, FinalState::kCancelled));
    else if (outcome == WriteOutcome::kConflict)
      cancel_on_records(id, {request, tries_left - 1});
    else
      request.reply(unavailable("not written"));
  }
}

}  // namespace robinford::coordination
