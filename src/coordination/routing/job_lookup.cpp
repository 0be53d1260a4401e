#include "coordination/routing/job_lookup.hpp"

#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::FinalState;
using bookkeeping::JobLedger;
using bookkeeping::JobState;
using bookkeeping::StateRead;
using protocol::JobId;

// A question that follows a waiting job's dependencies. The worklist bounds what it may cost.
struct JobLookup::Walk {
  JobId id = 0;
  Known live;
  Done done;
  std::vector<JobId> open;
  std::set<JobId> seen;
};

JobLookup::JobLookup(ControllerContext& context, std::function<void(JobId)> cancelled)
    : context_(context), cancelled_(std::move(cancelled)) {}

void JobLookup::own_records(JobId id, Done done) {
  if (const auto state = context_.jobs.final_state(id)) return done({Known::What::kFinal, *state, {}});
  context_.state.read(JobLedger::live_key(id), [this, id, done = std::move(done)](const StateRead& live) {
    if (live.found == StateRead::Found::kUnknown) return done({});
    if (live.found == StateRead::Found::kYes) {
      if (!JobLedger::is_cancelled(live.value)) return done({Known::What::kLive, FinalState::kDone, live});
      cancelled_(id);
      return done({Known::What::kFinal, FinalState::kCancelled, {}});
    }
    // A job moves from live to final and never back, so this order misses none.
    context_.state.read(JobLedger::final_key(id), [this, id, done](const StateRead& final) {
      if (final.found == StateRead::Found::kUnknown) return done({});
      if (final.found == StateRead::Found::kNo) return done({Known::What::kNever, FinalState::kDone, {}});
      const auto state = JobLedger::final_from_record(final.value);
      if (!state) return done({});
      if (*state == FinalState::kCancelled)
        cancelled_(id);
      else
        context_.jobs.remember_final(id, *state);
      done({Known::What::kFinal, *state, {}});
    });
  });
}

void JobLookup::state(JobId id, Done done) {
  own_records(id, [this, id, done = std::move(done)](const Known& known) {
    if (known.what != Known::What::kLive) return done(known);
    const auto job = JobLedger::from_record(known.live.value, known.live.mod_revision, context_.now.steady);
    if (!job || job->state != JobState::kWaiting) return done(known);
    auto walk = std::make_shared<Walk>(Walk{id, known, done, job->spec.dependencies, {}});
    this->walk(walk);
  });
}

void JobLookup::walk(const std::shared_ptr<Walk>& walk) {
  while (!walk->open.empty()) {
    const JobId next = walk->open.back();
    walk->open.pop_back();
    if (!walk->seen.insert(next).second) continue;
    if (const auto state = context_.jobs.final_state(next)) {
      if (*state == FinalState::kDone) continue;
      cancelled_(walk->id);
      return walk->done({Known::What::kFinal, FinalState::kCancelled, {}});
    }
    if (walk->seen.size() > c::kDependencyWalkMost) return walk->done({});
    own_records(next, [this, walk](const Known& known) {
      if (known.what == Known::What::kUnknown || known.what == Known::What::kNever) return walk->done({});
      if (known.what == Known::What::kFinal && known.state == FinalState::kCancelled) {
        cancelled_(walk->id);
        return walk->done(known);
      }
      if (known.what == Known::What::kLive) {
        const auto job =
            JobLedger::from_record(known.live.value, known.live.mod_revision, context_.now.steady);
        if (!job) return walk->done({});
        if (job->state == JobState::kWaiting)
          walk->open.insert(walk->open.end(), job->spec.dependencies.begin(), job->spec.dependencies.end());
      }
      this->walk(walk);
    });
    return;
  }
  walk->done(walk->live);
}

}  // namespace robinford::coordination
