/// @file
/// A machine in memory: what its heartbeats have shown, what it may hold, and which record names it. Sections
/// "What was added" and "States" of docs/design.md. Its durable part is defined in machine_record.hpp.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bookkeeping/resources.hpp"
#include "protocol/messages.hpp"

namespace robinford::bookkeeping {

using protocol::JobId;
using protocol::TaskId;

/// State of a machine as the leader sees it.
enum class MachineState : std::uint8_t {
  kBooting,       ///< known, but this leader has not accepted a heartbeat from it
  kUp,            ///< sends heartbeats
  kUnresponsive,  ///< expected to send heartbeats but does not, or read from a record as unanswered
  /// Its return was decided. Its tasks count until they are known to be gone, at the latest when the cloud
  /// confirms the return.
  kReturning,
  kGone,  ///< the cloud confirmed the return
};
/// The state's name in log lines.
const char* to_text(MachineState state);

/// An attempt that the worker lists as exited and is to remove from its list.
struct PendingClear {
  TaskId task;
  std::uint64_t attempt = 0;
};

/// A machine that exists or may exist, or one in state kGone, which stays in the ledger for
/// constants::kGoneMachineKeptS. Names ending in `_ms` are times of day in ms, other times those of the
/// steady clock in s.
///
/// Invariants: `tasks` are exactly the runs of the job ledger on this machine, and `reservations` the gangs
/// with a reservation here; tasks are launched on a machine only while it is `recorded` and has no
/// `unanswered_since_ms`.
struct Machine {
  std::string name;
  std::string addr;
  std::string type;
  std::string zone;
  bool spot = false;
  MachineState state = MachineState::kBooting;
  // Total amounts of its type.
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  // Counters of the newest accepted heartbeat.
  std::uint64_t agent_epoch = 0;
  std::uint64_t seq = 0;
  bool sent_heartbeat = false;  ///< whether this leader has received a heartbeat from it
  /// Its worker has shown this leader's fencing token. From then on its heartbeats are accepted as evidence.
  bool showed_token = false;
  /// Recorded by an earlier leader and not yet reconciled: it may hold that leader's tasks.
  bool unreconciled = false;
  double last_heartbeat = -1e9;
  double last_answer = -1e9;  ///< when its heartbeat was last answered with 200 and this leader's token
  /// When its current agent epoch was first shown with this leader's token. The epoch began before that time,
  /// and every heartbeat that another controller answered was sent before it.
  double agent_epoch_shown_at = -1e9;
  std::optional<double> interruption_at;  ///< when the cloud interrupts it (spot)
  double known_at = 0;
  double provisioned_at = 0;
  double up_at = 0;
  bool listed_failed = false;
  double last_listed = -1e9;

  std::set<TaskId> tasks;        ///< runs of the job ledger on this machine
  std::set<JobId> reservations;  ///< gangs with one or more reservations here
  /// Cancelled jobs of which it may hold tasks, each with the time at which the machine is returned unless a
  /// heartbeat has shown that they are gone.
  std::map<JobId, double> overdue;
  std::vector<PendingClear> clears;
  /// Tasks in its last heartbeat that should not run there. They are to be stopped.
  std::vector<protocol::TaskStatus> unknown_tasks;
  /// What `unknown_tasks` charge to each team: cpus, gpus.
  std::map<std::string, std::pair<double, double>> unknown_task_charge;
  std::uint32_t gang_tasks = 0;  ///< number of tasks here that belong to gangs
  double gang_cpus = 0;          ///< cpus that gang tasks and gang reservations take here
  /// Attempts started by a direct command in this term and in `direct_agent_epoch`. Such a command may take
  /// effect late or twice, which does nothing while the worker lists the attempt. These attempts are
  /// therefore never cleared. Section "Direct launches" of docs/design.md.
  std::set<std::pair<TaskId, std::uint64_t>> direct;
  std::uint64_t direct_agent_epoch = 0;

  /// Its heartbeats are not answered after this time until its record no longer lists it as unanswered. A
  /// later leader computes the end of its lease from this time instead of from the beginning of its own term.
  /// Nothing is launched on the machine meanwhile.
  std::optional<std::int64_t> unanswered_since_ms;
  /// Whether a record that lists the machine as unanswered is durable or may be.
  bool unanswered_on_record = false;
  std::string record;         ///< the record that names it or is to name it; empty: none is assigned yet
  std::string former_record;  ///< also names it until `record` durably does
  bool recorded = false;      ///< durable records name it with an address and not as unanswered
  std::string recorded_addr;  ///< address in the durable records that name it
  /// Whether `free_resources` is up to date with tasks, reservations and unknown tasks.
  bool free_resources_known = false;
  Resources free_resources;

  std::set<JobId> error_jobs;  ///< jobs with a failed task here since the last success
  int errors = 0;
  /// Consecutive launches that newer heartbeats show as never received. A restart of its agent soon after an
  /// answer counts as constants::kUndeliveredCommandsMax of them.
  int undelivered_commands = 0;
  int unproven_answers = 0;             ///< consecutive answered heartbeats without this leader's token
  double last_probe_at = -1e9;          ///< time of the last direct command or probe
  int open_probes = 0;                  ///< direct commands and probes in flight
  int probe_failures = 0;               ///< consecutive failures of direct commands and probes
  std::uint64_t agent_epoch_guess = 1;  ///< used to probe a machine that has not shown the token
  /// The counters of its heartbeats went back. An expired lease then does not end its tasks; the cloud's
  /// confirmation of its return does.
  bool agent_reset = false;
  /// Its free capacity was offered to the waiting gangs since a run or reservation on it last ended.
  bool offered = false;
  bool cordoned = false;  ///< accepts no new work
  // Core seconds by kind of use, for the log line when the machine is gone.
  double useful = 0;
  double lost = 0;
  double fetching = 0;
  bool draining = false;  ///< accepts no new array tasks, since there is more capacity than needed
  double idle_since = 0;
  std::optional<JobId> reserved_by;  ///< gang for which its capacity was preempted
  double reserved_until = 0;
  std::map<std::string, double> images;  ///< time of the last use by image
};

/// The machines of one durable record. A record names several, so that few writes cover a whole provisioning
/// request.
struct MachineGroup {
  std::uint64_t mod_revision = 0;  ///< 0: the record does not exist
  bool writing = false;
  bool urgent = false;    ///< the record must be written, and launches or heartbeat answers wait for it
  bool outdated = false;  ///< the record must be written, and nothing waits for it
  double last_write = -1e9;
  std::set<std::string> members;
  std::set<std::string> leaving;  ///< still named by this record, not yet by their new one
};

}  // namespace robinford::bookkeeping
