/// @file
/// Implementation of JobLookup.
#include "coordination/routing/job_lookup.hpp"

#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::FinalState;
using bookkeeping::Job;
using bookkeeping::JobLedger;
using bookkeeping::JobState;
using bookkeeping::StateRead;
using protocol::JobId;
using RecordStatus = JobLookup::Result::RecordStatus;

/// One lookup that follows the dependencies of a waiting job, with a worklist instead of recursion.
struct JobLookup::Walk {
  JobId id = 0;
  Result live;  ///< the result if no dependency is cancelled
  Done done;
  std::vector<JobId> to_check;
  std::set<JobId> seen;
};

JobLookup::JobLookup(ControllerContext& context, Events events)
    : context_(context), events_(std::move(events)) {}

void JobLookup::read_own_records(JobId id, Done done) {
  if (const auto state = context_.jobs.final_state(id)) return done({RecordStatus::kFinal, *state, {}});
  context_.state.read(JobLedger::live_key(id), [this, id, done = std::move(done)](const StateRead& live) {
    if (live.found == StateRead::Found::kUnknown) return done({});
    // A job goes from live to final and never back, so reading the final record after the live one can't miss
    // an accepted job.
    if (live.found == StateRead::Found::kNo) return read_final_record(id, done);
    if (!JobLedger::is_cancelled(live.value)) {
      events_.accepted(id);
      return done({RecordStatus::kLive, FinalState::kDone, live});
    }
    events_.cancelled(id);
    done({RecordStatus::kFinal, FinalState::kCancelled, {}});
  });
}

void JobLookup::read_final_record(JobId id, const Done& done) {
  context_.state.read(JobLedger::final_key(id), [this, id, done](const StateRead& final) {
    if (final.found == StateRead::Found::kUnknown) return done({});
    if (final.found == StateRead::Found::kNo)
      return done({RecordStatus::kNeverAccepted, FinalState::kDone, {}});
    const auto state = JobLedger::final_from_record(final.value);
    if (!state) return done({});
    if (*state == FinalState::kCancelled)
      events_.cancelled(id);
    else
      context_.jobs.remember_final(id, *state);
    done({RecordStatus::kFinal, *state, {}});
  });
}

void JobLookup::read_state_with_dependencies(JobId id, Done done) {
  read_own_records(id, [this, id, done = std::move(done)](const Result& known) {
    if (known.record_status != RecordStatus::kLive) return done(known);
    const auto job = JobLedger::from_record(known.live.value, known.live.mod_revision, context_.now.steady);
    if (!job || job->state != JobState::kWaiting) return done(known);
    follow_dependencies(std::make_shared<Walk>(Walk{id, known, done, job->spec.dependencies, {}}));
  });
}

void JobLookup::follow_dependencies(const WalkPtr& walk) {
  while (!walk->to_check.empty()) {
    const JobId next = walk->to_check.back();
    walk->to_check.pop_back();
    if (!walk->seen.insert(next).second) continue;
    if (const auto state = context_.jobs.final_state(next)) {
      if (*state == FinalState::kDone) continue;
      return finish_as_cancelled(walk);
    }
    // Limits the number of reads that one lookup can cause at the state service.
    if (walk->seen.size() > c::kDependencyWalkReadsMax) return walk->done({});
    return read_own_records(next, [this, walk](const Result& known) { on_dependency_read(walk, known); });
  }
  walk->done(walk->live);
}

void JobLookup::on_dependency_read(const WalkPtr& walk, const Result& dependency) {
  switch (dependency.record_status) {
    case RecordStatus::kUnknown:
    case RecordStatus::kNeverAccepted:
      return walk->done({});
    case RecordStatus::kFinal:
      if (dependency.state == FinalState::kCancelled) return finish_as_cancelled(walk);
      break;
    case RecordStatus::kLive: {
      const auto job =
          JobLedger::from_record(dependency.live.value, dependency.live.mod_revision, context_.now.steady);
      if (!job) return walk->done({});
      if (job->state != JobState::kWaiting) break;
      const auto& needs = job->spec.dependencies;
      walk->to_check.insert(walk->to_check.end(), needs.begin(), needs.end());
      break;
    }
  }
  follow_dependencies(walk);
}

void JobLookup::finish_as_cancelled(const WalkPtr& walk) {
  events_.cancelled(walk->id);
  walk->done({RecordStatus::kFinal, FinalState::kCancelled, {}});
}

}  // namespace robinford::coordination
