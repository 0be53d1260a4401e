/// @file
/// Names of job states, and the order in which the tasks of a job are placed.
#include "bookkeeping/job.hpp"

#include "protocol/names.hpp"

namespace robinford::bookkeeping {

const char* to_text(FinalState state) {
  return state == FinalState::kDone ? names::kStateDone : names::kStateCancelled;
}

const char* to_text(RunState state) {
  switch (state) {
    case RunState::kPlanned:
      return "planned";
    case RunState::kLaunched:
      return "launched";
    case RunState::kPresent:
      return "present";
    case RunState::kStopping:
      return "stopping";
  }
  return "?";
}

const char* to_text(JobState state) {
  switch (state) {
    case JobState::kWaiting:
      return "waiting";
    case JobState::kActive:
      return "active";
    case JobState::kCompleting:
      return "completing";
    case JobState::kCancelling:
      return "cancelling";
    case JobState::kOver:
      return "over";
  }
  return "?";
}

const char* to_text(GangState state) {
  switch (state) {
    case GangState::kQueued:
      return "queued";
    case GangState::kReserving:
      return "reserving";
    case GangState::kLaunching:
      return "launching";
    case GangState::kRunning:
      return "running";
    case GangState::kStopping:
      return "stopping";
  }
  return "?";
}

const char* to_text(WaitReason reason) {
  switch (reason) {
    case WaitReason::kBackoff:
      return "its backoff after failures has not ended";
    case WaitReason::kUnreconciled:
      return "an unresponsive machine may still run its tasks";
    case WaitReason::kOverLimit:
      return "it needs more than the limit of its team";
    case WaitReason::kQuota:
      return "the quota of its team does not allow it now";
    case WaitReason::kImpossible:
      return "the cloud offers no machines on which all its tasks fit";
    case WaitReason::kCapacityRefused:
      return "the cloud refuses the machines that it needs";
    case WaitReason::kTier:
      return "other arrays go first, since it would miss its due time anyway";
    case WaitReason::kNoCapacity:
      return "no machine has free capacity that it may use now";
  }
  return "?";
}

const char* label_of(WaitReason reason) {
  switch (reason) {
    case WaitReason::kBackoff:
      return "backoff";
    case WaitReason::kUnreconciled:
      return "unreconciled";
    case WaitReason::kOverLimit:
      return "over_limit";
    case WaitReason::kQuota:
      return "quota";
    case WaitReason::kImpossible:
      return "impossible";
    case WaitReason::kCapacityRefused:
      return "capacity_refused";
    case WaitReason::kTier:
      return "tier";
    case WaitReason::kNoCapacity:
      return "no_capacity";
  }
  return "?";
}

bool needs_operator(WaitReason reason) {
  return reason == WaitReason::kOverLimit || reason == WaitReason::kImpossible ||
         reason == WaitReason::kCapacityRefused;
}

std::uint32_t Job::unplaced() const {
  const auto placed = static_cast<std::uint32_t>(runs.size());
  return placed >= remaining() ? 0 : remaining() - placed;
}

std::optional<std::uint32_t> Job::next_task() const {
  if (!again.empty()) return *again.begin();
  std::uint32_t index = next_fresh;
  while (index < spec.tasks && (done[index] || runs.contains(index))) ++index;
  return index < spec.tasks ? std::optional(index) : std::nullopt;
}

void Job::mark_placed(std::uint32_t index) {
  again.erase(index);
  delayed.erase(index);
  while (next_fresh < spec.tasks && (next_fresh == index || done[next_fresh] || runs.contains(next_fresh)))
    ++next_fresh;
}

void Job::requeue_task(std::uint32_t index) {
  delayed.erase(index);
  if (!done[index] && !runs.contains(index) && index < next_fresh) again.insert(index);
}

void Job::requeue_task_at(std::uint32_t index, double at) {
  again.erase(index);
  if (!done[index] && !runs.contains(index) && index < next_fresh) delayed[index] = at;
}

void Job::mark_done(std::uint32_t index) {
  if (done[index]) return;
  done[index] = true;
  ++done_count;
  ++done_version;
  again.erase(index);
  delayed.erase(index);
  launches.record_progress(index);
}

double Job::due_ms() const {
  return spec.deadline_s ? static_cast<double>(submitted_ms) + *spec.deadline_s * 1000
                         : std::numeric_limits<double>::infinity();
}

}  // namespace robinford::bookkeeping
