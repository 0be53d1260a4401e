/// @file
/// Adding, removing and finding machines, and the log line of their state changes.
#include "bookkeeping/machine_ledger.hpp"

#include <spdlog/spdlog.h>

namespace robinford::bookkeeping {

const char* to_text(MachineState state) {
  switch (state) {
    case MachineState::kBooting:
      return "booting";
    case MachineState::kUp:
      return "up";
    case MachineState::kUnresponsive:
      return "unresponsive";
    case MachineState::kReturning:
      return "returning";
    case MachineState::kGone:
      return "gone";
  }
  return "?";
}

void MachineLedger::clear() {
  machines_.clear();
  groups_.clear();
  unassigned_.clear();
  open_record_.clear();
  layout_ = RecordLayout::kByNumber;
  record_count_ = 0;
}

Machine* MachineLedger::find(const std::string& name) {
  const auto found = machines_.find(name);
  return found == machines_.end() ? nullptr : &found->second;
}

Machine& MachineLedger::add(const std::string& name, double now) {
  auto& machine = machines_[name];
  machine.name = name;
  machine.known_at = now;
  machine.idle_since = now;
  if (layout_ == RecordLayout::kBySize) {
    unassigned_.insert(name);
    return machine;
  }
  machine.record = group_of(name);
  auto& group = groups_[machine.record];
  group.members.insert(name);
  group.urgent = true;
  return machine;
}

void MachineLedger::erase(const std::string& name) {
  unassigned_.erase(name);
  const auto found = machines_.find(name);
  if (found == machines_.end()) return;
  for (const auto& record : {found->second.record, found->second.former_record})
    if (const auto group = groups_.find(record); group != groups_.end()) {
      group->second.members.erase(name);
      group->second.leaving.erase(name);
    }
  machines_.erase(found);
}

void MachineLedger::set_state(Machine& machine, MachineState state) {
  if (machine.state == state) return;
  spdlog::info("machine {} ({} {}{}): {} -> {}", machine.name, machine.type, machine.zone,
               machine.spot ? " spot" : "", to_text(machine.state), to_text(state));
  machine.state = state;
}

}  // namespace robinford::bookkeeping
