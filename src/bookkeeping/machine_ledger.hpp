// The machines: what their heartbeats prove, what may be on them, and when nothing can be on them any more.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bookkeeping/resources.hpp"
#include "protocol/messages.hpp"

namespace robinford::bookkeeping {

using protocol::JobId;
using protocol::TaskId;

inline constexpr char kMachinePrefix[] = "m/";

enum class MachineState : std::uint8_t {
  kBooting,       // provisioned or listed, never sent a heartbeat to this leader
  kUp,            // sends heartbeats
  kUnresponsive,  // was expected to send heartbeats and does not
  kReturning,     // its return was asked for; all on it counts until the cloud's answer
  kGone,          // the cloud confirmed the return
};
const char* to_text(MachineState state);

struct PendingClear {
  TaskId task;
  std::uint64_t attempt = 0;
};

struct Machine {
  std::string name, addr, type, zone;
  bool spot = false;
  MachineState state = MachineState::kBooting;
  double cpus = 0, gpus = 0, memory_gb = 0;

  std::uint64_t agent_epoch = 0, seq = 0;
  bool sent_heartbeat = false;  // to this leader
  bool saw_term = false;  // its worker has shown this leader's token: from then on its heartbeats are proof
  bool unreconciled =
      false;  // on record from an earlier leader, and not proven yet: may hold tasks of that time
  double last_heartbeat = -1e9;
  double last_answer = -1e9;  // the last 200 with this leader's token
  // When its present agent epoch was first shown with this leader's token: it began, and its last heartbeat
  // that anybody else answered was sent, no later than that.
  double agent_epoch_shown_at = -1e9;
  std::optional<double> interruption_at;  // steady, when the cloud takes it
  double known_at = 0, provisioned_at = 0, up_at = 0;
  bool listed_failed = false;
  double last_listed = -1e9;

  std::set<TaskId> tasks;        // runs of the job ledger on this machine
  std::set<JobId> reservations;  // gangs that hold capacity here (possibly several reservations each)
  // Cancelled jobs of which it may hold tasks, and when it is given back unless it has shown that they are
  // gone.
  std::map<JobId, double> overdue;
  std::vector<PendingClear> clears;
  std::vector<protocol::TaskStatus>
      unknown_tasks;  // on it by its last heartbeat, but nobody's: to be stopped
  std::map<std::string, std::pair<double, double>>
      unknown_task_charge;       // what they cost their teams: cpus, gpus
  std::uint32_t gang_tasks = 0;  // of the tasks, those of gangs, ...
  double gang_cpus = 0;          // ... and what they and the reservations take
  // Attempts started by a direct command under this term and in this agent epoch. Such a command may be
  // carried out late or once more, which does nothing while the attempt is listed: so these are never
  // cleared.
  std::set<std::pair<TaskId, std::uint64_t>> direct;
  std::uint64_t direct_agent_epoch = 0;

  // Its heartbeats are not answered after that moment (time of day, ms) until its record no longer says so: a
  // later leader reckons its lease from there, and not from its own beginning. Nothing is launched there
  // meanwhile.
  std::optional<std::int64_t> unanswered_since_ms;
  // A record that says so is written, or may be.
  bool unanswered_on_record = false;
  std::string record;         // the durable record that names it, or will; empty: none is chosen yet
  std::string former_record;  // names it too, until `record` surely does
  bool recorded = false;      // named, with its address, by a durable record
  std::string recorded_addr;  // as that record has it
  bool free_resources_known =
      false;  // `free_resources` is what the tasks, reservations and unknown tasks leave
  Resources free_resources;

