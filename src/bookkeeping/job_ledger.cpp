/// @file
/// The jobs in memory, the cache of final states, and the log lines of state changes.
#include "bookkeeping/job_ledger.hpp"

#include <spdlog/spdlog.h>

#include "constants.hpp"

namespace robinford::bookkeeping {

void JobLedger::clear() { jobs_.clear(); }

Job* JobLedger::find(JobId id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

Job& JobLedger::add(JobSpec spec, std::uint64_t mod_revision, std::int64_t submitted_ms, double now) {
  auto job = std::make_unique<Job>();
  job->done.resize(spec.tasks);
  job->spec = std::move(spec);
  job->mod_revision = mod_revision;
  job->submitted_ms = submitted_ms;
  job->known_at = now;
  if (!job->spec.dependencies.empty()) {
    job->state = JobState::kWaiting;
    job->ready_on_record = false;
  }
  auto& slot = jobs_[job->spec.id];
  slot = std::move(job);
  return *slot;
}

void JobLedger::erase(JobId id) { jobs_.erase(id); }

std::optional<FinalState> JobLedger::final_state(JobId id) const {
  const auto found = finals_.find(id);
  return found == finals_.end() ? std::nullopt : std::optional(found->second);
}

void JobLedger::remember_final(JobId id, FinalState state) {
  if (!finals_.emplace(id, state).second) return;
  final_order_.push_back(id);
  if (final_order_.size() <= constants::kFinalCacheMax) return;
  finals_.erase(final_order_.front());
  final_order_.pop_front();
}

void JobLedger::set_state(Job& job, JobState state) {
  if (job.state == state) return;
  spdlog::debug("job {}: {} -> {}", protocol::job_id_text(job.spec.id), to_text(job.state), to_text(state));
  job.state = state;
}

void JobLedger::set_gang_state(Job& job, GangState state, double now) {
  if (job.gang == state) return;
  spdlog::debug("gang {}: {} -> {} after {:.1f} s", protocol::job_id_text(job.spec.id), to_text(job.gang),
                to_text(state), job.gang_since > 0 ? now - job.gang_since : 0.0);
  job.gang = state;
  job.gang_since = now;
}

void JobLedger::set_run_state(Job& job, TaskRun& run, RunState state) {
  if (run.state == state) return;
  if (spdlog::should_log(spdlog::level::trace))
    spdlog::trace("task of {} on {}: {} -> {}", protocol::job_id_text(job.spec.id), run.machine,
                  to_text(run.state), to_text(state));
  run.state = state;
}

}  // namespace robinford::bookkeeping
