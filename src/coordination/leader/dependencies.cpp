/// @file
/// Implements Dependencies.
#include "coordination/leader/dependencies.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::FinalState;
using bookkeeping::Job;
using bookkeeping::JobState;
using protocol::JobId;
using protocol::Priority;

Dependencies::Dependencies(ControllerContext& context, JobLookup& lookup, Events events)
    : context_(context), lookup_(lookup), events_(std::move(events)) {}

void Dependencies::clear() {
  ++generation_;
  graph_.clear();
  unknown_.clear();
  reading_.clear();
  missing_.clear();
  next_read_ = 0;
}

void Dependencies::track(Job& job) {
  const JobId id = job.spec.id;
  const auto needed = job.spec.dependencies;
  graph_.add(id, needed);
  for (const auto dependency : needed) {
    if (const auto state = context_.jobs.final_state(dependency)) {
      finished(dependency, *state);
      if (!graph_.waits(id)) return;
    } else if (known_unfinished(dependency)) {
      // The job was never released, so no earlier leader can have placed any task of it.
      job.before = false;
    } else {
      unknown_.insert(dependency);
    }
  }
}

bool Dependencies::known_unfinished(JobId id) {
  const Job* job = context_.jobs.find(id);
  return job != nullptr && !job->over();
}

void Dependencies::finished(JobId id, FinalState state) {
  unknown_.erase(id);
  graph_.remove(id);
  const auto outcome = graph_.finished(id, state);
  for (const auto dependent : outcome.cancelled)
    if (Job* job = context_.jobs.find(dependent)) events_.cancelled(*job);
  for (const auto dependent : outcome.ready)
    if (Job* job = context_.jobs.find(dependent); job != nullptr && job->state == JobState::kWaiting)
      events_.ready(*job);
}

void Dependencies::tick() {
  if (unknown_.empty() || context_.now.steady < next_read_) return;
  next_read_ = context_.now.steady + c::kLedgerReadRetryS;
  std::vector<JobId> to_read;
  for (const auto id : unknown_)
    if (to_read.size() + reading_.size() < c::kDependencyReadsInFlightMax && !reading_.contains(id))
      to_read.push_back(id);
  for (const auto id : to_read) read(id);
}

void Dependencies::read(JobId id) {
  if (known_unfinished(id) || !graph_.dependents().contains(id)) {
    unknown_.erase(id);
    return;
  }
  reading_.insert(id);
  lookup_.read_own_records(id, [this, id, generation = generation_](const JobLookup::Result& known) {
    if (generation != generation_) return;
    reading_.erase(id);
    // After a conclusive answer the next reads may start at once, since more dependencies may be waiting to
    // be read. If this dependency has to be read again, the cases below set a later time.
    if (known.record_status != JobLookup::Result::RecordStatus::kUnknown) next_read_ = context_.now.steady;
    switch (known.record_status) {
      case JobLookup::Result::RecordStatus::kFinal:
        return finished(id, known.state);
      case JobLookup::Result::RecordStatus::kLive:
        if (!known_unfinished(id)) events_.admitted(id);
        next_read_ = context_.now.steady + c::kLedgerReadRetryS;
        return;
      case JobLookup::Result::RecordStatus::kNeverAccepted:
        if (missing_.insert(id).second)
          spdlog::error("jobs wait for {}, of which there is no record", protocol::job_id_text(id));
        next_read_ = context_.now.steady + c::kVersionsReadIntervalS;
        return;
      case JobLookup::Result::RecordStatus::kUnknown:
        return;
    }
  });
}

bool Dependencies::release_states_known() {
  for (auto& [id, job] : context_.jobs.all()) {
    if (job->state != JobState::kWaiting) continue;
    const auto& needed = graph_.dependencies(id);
    const bool blocked = std::any_of(needed.begin(), needed.end(), [this](JobId dependency) {
      return known_unfinished(dependency) || missing_.contains(dependency);
    });
    if (!blocked) return false;
  }
  return true;
}

void Dependencies::inherit_priorities(const std::function<double(const Job&)>& duration_s) {
  for (auto& [id, job] : context_.jobs.all()) {
    job->inherited_priority = Priority::kLow;
    job->inherited_due_ms = std::numeric_limits<double>::infinity();
  }
  for (const auto& [dependent, dependency] : graph_.dependents_first()) {
    const Job* later = context_.jobs.find(dependent);
    Job* earlier = context_.jobs.find(dependency);
    if (later == nullptr || earlier == nullptr) continue;
    earlier->inherited_priority = std::max(earlier->inherited_priority, later->priority());
    const double due_ms = std::min(later->due_ms(), later->inherited_due_ms);
    earlier->inherited_due_ms = std::min(earlier->inherited_due_ms, due_ms - duration_s(*later) * 1000);
  }
}

}  // namespace robinford::coordination
