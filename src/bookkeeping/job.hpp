/// @file
/// One job in memory: its description, its progress, and what this leader knows about its tasks. Section
/// "States" of docs/design.md. What of it is durable: job_record.hpp.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/messages.hpp"

namespace robinford::bookkeeping {

using protocol::JobId;
using protocol::JobSpec;
using protocol::Priority;

/// How a job ended. Durable, and never changed once written.
enum class FinalState : std::uint8_t { kDone, kCancelled };
/// The state's name in answers to users.
const char* to_text(FinalState state);

/// State of a task that is, or may be, on a machine.
enum class RunState : std::uint8_t {
  kPlanned,   ///< chosen for the machine; the launch waits for a durable record or for the next answer
  kLaunched,  ///< the launch was sent, and no heartbeat has shown the outcome yet
  kPresent,   ///< a heartbeat showed it
  kStopping,  ///< a stop command was sent, and it is not gone yet
};
/// The state's name in log lines.
const char* to_text(RunState state);

/// One attempt to run a task on a machine.
struct TaskRun {
  std::string machine;
  std::uint64_t attempt = 0;
  RunState state = RunState::kPlanned;
  protocol::TaskPhase phase = protocol::TaskPhase::kFetching;
  bool seen = false;    ///< some heartbeat has shown this attempt
  bool direct = false;  ///< launched by a direct command, which may be carried out late
  /// Agent epoch and sequence number of the heartbeat whose answer carried the launch.
  std::uint64_t launch_agent_epoch = 0;
  std::uint64_t launch_seq = 0;
  // Steady times, s.
  double planned_at = 0;
  double launched_at = 0;
  double running_since = 0;
  double last_stop = -1e9;  ///< last direct stop
  double stop_grace = 0;    ///< s
};

/// A gang's claim on capacity of one machine, before its tasks are numbered. Times are steady, in s.
struct Reservation {
  std::string machine;
  double made_at = 0;
  double expires_at = 0;
  bool confirmed = false;  ///< a later heartbeat showed the capacity still free
};

/// State of a job for the leader.
enum class JobState : std::uint8_t {
  kWaiting,     ///< accepted, and some job that it depends on is not known to be done
  kActive,      ///< accepted, not over
  kCompleting,  ///< all tasks done, the final record is being written
  kCancelling,  ///< its user asked to cancel, the final record is being written
  kOver,        ///< final record durable; stays here until nothing of it is on any machine
};
/// The state's name in log lines.
const char* to_text(JobState state);

/// State of a gang that is active.
enum class GangState : std::uint8_t {
  kQueued,     ///< waits for a round
  kReserving,  ///< reservations made, not all confirmed
  kLaunching,  ///< all confirmed, launches on their way
  kRunning,    ///< all tasks were seen
  kStopping,   ///< every task is being stopped; queued again when all are gone
};
/// The state's name in log lines.
const char* to_text(GangState state);

/// A job that is not over, or of which something may still be on a machine.
///
/// Invariants: `done` has `spec.tasks` entries and `done_count` of them are true; `again` holds tasks below
/// `next_fresh` that are neither done nor in `runs`. Names ending in `_ms` are times of day in ms, other
/// times steady in s.
struct Job {
  JobSpec spec;
  std::uint64_t mod_revision = 0;  ///< of its durable record
  std::int64_t submitted_ms = 0;
  double known_at = 0;  ///< when this leader first saw it
  JobState state = JobState::kActive;
  FinalState final_state = FinalState::kDone;

  std::int64_t ready_ms = 0;        ///< when its last dependency was done; 0: it has none
  bool ready_on_record = true;      ///< the durable record says that it waits for nothing
  bool cancelled_on_record = true;  ///< false: cancelled through a dependency, without a record that says so
  /// The highest priority of the jobs that depend on it, directly or through others.
  Priority inherited_priority = Priority::kLow;
  /// The latest moment at which it may end for all jobs that depend on it to be in time.
  double inherited_due_ms = std::numeric_limits<double>::infinity();
  bool before = false;               ///< read from the store: an earlier leader may have placed tasks of it
  std::int64_t cancelled_ms = 0;     ///< when it was cancelled, by whoever wrote that
  bool cancellation_marked = false;  ///< cancelled, and its live record says so until nothing of it is left

  std::vector<bool> done;  ///< by task index
  std::uint32_t done_count = 0;
  std::uint64_t done_version = 0;     ///< grows with each completion
  std::uint64_t durable_version = 0;  ///< completions up to here are in the record
  bool writing = false;
  double last_write = 0;

  std::map<std::uint32_t, TaskRun> runs;  ///< by task index
  std::set<std::uint32_t> again;          ///< tasks to place once more, before fresh ones
  std::uint32_t next_fresh = 0;           ///< tasks from here on are fresh, unless done or in `runs`

  GangState gang = GangState::kQueued;
  std::vector<Reservation> reservations;
  std::uint64_t attempt = 0;
  double gang_since = 0;                     ///< when the present gang state began
  double stop_first = 0;                     ///< when its orderly stop began
  const char* logged_wait_reason = nullptr;  ///< the reason for waiting that was logged last
  bool was_placed = false;                   ///< this leader has taken capacity for it at least once
  bool queued = false;                       ///< stands in its team's queue (arrays)
  double next_preempt_search_at = 0;         ///< no search for capacity to empty before

  int failures = 0;  ///< in a row, over all machines
  double backoff_until = 0;
  double quota_freed_until = 0;         ///< its team's limit is being freed for it
  std::map<std::string, double> avoid;  ///< machine -> until
  std::set<std::string> failed_on;      ///< machines on which it failed since its last success
  double first_started_at = 0;          ///< when a task first ran under this leader
  double run_time_sum_s = 0;            ///< s, of its completed tasks
  int run_time_count = 0;
  int tier = 0;  ///< arrays: 0 can be in time, 1 can be less than half late, 2 neither

  std::uint32_t remaining() const { return spec.tasks - done_count; }
  /// Tasks that are neither done nor on a machine.
  std::uint32_t unplaced() const;
  /// Nothing of it is to be placed any more.
  bool over() const { return state != JobState::kActive && state != JobState::kWaiting; }
  Priority priority() const { return std::max(spec.priority, inherited_priority); }
  /// When all but its deadline began to count: its submission, or the end of its last dependency.
  std::int64_t eligible_ms() const { return std::max(submitted_ms, ready_ms); }
  /// The next task to place; nothing when all are done or placed.
  std::optional<std::uint32_t> next_task() const;
  /// The task was placed.
  void mark_placed(std::uint32_t index);
  /// The task left its machine, and is to be placed again unless it is done.
  void requeue_task(std::uint32_t index);
  /// The task is done. Repeating the call changes nothing.
  void mark_done(std::uint32_t index);
  /// Its own deadline; infinity when it has none.
  double due_ms() const;
};

}  // namespace robinford::bookkeeping
