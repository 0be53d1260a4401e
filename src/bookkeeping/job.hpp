/// @file
/// A job in memory: its description, its progress, and what this leader knows about its tasks. Section
/// "States" of docs/design.md. Its durable part is defined in job_record.hpp.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bookkeeping/launch_history.hpp"
#include "bookkeeping/write_outcome.hpp"
#include "protocol/messages.hpp"

namespace robinford::bookkeeping {

using protocol::JobId;
using protocol::JobSpec;
using protocol::Priority;

/// How a job ended. It is durable and immutable.
enum class FinalState : std::uint8_t { kDone, kCancelled };
/// The state's name in answers to users.
const char* to_text(FinalState state);

/// State of a task that is, or may be, on a machine.
enum class RunState : std::uint8_t {
  kPlanned,   ///< placed; the launch is not sent yet, and needs a durable record of the machine
  kLaunched,  ///< the launch was sent, and no heartbeat has shown its outcome
  kPresent,   ///< a heartbeat showed the task
  kStopping,  ///< stop commands are sent until the task is known to be gone
};
/// The state's name in log lines.
const char* to_text(RunState state);

/// One attempt to run a task on a machine.
struct TaskRun {
  std::string machine;
  std::uint64_t attempt = 0;
  RunState state = RunState::kPlanned;
  protocol::TaskPhase phase = protocol::TaskPhase::kFetching;
  bool seen = false;    ///< a heartbeat has shown this attempt
  bool direct = false;  ///< launched by a direct command, which may take effect late
  /// Counters of the machine's newest accepted heartbeat when the launch was sent. A launch that is sent in a
  /// heartbeat answer is in the answer to the heartbeat with these counters.
  std::uint64_t launch_agent_epoch = 0;
  std::uint64_t launch_seq = 0;
  // Times of the steady clock, in s. For a task that an earlier leader launched, the first three are the time
  // at which this leader first saw it.
  double planned_at = 0;
  double launched_at = 0;
  double running_since = 0;
  double last_stop = -1e9;  ///< when this leader last tried to send a direct stop command
  double stop_grace = 0;    ///< s
};

/// Capacity of one machine reserved for one task of a gang, before task indexes are assigned. Times are those
/// of the steady clock, in s.
struct Reservation {
  std::string machine;
  double made_at = 0;
  double expires_at = 0;
  bool confirmed = false;  ///< a heartbeat that arrived after the reservation was made was accepted
};

/// State of a job as the leader sees it.
enum class JobState : std::uint8_t {
  kWaiting,     ///< accepted; a job that it depends on is not known to be done
  kActive,      ///< waits for no other job; its tasks may be placed
  kCompleting,  ///< all tasks are done; the final record is being written
  kCancelling,  ///< cancelled by its user; the final record is being written
  /// Its end is durable, or it was cancelled because a job that it depends on was. Kept in memory until no
  /// machine can hold a task of it and, if it was cancelled, its own cancellation is on record.
  kOver,
};
/// The state's name in log lines.
const char* to_text(JobState state);

/// State of an active gang.
enum class GangState : std::uint8_t {
  kQueued,     ///< waits for a placement round
  kReserving,  ///< reservations are made, not all are confirmed
  kLaunching,  ///< all reservations are confirmed; launches are in flight
  kRunning,    ///< heartbeats have shown all tasks
  kStopping,   ///< all tasks are being stopped; the gang is queued again when they are gone
};
/// The state's name in log lines.
const char* to_text(GangState state);

/// Whether a job that waits can get the capacity that it needs.
enum class CapacityOutlook : std::uint8_t {
  kPossible,
  kRefused,     ///< only with machines that the cloud refuses at present
  kImpossible,  ///< not even with all machine types, zones and price models that the cloud offers
};

/// Why an active job has neither a run nor a reservation.
enum class WaitReason : std::uint8_t {
  kBackoff,          ///< it failed, and its next attempt is delayed
  kUnreconciled,     ///< a machine that this leader has not reconciled may run its tasks
  kOverLimit,        ///< it alone needs more than its team's limit
  kQuota,            ///< its team's limit, or other work of the team, leaves too little
  kImpossible,       ///< CapacityOutlook::kImpossible
  kCapacityRefused,  ///< CapacityOutlook::kRefused
  kTier,             ///< arrays that can end in time go first
  kNoCapacity,       ///< no machine that it may use has free capacity now
};
inline constexpr std::array kWaitReasons{
    WaitReason::kBackoff,    WaitReason::kUnreconciled,    WaitReason::kOverLimit, WaitReason::kQuota,
    WaitReason::kImpossible, WaitReason::kCapacityRefused, WaitReason::kTier,      WaitReason::kNoCapacity};
/// The reason in log lines and answers to users.
const char* to_text(WaitReason reason);
/// The reason as the label of a metric.
const char* label_of(WaitReason reason);
/// Whether neither the end of other work nor further machines end the wait.
bool needs_operator(WaitReason reason);

/// A write of a job's live or final record that is not answered yet. A job has at most one.
struct PendingRecordWrite {
  enum class Kind : std::uint8_t {
    kProgress,    ///< of its live record; a final state replaces it
    kFinalState,  ///< of its final record, together with its live record
  };
  Kind kind = Kind::kProgress;
  WriteId id = 0;
};

/// A job that is not over, or one that is over while a machine may still hold tasks of it or its cancellation
/// is not on record.
///
/// Invariants: `done` has `spec.tasks` entries and `done_count` of them are true; `again` and `delayed`
/// hold tasks below `next_fresh` that are neither done nor in `runs`, and no task is in both. Names ending in
/// `_ms` are times of day in ms, other times those of the steady clock in s.
struct Job {
  JobSpec spec;
  std::uint64_t mod_revision = 0;  ///< of its durable live record
  std::int64_t submitted_ms = 0;
  double known_at = 0;  ///< when this leader learned of it, or released it if that is later
  JobState state = JobState::kActive;
  FinalState final_state = FinalState::kDone;

