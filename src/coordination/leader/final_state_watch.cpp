/// @file
/// Implementation of FinalStateWatch.
#include "coordination/leader/final_state_watch.hpp"

#include <spdlog/spdlog.h>

#include "constants.hpp"

namespace robinford::coordination {
using bookkeeping::Job;
using bookkeeping::JobState;
using bookkeeping::PendingRecordWrite;

namespace {

const char* pending_write_text(const Job& job) {
  if (!job.pending_write) return "none";
  return job.pending_write->kind == PendingRecordWrite::Kind::kProgress ? "progress" : "final state";
}

}  // namespace

void FinalStateWatch::begin_sweep(double now) {
  now_ = now;
  waiting_ = 0;
  oldest_ = nullptr;
}

void FinalStateWatch::visit(const Job& job) {
  if (job.state != JobState::kCompleting && job.state != JobState::kCancelling) return;
  ++waiting_;
  if (oldest_ == nullptr || job.end_began_at < oldest_->end_began_at) oldest_ = &job;
}

void FinalStateWatch::end_sweep(std::uint64_t term, Metrics& metrics) {
  const double oldest_s = oldest_ == nullptr ? 0 : now_ - oldest_->end_began_at;
  metrics.gauge("final_states_waiting", static_cast<double>(waiting_));
  metrics.gauge("final_state_oldest_seconds", oldest_s);
  if (oldest_s < constants::kFinalStateOverdueS) return;
  if (now_ - last_warning_at_ < constants::kOverdueWarningIntervalS) return;
  last_warning_at_ = now_;
  warn(term);
}

void FinalStateWatch::warn(std::uint64_t term) const {
  spdlog::warn(
      "job {} is {} and not durable after {:.0f} s: term {}, record at revision {}, pending write {}, last "
      "outcome {}; {} such jobs",
      protocol::job_id_text(oldest_->spec.id), bookkeeping::to_text(oldest_->state),
      now_ - oldest_->end_began_at, term, oldest_->mod_revision, pending_write_text(*oldest_),
      oldest_->last_final_outcome ? bookkeeping::to_text(*oldest_->last_final_outcome) : "none", waiting_);
}

}  // namespace robinford::coordination
