// The jobs: what is durable of them, and what this leader knows about their tasks.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "protocol/messages.hpp"

namespace robinford::bookkeeping {

using protocol::JobId;
using protocol::JobSpec;
using protocol::Priority;

inline constexpr char kLiveJobPrefix[] = "j/";
inline constexpr char kFinalJobPrefix[] = "f/";
inline constexpr char kEntryCancelled[] =
    "withdrawn";  // field of a change-log entry: the job it names is cancelled

enum class FinalState : std::uint8_t { kDone, kCancelled };
const char* to_text(FinalState state);

// A task that is, or may be, on a machine.
enum class RunState : std::uint8_t {
  kPlanned,   // chosen for the machine; its launch waits for the durable note or for the answer to carry it
  kLaunched,  // the launch was sent and no heartbeat has shown the outcome yet
  kPresent,   // a heartbeat showed it
  kStopping,  // told to stop, not gone yet
};
const char* to_text(RunState state);

struct TaskRun {
  std::string machine;
  std::uint64_t attempt = 0;
  RunState state = RunState::kPlanned;
  protocol::TaskPhase phase = protocol::TaskPhase::kFetching;
  bool seen = false;    // some heartbeat has shown this attempt
  bool direct = false;  // launched by a direct command, which may be carried out late
  std::uint64_t launch_agent_epoch = 0, launch_seq = 0;  // the heartbeat whose answer carried the launch
  double planned_at = 0, launched_at = 0, running_since = 0;
  double last_stop = -1e9;  // last direct stop
  double stop_grace = 0;
};

// A gang's claim on capacity of one machine, before its tasks are numbered.
struct Reservation {
  std::string machine;
  double made_at = 0, expires_at = 0;
  bool confirmed = false;
};

enum class JobState : std::uint8_t {
  kWaiting,     // accepted, and some job that it depends on is not known to be done
  kActive,      // accepted, not over
  kCompleting,  // all tasks done, the final record is being written
  kCancelling,  // its user asked to cancel, the final record is being written
  kOver,        // final record durable; stays here until nothing of it is on any machine
};
const char* to_text(JobState state);

enum class GangState : std::uint8_t {
  kQueued,     // waits for a round
  kReserving,  // reservations made, not all confirmed
  kLaunching,  // all confirmed, launches on their way
  kRunning,    // all tasks were seen
  kStopping,   // every task is being stopped; requeued when all are gone
};
const char* to_text(GangState state);

struct Job {
  JobSpec spec;
  std::uint64_t mod_revision = 0;  // of its durable record
  std::int64_t submitted_ms = 0;   // time of day
  double known_at = 0;             // steady, when this leader first saw it
  JobState state = JobState::kActive;
  FinalState final_state = FinalState::kDone;

  std::int64_t ready_ms = 0;        // time of day when its last dependency was done; 0: it has none
  bool ready_on_record = true;      // the durable record says that it waits for nothing
  bool cancelled_on_record = true;  // false: cancelled through a dependency, and no record of its own says so
  // The highest priority of the jobs that depend on it, directly or through others, and the latest moment at
  // which it may end for all of them to be in time (ms, time of day).
  Priority inherited_priority = Priority::kLow;
  double inherited_due_ms = std::numeric_limits<double>::infinity();
  bool before = false;            // read from the ledger: an earlier leader may have placed tasks of it
  std::int64_t cancelled_ms = 0;  // time of day of its cancellation, by whoever wrote it
  bool marked = false;            // cancelled, and its live record says so until nothing of it is left

  std::vector<bool> done;
  std::uint32_t done_count = 0;
  std::uint64_t done_version = 0;     // grows with each completion
  std::uint64_t durable_version = 0;  // completions up to here are in the record
  bool writing = false;
  double last_write = 0;

  std::map<std::uint32_t, TaskRun> runs;
  std::set<std::uint32_t> again;  // tasks to place once more, before fresh ones
  std::uint32_t next_fresh = 0;

  GangState gang = GangState::kQueued;
  std::vector<Reservation> reservations;
  std::uint64_t attempt = 0;
  double gang_since = 0;                     // when the present gang state began
  double stop_first = 0;                     // when its orderly stop began
  const char* logged_wait_reason = nullptr;  // the reason for waiting that was logged last
  bool was_placed = false;                   // this leader has taken capacity for it at least once
  bool queued = false;                       // stands in its team's queue (arrays)
  double next_preempt = 0;                   // no search for capacity to empty before

  int failures = 0;  // in a row, over all machines
  double backoff_until = 0;
  double quota_freed_until = 0;         // its team's limit is being freed for it
  std::map<std::string, double> avoid;  // machine -> until
  std::set<std::string> failed_on;      // machines on which it failed since its last success
  double first_start = 0;               // steady, when a task first ran under this leader
  double ran_sum = 0;                   // s, of its completed tasks
  int ran_count = 0;
  int tier = 0;  // arrays: 0 can be in time, 1 can be less than half late, 2 neither

  std::uint32_t remaining() const { return spec.tasks - done_count; }
  std::uint32_t unplaced() const;
  bool over() const { return state != JobState::kActive && state != JobState::kWaiting; }
  Priority priority() const { return std::max(spec.priority, inherited_priority); }
  // When all but its deadline began to count: its submission, or the end of its last dependency.
  std::int64_t eligible_ms() const { return std::max(submitted_ms, ready_ms); }
  // The next task to place, if there is one.
  std::optional<std::uint32_t> next_task() const;
  void take_task(std::uint32_t index);
  void give_back(std::uint32_t index);
  void mark_done(std::uint32_t index);
  double due_ms() const;
};

class JobLedger {
 public:
  void clear();
  Job* find(JobId id);
  Job& add(JobSpec spec, std::uint64_t mod_revision, std::int64_t submitted_ms, double now);
  void erase(JobId id);
  std::map<JobId, std::unique_ptr<Job>>& all() { return jobs_; }

  std::optional<FinalState> final_state(JobId id) const;
  void remember_final(JobId id, FinalState state);

  // Records. A record that would not fit the limit holds as many completions as do; `whole` tells.
  static boost::json::object record(const Job& job, std::size_t limit, bool& whole);
  // The live record of a cancelled job keeps its description until nothing of it can be on any machine: a new
  // leader has to know what may still run.
  static boost::json::object cancelled_record(boost::json::object live, std::int64_t at_ms);
  static bool is_cancelled(const boost::json::value& live);
  static std::unique_ptr<Job> from_record(const boost::json::value& value, std::uint64_t mod_revision,
                                          double now);
  static boost::json::object final_record(FinalState state);
  static std::optional<FinalState> final_from_record(const boost::json::value& value);
  static std::string live_key(JobId id) { return kLiveJobPrefix + protocol::job_id_text(id); }
  static std::string final_key(JobId id) { return kFinalJobPrefix + protocol::job_id_text(id); }

  // One function for each kind of state.
  static void set_state(Job& job, JobState state);
  static void set_gang(Job& job, GangState state, double now);
  static void set_run(Job& job, TaskRun& run, RunState state);

 private:
  std::map<JobId, std::unique_ptr<Job>> jobs_;
  static void read_waiting(Job& job);

  std::unordered_map<JobId, FinalState> finals_;
  std::list<JobId> final_order_;  // oldest first, for the bound
};

}  // namespace robinford::bookkeeping
