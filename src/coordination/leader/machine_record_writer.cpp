/// @file
/// Implements MachineRecordWriter.
#include "coordination/leader/machine_record_writer.hpp"

#include <algorithm>
#include <utility>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Machine;
using bookkeeping::MachineGroup;
using bookkeeping::MachineLedger;
using bookkeeping::MachineState;
using bookkeeping::WriteOp;
using bookkeeping::WriteOutcome;
using bookkeeping::WritePriority;

void MachineRecordWriter::write_due() {
  if (!election_.valid()) return;
  auto& machines = context_.machines;
  // Controllers whose version lacks job dependencies can't read records that are laid out by size, and may
  // lead until the upgrade is complete.
  if (versions_.upgrade_complete())
    machines.lay_out_by_size(context_.settings.value_bytes() - c::kValueSlackBytes, election_.term());
  machines.assign_records();
  const double now = context_.now.steady;
  const double pause = urgent_write_interval_s();
  for (auto& [name, group] : machines.groups()) {
    if (group.writing || !group.leaving.empty()) continue;
    const bool due = group.urgent || group.outdated || MachineLedger::deletable(group);
    if (due && now - group.last_write >= (group.urgent ? pause : c::kOutdatedRecordWriteIntervalS))
      write(name, group);
  }
  std::erase_if(machines.groups(), [](const auto& entry) {
    const MachineGroup& group = entry.second;
    return group.mod_revision == 0 && !group.writing && group.members.empty() && group.leaving.empty();
  });
}

// Returns the shortest interval between two writes of an urgent record. If many urgent records wait, it
// grows with their number, so that each write covers more changes and part of the write budget is left for
// completions and submissions.
double MachineRecordWriter::urgent_write_interval_s() const {
  const auto& groups = context_.machines.groups();
  const auto urgent = std::count_if(groups.begin(), groups.end(), [](const auto& entry) {
    return entry.second.urgent && entry.second.leaving.empty();
  });
  const double rate = context_.settings.state_write_rps * c::kLeaderBudgetShare * c::kMachineRecordWriteShare;
  return std::max(c::kUrgentRecordWriteIntervalS, static_cast<double>(urgent) / std::max(1.0, rate));
}

void MachineRecordWriter::write(const std::string& name, MachineGroup& group) {
  auto& machines = context_.machines;
  std::vector<std::string> launchable;
  auto value = machines.group_record(name, election_.term(), launchable);
  PendingRecord record{name, {}, {}};
  for (const auto& member : launchable) record.launchable_addrs[member] = machines.find(member)->addr;
  for (const auto& member : group.members)
    if (Machine* machine = machines.find(member); machine != nullptr && machine->state != MachineState::kGone)
      record.machine_names.push_back(member);
  const auto urgency = group.urgent ? WritePriority::kFleet : WritePriority::kBackground;
  group.urgent = false;
  group.outdated = false;
  if (record.machine_names.empty() && group.mod_revision == 0) return;
  group.writing = true;
  group.last_write = context_.now.steady;
  // Until the write is answered, the stored record may be the old or the new version, so only machines that
  // both versions name as launchable count as recorded.
  for (const auto& member : group.members)
    if (Machine* machine = machines.find(member);
        machine != nullptr && !record.launchable_addrs.contains(member))
      machine->recorded = false;
  WriteOp op{MachineLedger::group_key(name), group.mod_revision, std::move(value)};
  if (record.machine_names.empty()) op.value.reset();
  context_.writer.submit(
      {std::move(op)},
      [this, record = std::move(record), generation = generation_](WriteOutcome outcome,
                                                                   std::uint64_t mod_revision) {
        if (generation == generation_) finish(record, outcome, mod_revision);
      },
      urgency);
}

void MachineRecordWriter::finish(const PendingRecord& record, WriteOutcome outcome,
                                 std::uint64_t mod_revision) {
  auto& group = context_.machines.groups()[record.group];
  group.writing = false;
  if (outcome == WriteOutcome::kConflict)
    // The stored record is not the one that this leader expected, so its in-memory state may be wrong too.
    return election_.on_state_diverged();
  if (outcome != WriteOutcome::kDone) {
    group.urgent = true;
    return;
  }
  group.mod_revision = record.machine_names.empty() ? 0 : mod_revision;
  for (const auto& member : record.machine_names)
    if (Machine* machine = context_.machines.find(member))
      context_.machines.on_record_written(*machine, record.group);
  for (const auto& [member, addr] : record.launchable_addrs) {
    Machine* machine = context_.machines.find(member);
    if (machine == nullptr) continue;
    machine->recorded = !addr.empty();
    machine->unanswered_on_record = false;
    machine->recorded_addr = addr;
  }
  written_ = true;
}

}  // namespace robinford::coordination
