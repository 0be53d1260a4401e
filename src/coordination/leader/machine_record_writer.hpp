/// @file
/// Writes the durable records of machines. docs/design.md, sections "What was added" ("Records") and "Limits
/// of the state service".
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "coordination/controller_context.hpp"
#include "coordination/election/election.hpp"
#include "coordination/election/peer_versions.hpp"

namespace robinford::coordination {

/// Keeps the machine records of the state service up to date with the machine ledger. A machine has to be on
/// record with its address before anything is launched there, so that a new leader knows where to look for
/// running tasks. Each record is written with a compare-and-swap. A conflict means that the stored record is
/// not the one that this leader expected, and ends this leadership.
class MachineRecordWriter {
 public:
  /// The references must outlive the writer.
  MachineRecordWriter(ControllerContext& context, Election& election, const PeerVersions& versions)
      : context_(context), election_(election), versions_(versions) {}

  /// Ignores the answers to all open writes. Called when a term begins or ends.
  void reset() { ++generation_; }
  /// Starts the writes that are due. Call it only while the machine ledger is complete; does nothing when the
  /// leadership is not valid.
  void write_due();

  /// Whether a record was written since the last `reset_written_flag`, so that machines may have become
  /// launchable.
  bool written() const { return written_; }
  void reset_written_flag() { written_ = false; }

 private:
  // The content of a record once the write in flight has succeeded.
  struct PendingRecord {
    std::string group;
    std::vector<std::string> machine_names;  // all machines that the record names
    // Address (may be empty) of each of these machines that the record does not list as unanswered. Tasks may
    // be launched on those with an address.
    std::map<std::string, std::string> launchable_addrs;
  };

  double urgent_write_interval_s() const;
  void write(const std::string& name, bookkeeping::MachineGroup& group);
  void finish(const PendingRecord& record, bookkeeping::WriteOutcome outcome, std::uint64_t mod_revision);

  ControllerContext& context_;
  Election& election_;
  const PeerVersions& versions_;
  std::uint64_t generation_ = 0;  // changed by `reset`, so that answers from an earlier term are ignored
  bool written_ = false;
};

}  // namespace robinford::coordination
