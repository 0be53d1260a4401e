// When the durable records of machines are written.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Machine;
using bookkeeping::MachineGroup;
using bookkeeping::MachineLedger;
using bookkeeping::MachineState;
using bookkeeping::WriteClass;
using bookkeeping::WriteOp;
using bookkeeping::WriteOutcome;

// A machine has to be on record before anything is launched there: a new leader so knows where to look.
void Scheduler::write_groups() {
  if (!election_.valid() || phase_ == LeaderPhase::kLoading) return;
  auto& machines = context_.machines;
  // Versions without dependencies read no records by size, and do not lead any more.
  if (versions_.upgrade_complete())
    machines.lay_out_by_size(context_.settings.value_bytes() - c::kValueSlackBytes, election_.term());
  machines.assign_records();
  const double now = context_.now.steady;
  const double urgent_pause = urgent_record_pause();
  for (auto& [name, group] : machines.groups()) {
    if (group.writing || !group.leaving.empty()) continue;
    const bool due = group.urgent || group.outdated || MachineLedger::deletable(group);
    if (due && now - group.last_write >= (group.urgent ? urgent_pause : c::kRecordTidyS))
      write_group(name, group);
  }
  std::erase_if(machines.groups(), [](const auto& entry) {
    const MachineGroup& group = entry.second;
    return group.mod_revision == 0 && !group.writing && group.members.empty() && group.leaving.empty();
  });
}

// The more records wait, the more changes go into each writing of one: completions and submissions need
// writes too.
double Scheduler::urgent_record_pause() const {
  const auto& groups = context_.machines.groups();
  const auto urgent = std::count_if(groups.begin(), groups.end(), [](const auto& entry) {
    return entry.second.urgent && entry.second.leaving.empty();
  });
  const double rate = context_.settings.state_write_rps * c::kLeaderBudgetShare * c::kRecordWriteShare;
  return std::max(c::kRecordUrgentS, static_cast<double>(urgent) / std::max(1.0, rate));
}

void Scheduler::write_group(const std::string& name, MachineGroup& group) {
  auto& machines = context_.machines;
  std::vector<std::string> launchable;
  auto record = machines.group_record(name, election_.term(), launchable);
  std::map<std::string, std::string> addrs;
  for (const auto& member : launchable) addrs[member] = machines.find(member)->addr;
  std::vector<std::string> named;
  for (const auto& member : group.members)
    if (Machine* machine = machines.find(member); machine != nullptr && machine->state != MachineState::kGone)
      named.push_back(member);
  const auto urgency = group.urgent ? WriteClass::kFleet : WriteClass::kTidy;
  group.urgent = group.outdated = false;
  if (named.empty() && group.mod_revision == 0) return;
  group.writing = true;
  group.last_write = context_.now.steady;
  // What is on record until the answer is known to be what both versions name.
  for (const auto& member : group.members)
    if (Machine* machine = machines.find(member); machine != nullptr && !addrs.contains(member))
      machine->recorded = false;
  WriteOp op{MachineLedger::group_key(name), group.mod_revision, std::move(record)};
  if (named.empty()) op.value.reset();
  context_.writer.submit(
      {std::move(op)},
      [this, name, addrs, named, generation = generation_](WriteOutcome outcome, std::uint64_t mod_revision) {
        if (generation == generation_) group_written(name, addrs, named, outcome, mod_revision);
      },
      urgency);
}

void Scheduler::group_written(const std::string& name, const std::map<std::string, std::string>& addrs,
                              const std::vector<std::string>& named, WriteOutcome outcome,
                              std::uint64_t mod_revision) {
  auto& group = context_.machines.groups()[name];
  group.writing = false;
  if (outcome == WriteOutcome::kConflict) return election_.guard_lost();  // start over from the ledger
  if (outcome != WriteOutcome::kDone) {
    group.urgent = true;
    return;
  }
  group.mod_revision = named.empty() ? 0 : mod_revision;
  for (const auto& member : named)
    if (Machine* machine = context_.machines.find(member)) context_.machines.on_record(*machine, name);
  for (const auto& [member, addr] : addrs) {
    Machine* machine = context_.machines.find(member);
    if (machine == nullptr) continue;
    machine->recorded = !addr.empty();
    machine->unanswered_on_record = false;
    machine->recorded_addr = addr;
  }
  dirty_ = true;
}

}  // namespace robinford::coordination
