/// @file
/// One machine in memory: what its heartbeats prove, what may be on it, and which record names it. Sections
/// "What was added" and "States" of docs/design.md. What of it is durable: machine_record.hpp.
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

/// State of a machine for the leader.
enum class MachineState : std::uint8_t {
  kBooting,       ///< provisioned or listed, never sent a heartbeat to this leader
  kUp,            ///< sends heartbeats
  kUnresponsive,  ///< was expected to send heartbeats and does not
  kReturning,     ///< its return was asked for; all on it counts until the cloud's answer
  kGone,          ///< the cloud confirmed the return
};
/// The state's name in log lines.
const char* to_text(MachineState state);

/// An attempt that the worker lists as over, and shall forget.
struct PendingClear {
  TaskId task;
  std::uint64_t attempt = 0;
};

/// A machine that exists, or may. Names ending in `_ms` are times of day in ms, other times steady in s.
///
/// Invariants: `tasks` are exactly the runs of the job ledger on this machine, and `reservations` the gangs
/// with a reservation here; a machine is launched on only while `recorded` and without `unanswered_since_ms`.
struct Machine {
  std::string name;
  std::string addr;
  std::string type;
  std::string zone;
  bool spot = false;
  MachineState state = MachineState::kBooting;
  // Its type's amounts, in all.
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  // The newest heartbeat that counted.
  std::uint64_t agent_epoch = 0;
  std::uint64_t seq = 0;
  bool sent_heartbeat = false;  ///< to this leader
  /// Its worker has shown this leader's token: from then on its heartbeats are proof.
  bool showed_token = false;
  /// On record from an earlier leader, and not proven yet: may hold tasks of that time.
  bool unreconciled = false;
  double last_heartbeat = -1e9;
  double last_answer = -1e9;  ///< the last 200 with this leader's token
  /// When its present agent epoch was first shown with this leader's token: it began, and its last heartbeat
  /// that anybody else answered was sent, no later than that.
  double agent_epoch_shown_at = -1e9;
  std::optional<double> interruption_at;  ///< when the cloud takes it
  double known_at = 0;
  double provisioned_at = 0;
  double up_at = 0;
  bool listed_failed = false;
  double last_listed = -1e9;

  std::set<TaskId> tasks;        ///< runs of the job ledger on this machine
  std::set<JobId> reservations;  ///< gangs that hold capacity here (possibly several reservations each)
  /// Cancelled jobs of which it may hold tasks, and when it is given back unless it has shown that they are
  /// gone.
  std::map<JobId, double> overdue;
  std::vector<PendingClear> clears;
  /// On it by its last heartbeat, but nobody's: to be stopped.
  std::vector<protocol::TaskStatus> unknown_tasks;
  /// What they cost their teams: cpus, gpus.
  std::map<std::string, std::pair<double, double>> unknown_task_charge;
  std::uint32_t gang_tasks = 0;  ///< of the tasks, those of gangs, ...
  double gang_cpus = 0;          ///< ... and what they and the reservations take
  /// Attempts started by a direct command under this term and in `direct_agent_epoch`. Such a command may be
  /// carried out late or once more, which does nothing while the attempt is listed: so these are never
  /// cleared. Section "Direct launches".
  std::set<std::pair<TaskId, std::uint64_t>> direct;
  std::uint64_t direct_agent_epoch = 0;

  /// Its heartbeats are not answered after that moment until its record no longer says so: a later leader
  /// reckons its lease from there, and not from its own beginning. Nothing is launched there meanwhile.
  std::optional<std::int64_t> unanswered_since_ms;
  /// A record that says so is written, or may be.
  bool unanswered_on_record = false;
  std::string record;         ///< the durable record that names it, or will; empty: none is chosen yet
  std::string former_record;  ///< names it too, until `record` surely does
  bool recorded = false;      ///< named, with its address, by a durable record
  std::string recorded_addr;  ///< as that record has it
  /// `free_resources` is what the tasks, reservations and unknown tasks leave.
  bool free_resources_known = false;
  Resources free_resources;

  std::set<JobId> error_jobs;  ///< jobs that failed here since the last success
  int errors = 0;
  int undelivered_commands = 0;         ///< commands in a row that newer heartbeats show were never taken
  int unproven_answers = 0;             ///< answers in a row after which it still does not show the term
  double last_probe_at = -1e9;          ///< last direct command or probe
  int open_probes = 0;                  ///< of them, how many are open
  int probe_failures = 0;               ///< in a row
  std::uint64_t agent_epoch_guess = 1;  ///< for a probe to a machine that has proved nothing yet
  bool agent_reset = false;  ///< its counters went back: only the cloud's answer settles what was on it
  bool offered = false;      ///< its free capacity was offered to the waiting gangs since it last grew
  bool cordoned = false;     ///< takes nothing new
  // What its time went into, in core seconds: for the log line at its end.
  double useful = 0;
  double lost = 0;
  double fetching = 0;
  bool draining = false;  ///< takes no new array tasks: more capacity than needed
  double idle_since = 0;
  std::optional<JobId> reserved_by;  ///< capacity being emptied for this gang
  double reserved_until = 0;
  std::map<std::string, double> images;  ///< image -> last use
};

/// A durable record that names several machines, so that one change covers a whole provisioning request.
struct MachineGroup {
  std::uint64_t mod_revision = 0;  ///< 0: there is no such record
  bool writing = false;
  bool urgent = false;    ///< names a machine that is not on record yet
  bool outdated = false;  ///< names one that is gone, or an address is missing
  double last_write = -1e9;
  std::set<std::string> members;
  std::set<std::string> leaving;  ///< named by it still, and not yet by their new record
};

}  // namespace robinford::bookkeeping
