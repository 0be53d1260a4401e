/// @file
/// The machines that the leader knows, and the durable records that name them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "bookkeeping/machine.hpp"
#include "bookkeeping/machine_record.hpp"
#include "bookkeeping/store_keys.hpp"

namespace robinford::bookkeeping {

/// How machines are spread over records. Section "Limits of the state service" of docs/design.md.
enum class RecordLayout : std::uint8_t {
  kByNumber,  ///< neighbours in name, by count: all that versions without dependencies read
  kBySize,    ///< as many as surely fit the limit of a value
};

/// Owns the machines in memory, by name, and chooses the record that names each. It does no I/O: the leader
/// writes the records that are `urgent` or `outdated`, and reports what became durable.
///
/// Invariant: the group of a record that names a machine of the ledger has it in `members` or `leaving`, so
/// the record is not deleted before another one names the machine.
class MachineLedger {
 public:
  void clear();
  /// The machine, or null. Valid until it is erased.
  Machine* find(const std::string& name);
  /// Adds a machine, or returns the one of that name with its times of first sight and idleness set anew.
  Machine& add(const std::string& name, double now);
  /// Forgets the machine. Its groups do not name it any more; they are not marked for writing by this call.
  void erase(const std::string& name);
  std::map<std::string, Machine>& all() { return machines_; }
  const std::map<std::string, Machine>& all() const { return machines_; }
  std::map<std::string, MachineGroup>& groups() { return groups_; }
  const std::map<std::string, MachineGroup>& groups() const { return groups_; }

  /// Whether a heartbeat with these counters was sent after the newest one that counted.
  static bool newer(const Machine& machine, std::uint64_t agent_epoch, std::uint64_t seq) {
    return agent_epoch > machine.agent_epoch || (agent_epoch == machine.agent_epoch && seq > machine.seq);
  }
  /// The only place that changes a machine's state; the change is logged.
  static void set_state(Machine& machine, MachineState state);

  /// From now on records hold as many machines as `limit` bytes take. Machines move out of the records by
  /// number, each of which stays until all that it names are named by others. `term`: of the leader that
  /// names new records, so that two leaders never choose the same name.
  void lay_out_by_size(std::size_t limit, std::uint64_t term);
  /// Chooses records for machines that have none.
  void assign_records();
  /// The record of the group was written, and names the machine.
  void on_record_written(Machine& machine, const std::string& group);
  /// The group's record has no use any more.
  static bool deletable(const MachineGroup& group) {
    return group.members.empty() && group.leaving.empty() && group.mod_revision != 0;
  }

  /// Which durable record names the machine in the layout by number.
  static std::string group_of(const std::string& name);
  static std::string group_key(const std::string& group) { return machine_record_key(group); }
  /// The machine's record needs another look: it is gone, or something that is on record changed.
  void mark_record_outdated(Machine& machine);
  /// Its heartbeats are not answered from now on; `since_ms`: time of day of the last answer it can have had.
  void set_unanswered(Machine& machine, std::int64_t since_ms);
  /// It may be answered again, once its record says so.
  void clear_unanswered(Machine& machine);
  /// The value to write for the group by the leader of `term`. Adds to `launchable` the machines on which
  /// tasks may be launched once it is written. Machines that it calls unanswered count as such on record at
  /// once; where that does not fit the limit, a machine stops being unanswered and its lease is reckoned the
  /// longer way.
  boost::json::object group_record(const std::string& group, std::uint64_t term,
                                   std::vector<std::string>& launchable);
  /// Adds the machines that the record names, as unreconciled. What leaders before `trusted_since` wrote of
  /// unanswered machines counts for nothing: one of them may have answered without writing so. False when the
  /// record or an entry of it is malformed; the other entries count all the same.
  bool read_group(const std::string& group, std::uint64_t mod_revision, const boost::json::value& value,
                  double now, std::uint64_t trusted_since);

 private:
  void read_entry(const std::string& group, const MachineEntry& entry, double now);
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