  std::set<JobId> error_jobs;  // jobs that failed here since the last success
  int errors = 0;
  int undelivered = 0;                  // commands in a row that newer heartbeats show were never taken
  int unproven_answers = 0;             // answers in a row after which it still does not show the term
  double last_probe_at = -1e9;          // last direct command or probe
  int open_probes = 0;                  // of them, how many are open
  int probe_failures = 0;               // in a row
  std::uint64_t agent_epoch_guess = 1;  // for a probe to a machine that has proved nothing yet
  bool agent_reset = false;  // its counters went back: only the cloud's answer settles what was on it
  bool offered = false;      // its free capacity was offered to the waiting gangs since it last grew
  bool cordoned = false;     // takes nothing new
  // What its time went into, in core seconds: for the log line at its end.
  double useful = 0, lost = 0, fetching = 0;
  bool draining = false;  // takes no new array tasks: more capacity than needed
  double idle_since = 0;
  std::optional<JobId> reserved_by;  // capacity being emptied for this gang
  double reserved_until = 0;
  std::map<std::string, double> images;  // image -> last use
};

// Machines stand in durable records in groups, so that one change covers a whole provisioning request.
struct MachineGroup {
  std::uint64_t mod_revision = 0;  // 0: there is no such record
  bool writing = false;
  bool urgent = false;    // names a machine that is not on record yet
  bool outdated = false;  // names one that is gone, or an address is missing
  double last_write = -1e9;
  std::set<std::string> members;
  std::set<std::string> leaving;  // named by it still, and not yet by their new record
};

// How machines are spread over records.
enum class RecordLayout : std::uint8_t {
  kByNumber,  // neighbours in name, by count: all that versions without dependencies read
  kBySize,    // as many as surely fit the limit of a value
};

class MachineLedger {
 public:
  void clear();
  Machine* find(const std::string& name);
  Machine& add(const std::string& name, double now);
  void erase(const std::string& name);
  std::map<std::string, Machine>& all() { return machines_; }
  const std::map<std::string, Machine>& all() const { return machines_; }
  std::map<std::string, MachineGroup>& groups() { return groups_; }
  const std::map<std::string, MachineGroup>& groups() const { return groups_; }

  static bool newer(const Machine& machine, std::uint64_t agent_epoch, std::uint64_t seq) {
    return agent_epoch > machine.agent_epoch || (agent_epoch == machine.agent_epoch && seq > machine.seq);
  }
  static void set_state(Machine& machine, MachineState state);

  // From now on records hold as many machines as `limit` bytes take. Machines move out of the records by
  // number, each of which stays until all that it names are named by others.
  void lay_out_by_size(std::size_t limit, std::uint64_t term);
  RecordLayout layout() const { return layout_; }
  // Chooses records for machines that have none.
  void assign_records();
  // The record of the group was written, and names the machine.
  void on_record(Machine& machine, const std::string& group);
  // The group's record has no use any more.
  static bool deletable(const MachineGroup& group) {
    return group.members.empty() && group.leaving.empty() && group.mod_revision != 0;
  }

  // Which durable record names the machine in the layout by number.
  static std::string group_of(const std::string& name);
  static std::string group_key(const std::string& group) { return kMachinePrefix + group; }
  void touch(Machine& machine);  // its record needs another look
  // Its heartbeats are not answered from now on; `since_ms`: time of day of the last answer it can have had.
  void set_unanswered(Machine& machine, std::int64_t since_ms);
  // It may be answered again, once its record says so.
  void clear_unanswered(Machine& machine);
  // `named`: those on which tasks may be launched once the record is written. `term`: of the leader that
  // writes it.
  boost::json::object group_record(const std::string& group, std::uint64_t term,
                                   std::vector<std::string>& named);
  // Adds the machines that the record names, as unreconciled. What leaders before `trusted_since` wrote of
  // unanswered machines counts for nothing: one of them may have answered without writing so.
  bool read_group(const std::string& group, std::uint64_t mod_revision, const boost::json::value& value,
                  double now, std::uint64_t trusted_since);

 private:
  using UnansweredSince = std::map<std::string, std::int64_t>;  // by machine: time of day, ms
  static UnansweredSince read_unanswered(const boost::json::object& record, std::uint64_t trusted_since);
  static std::size_t bytes_on_record(const Machine& machine);
  std::size_t bytes_of(const MachineGroup& group);
  std::string record_with_space(std::size_t bytes);
  void move_to_sized_records();
  void leave_former_record(Machine& machine);
  void set_record(Machine& machine, const std::string& group);
  void name_by_second_record(Machine& machine, const std::string& group);

  RecordLayout layout_ = RecordLayout::kByNumber;
  std::size_t record_limit_ = 0;   // bytes, of a sized record
  std::uint64_t record_term_ = 0;  // of the leader that names new records
  std::uint64_t record_count_ = 0;
  std::string open_record_;           // the sized record that took the last machine
  std::set<std::string> unassigned_;  // machines without a record
  std::map<std::string, Machine> machines_;
  std::map<std::string, MachineGroup> groups_;
};

}  // namespace robinford::bookkeeping
