/// @file
/// Implementation of the answers to users.
#include "coordination/routing/user_answer.hpp"

#include "constants.hpp"
#include "protocol/names.hpp"

namespace robinford::coordination {
namespace c = constants;
namespace n = names;
using bookkeeping::FinalState;
using bookkeeping::Job;
using bookkeeping::JobLedger;
using bookkeeping::JobState;
using protocol::JobId;

UserAnswer unavailable(const std::string& reason) {
  return {503, c::kRetryAfterS, protocol::error_json(reason), std::nullopt};
}

UserAnswer refused(int status, const std::string& reason) {
  return {status, 0, protocol::error_json(reason), std::nullopt};
}

UserAnswer final_state_answer(JobId id, FinalState state) {
  UserAnswer answer{200, 0, protocol::job_state_json(id, bookkeeping::to_text(state)), std::nullopt};
  if (state == FinalState::kCancelled) answer.cancelled = id;
  return answer;
}

UserAnswer ledger_answer(const Job& job) {
  // The job's final state may already be durable, and another controller may have read and reported it. An
  // older state must not be reported after that.
  if (job.state == JobState::kCompleting || job.state == JobState::kCancelling)
    return unavailable("its end is being written");
  if (job.state == JobState::kOver) return final_state_answer(job.spec.id, job.final_state);
  std::uint32_t running_tasks = 0;
  for (const auto& [index, run] : job.runs)
    if (run.phase == protocol::TaskPhase::kRunning && run.seen) ++running_tasks;
  const char* state = running_tasks > 0 ? n::kStateRunning : n::kStateQueued;
  const bool show_reason = job.wait_reason && bookkeeping::needs_operator(*job.wait_reason);
  return {200, 0,
          protocol::job_poll_json(job.spec.id, state, job.done_count, running_tasks,
                                  show_reason ? bookkeeping::to_text(*job.wait_reason) : nullptr),
          std::nullopt};
}

UserAnswer lookup_answer(JobId id, const JobLookup::Result& known, double now, const UserAnswer& if_never) {
  switch (known.record_status) {
    case JobLookup::Result::RecordStatus::kLive: {
      const auto job = JobLedger::from_record(known.live.value, known.live.mod_revision, now);
      if (!job) return unavailable("the record can't be read");
      return {200, 0, protocol::job_poll_json(id, n::kStateQueued, job->done_count, 0), std::nullopt};
    }
    case JobLookup::Result::RecordStatus::kFinal:
      return final_state_answer(id, known.state);
    case JobLookup::Result::RecordStatus::kNeverAccepted:
      return if_never;
    case JobLookup::Result::RecordStatus::kUnknown:
      break;
  }
  return unavailable("the state service does not answer");
}

}  // namespace robinford::coordination
