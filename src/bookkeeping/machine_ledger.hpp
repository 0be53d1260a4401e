/// @file
/// The machines known to the leader, and their assignment to durable records.
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

/// How machines are assigned to records. Section "Limits of the state service" of docs/design.md.
enum class RecordLayout : std::uint8_t {
  /// By the number in their name. The only layout that versions without support for dependencies read.
  kByNumber,
  kBySize,  ///< as many per record as fit the size limit of a value
};

/// Owns the machines in memory by name and assigns each to a record. It does no I/O: the leader writes the
/// records that are `urgent` or `outdated` and reports what became durable.
///
/// Invariant: the group of a record that names a machine of the ledger has it in `members` or `leaving`, so
/// a record is not deleted before another one names the machine.
class MachineLedger {
 public:
  void clear();
  /// The machine, or null. Valid until it is erased.
  Machine* find(const std::string& name);
  /// Adds a machine, or returns the existing one of that name with `known_at` and `idle_since` reset. In
  /// either case its record by number becomes urgent or, in the layout by size, assign_records() assigns one.
  Machine& add(const std::string& name, double now);
  /// Removes the machine, also from its groups. The groups are not marked for writing.
  void erase(const std::string& name);
  std::map<std::string, Machine>& all() { return machines_; }
  const std::map<std::string, Machine>& all() const { return machines_; }
  std::map<std::string, MachineGroup>& groups() { return groups_; }
  const std::map<std::string, MachineGroup>& groups() const { return groups_; }

  /// Whether a heartbeat with these counters is newer than the newest accepted one.
  static bool newer(const Machine& machine, std::uint64_t agent_epoch, std::uint64_t seq) {
    return agent_epoch > machine.agent_epoch || (agent_epoch == machine.agent_epoch && seq > machine.seq);
  }
  /// Sets a machine's state and logs the change. The state is changed only here and in read_group(), which
  /// sets machines listed as unanswered to kUnresponsive without logging it.
  static void set_state(Machine& machine, MachineState state);

  /// Switches to the layout by size, with records of at most `limit` bytes. Machines move out of the numbered
  /// records; each of these is kept until other records name all its machines that are not gone. `term` is
  /// the term of this leader; it is part of the names of new records, so that two leaders never choose the
  /// same name.
  void lay_out_by_size(std::size_t limit, std::uint64_t term);
  /// Assigns records to the machines that have none and are not gone.
  void assign_records();
  /// Called when the group's record, which names the machine, is durable. If it is the record to which the
  /// machine is assigned, the machine's former record no longer has to name it.
  void on_record_written(Machine& machine, const std::string& group);
  /// Whether the group's record names no machine and can be deleted.
  static bool deletable(const MachineGroup& group) {
    return group.members.empty() && group.leaving.empty() && group.mod_revision != 0;
  }

  /// Name of the record of a machine in the layout by number.
  static std::string group_of(const std::string& name);
  static std::string group_key(const std::string& group) { return machine_record_key(group); }
  /// Marks the machine's record for writing, because the machine is gone or a recorded field has changed.
  void mark_record_for_writing(Machine& machine);
  /// Stops answering its heartbeats. `since_ms` is the time of day of the latest answer it can have received.
  void set_unanswered(Machine& machine, std::int64_t since_ms);
  /// Allows its heartbeats to be answered again as soon as its record says so.
  void clear_unanswered(Machine& machine);
  /// The value that the leader of `term` writes for the group. Adds to `launchable` the machines that it
  /// names and does not list as unanswered; on those with an address, tasks may be launched once the record
  /// is written. For a machine listed as unanswered, `unanswered_on_record` is set at once. If listing a
  /// machine so would exceed the size limit of the layout by size, the machine stops being unanswered. A
  /// later leader then computes the end of the machine's lease from the beginning of its own term, which is
  /// later.
  boost::json::object group_record(const std::string& group, std::uint64_t term,
                                   std::vector<std::string>& launchable);
  /// Adds the machines of a record, as unreconciled if they have an address. Unanswered marks from terms
  /// before `trusted_since` are ignored, because leaders of those terms may have answered a machine without
  /// recording it. Returns false if the record or one of its entries is malformed, or if the record is one by
  /// machine number and an entry's number belongs to a different record. The well-formed entries are read all
  /// the same, except those with a number of a different record.
  bool read_group(const std::string& group, std::uint64_t mod_revision, const boost::json::value& value,
                  double now, std::uint64_t trusted_since);

 private:
  void read_entry(const std::string& group, const MachineEntry& entry, double now);
  std::size_t bytes_of(const MachineGroup& group);
  std::string record_with_space(std::size_t bytes);
  void move_to_sized_records();
  void leave_former_record(Machine& machine);
  void set_record(Machine& machine, const std::string& group);
  void resolve_second_record(Machine& machine, const std::string& group);

  RecordLayout layout_ = RecordLayout::kByNumber;
  std::size_t record_limit_ = 0;   // maximum size of a record by size, in bytes
  std::uint64_t record_term_ = 0;  // term of the leader, part of the names of new records
  std::uint64_t record_count_ = 0;
  std::string open_record_;           // the record by size to which the last machine was assigned
  std::set<std::string> unassigned_;  // machines without a record
  std::map<std::string, Machine> machines_;
  std::map<std::string, MachineGroup> groups_;
};

}  // namespace robinford::bookkeeping