  /// When a leader released it after its last dependency was done. 0: no release is known.
  std::int64_t ready_ms = 0;
  bool ready_on_record = true;  ///< its live record says that it waits for no dependency
  /// False: cancelled through a dependency and not yet recorded as cancelled.
  bool cancelled_on_record = true;
  /// The highest priority of the jobs that depend on it, directly or indirectly.
  Priority inherited_priority = Priority::kLow;
  /// The latest time at which it may end so that all jobs that depend on it finish in time by their estimated
  /// run times. Infinity if none of them has a deadline.
  double inherited_due_ms = std::numeric_limits<double>::infinity();
  /// Loaded when this term began, so an earlier leader may have placed tasks of it. False if one of its
  /// dependencies is known to be unfinished: then it was never released.
  bool before = false;
  /// When it was cancelled, by the clock of the controller that recorded it. 0: unknown.
  std::int64_t cancelled_ms = 0;
  bool cancellation_marked = false;  ///< cancelled, and its live record is marked so

  std::vector<bool> done;  ///< by task index
  std::uint32_t done_count = 0;
  std::uint64_t done_version = 0;     ///< grows with each completion
  std::uint64_t durable_version = 0;  ///< `done_version` up to which its live record has all completions
  std::optional<PendingRecordWrite> pending_write;
  double end_began_at = 0;  ///< when it became kCompleting or kCancelling
  /// Of the last write of its final state; empty if none was answered.
  std::optional<WriteOutcome> last_final_outcome;
  double last_write = 0;

  std::map<std::uint32_t, TaskRun> runs;  ///< by task index
  std::set<std::uint32_t> again;          ///< tasks to be placed again, ahead of fresh ones
  /// Arrays: tasks that become ones of `again` at the given time.
  std::map<std::uint32_t, double> delayed;
  /// Tasks from this index on are to be placed unless they are done or in `runs`.
  std::uint32_t next_fresh = 0;

  GangState gang = GangState::kQueued;
  std::vector<Reservation> reservations;
  std::uint64_t attempt = 0;
  double gang_since = 0;  ///< when the current gang state began
  /// Whether machines that exist or that the cloud may provide can hold all its tasks, by the last plan of
  /// the fleet.
  CapacityOutlook outlook = CapacityOutlook::kPossible;
  std::optional<WaitReason> wait_reason;  ///< empty while it has a run or a reservation
  bool was_placed = false;                ///< it has had a run or reservation under this leader
  bool queued = false;                    ///< in its team's queue (arrays only)
  double next_preempt_search_at = 0;      ///< earliest next search for tasks to preempt

  int failures = 0;  ///< consecutive failures over all machines
  double backoff_until = 0;
  LaunchHistory launches;  ///< of single tasks; of a gang only the first task counts
  double repeated_launches_logged_at = -1e9;
  /// Until then no further tasks are preempted to free its team's quota for it.
  double quota_freed_until = 0;
  std::map<std::string, double> avoid;  ///< machine -> until when the job is not placed there
  /// Gangs: machines to which an attempt was launched directly. Their workers may still list it.
  std::set<std::string> launched_directly_on;
  std::set<std::string> failed_on;  ///< machines on which a task failed since the last success
  double first_started_at = 0;      ///< when this leader first saw one of its tasks start to run
  double run_time_sum_s = 0;        ///< of its completed tasks whose start this leader saw
  int run_time_count = 0;
  /// Arrays: 0 can end in time, 1 can end late by at most half the time from submission to due time
  /// (array_tiers.cpp), 2 neither.
  int tier = 0;

  std::uint32_t remaining() const { return spec.tasks - done_count; }
  /// Number of tasks that are neither done nor in `runs`.
  std::uint32_t unplaced() const;
  /// Whether none of its tasks may be placed any more.
  bool over() const { return state != JobState::kActive && state != JobState::kWaiting; }
  Priority priority() const { return std::max(spec.priority, inherited_priority); }
  /// Time of its submission, or of its release after its last dependency was done if that is later. Its age
  /// in the queue order and in the arrival history counts from it; the deadline counts from the submission.
  std::int64_t eligible_ms() const { return std::max(submitted_ms, ready_ms); }
  /// The next task to place; empty when all are done or placed.
  std::optional<std::uint32_t> next_task() const;
  /// Records that the task was placed.
  void mark_placed(std::uint32_t index);
  /// Makes the task one to be placed again, unless it is done or still in `runs`.
  void requeue_task(std::uint32_t index);
  /// The same, from the given time on.
  void requeue_task_at(std::uint32_t index, double at);
  /// Whether all its tasks that could be placed wait for the end of their backoff.
  bool all_unplaced_delayed() const { return !delayed.empty() && delayed.size() == unplaced(); }
  /// Records that the task is done. The call is idempotent.
  void mark_done(std::uint32_t index);
  /// Its own deadline; infinity if it has none.
  double due_ms() const;
};

}  // namespace robinford::bookkeeping
