/// @file
/// Assignment of machines to durable records (part of MachineLedger). Section "Limits of the state
/// service" of docs/design.md.
#include <utility>

#include "bookkeeping/machine_ledger.hpp"
#include "constants.hpp"

namespace robinford::bookkeeping {
namespace json = boost::json;

namespace {

constexpr char kSizedPrefix = 's';            // prefix of the names of records by size
constexpr char kNumberedPrefix = 'g';         // prefix of the names of records by number
constexpr std::size_t kNumberDigitsMax = 15;  // a machine with a longer number has its own record

// Upper bound on the bytes of the machine's entry in a record, with the longest address.
std::size_t bytes_on_record(const Machine& machine) {
  return machine.name.size() + machine.type.size() + machine.zone.size() +
         constants::kMachineEntryOverheadBytes;
}

bool is_numbered(const std::string& group) { return !group.empty() && group[0] == kNumberedPrefix; }

}  // namespace

std::string MachineLedger::group_of(const std::string& name) {
  // Machine names end in a serial number. A machine with another name has its own record.
  std::size_t digits = 0;
  while (digits < name.size() && name[name.size() - 1 - digits] >= '0' &&
         name[name.size() - 1 - digits] <= '9')
    ++digits;
  if (digits == 0 || digits > kNumberDigitsMax) return name;
  const auto number = std::stoull(name.substr(name.size() - digits));
  return kNumberedPrefix + std::to_string(number / constants::kMachinesPerRecord);
}

std::size_t MachineLedger::bytes_of(const MachineGroup& group) {
  std::size_t bytes = constants::kMachineRecordOverheadBytes;
  for (const auto& name : group.members)
    if (const Machine* machine = find(name)) bytes += bytes_on_record(*machine);
  return bytes;
}

void MachineLedger::lay_out_by_size(std::size_t limit, std::uint64_t term) {
  record_limit_ = limit;
  record_term_ = term;
  if (layout_ == RecordLayout::kBySize) return;
  layout_ = RecordLayout::kBySize;
  move_to_sized_records();
}

void MachineLedger::move_to_sized_records() {
  for (auto& [name, group] : groups_) {
    if (!is_numbered(name)) continue;
    for (const auto& member : group.members) {
      Machine* machine = find(member);
      if (machine == nullptr) continue;
      machine->former_record = name;
      machine->record.clear();
      group.leaving.insert(member);
      unassigned_.insert(member);
    }
    group.members.clear();
    group.urgent = false;
    group.outdated = true;
  }
}

void MachineLedger::assign_records() {
  for (const auto& name : std::exchange(unassigned_, {})) {
    Machine* machine = find(name);
    if (machine == nullptr) continue;
    if (machine->state == MachineState::kGone) {
      leave_former_record(*machine);
      continue;
    }
    machine->record = record_with_space(bytes_on_record(*machine));
    auto& group = groups_[machine->record];
    group.members.insert(name);
    (machine->recorded ? group.outdated : group.urgent) = true;
  }
}

// Returns the record to which the last machine was assigned, so that the machines of one provisioning request
// share few records. If there is none, or it has no space for `bytes` more, returns another one that stays at
// most half full, or else a new one.
std::string MachineLedger::record_with_space(std::size_t bytes) {
  if (const auto open = groups_.find(open_record_);
      open != groups_.end() && bytes_of(open->second) + bytes <= record_limit_)
    return open_record_;
  for (auto& [name, group] : groups_) {
    if (is_numbered(name) || bytes_of(group) + bytes > record_limit_ / 2) continue;
    open_record_ = name;
    return name;
  }
  open_record_ = kSizedPrefix + std::to_string(record_term_) + "-" + std::to_string(++record_count_);
  return open_record_;
}

void MachineLedger::on_record_written(Machine& machine, const std::string& group) {
  if (machine.record == group) leave_former_record(machine);
}

void MachineLedger::leave_former_record(Machine& machine) {
  if (machine.former_record.empty()) return;
  groups_[machine.former_record].leaving.erase(machine.name);
  machine.former_record.clear();
}

void MachineLedger::set_unanswered(Machine& machine, std::int64_t since_ms) {
  machine.unanswered_since_ms = since_ms;
  if (!machine.record.empty()) groups_[machine.record].outdated = true;
}

void MachineLedger::clear_unanswered(Machine& machine) {
  if (!machine.unanswered_since_ms) return;
  machine.unanswered_since_ms.reset();
  if (!machine.record.empty()) groups_[machine.record].urgent = true;
}

void MachineLedger::mark_record_for_writing(Machine& machine) {
  if (machine.state == MachineState::kGone) leave_former_record(machine);
  if (machine.record.empty()) return;  // assign_records() marks the record for writing
  auto& group = groups_[machine.record];
  (machine.recorded ? group.outdated : group.urgent) = true;
}

json::object MachineLedger::group_record(const std::string& group, std::uint64_t term,
                                         std::vector<std::string>& launchable) {
  std::vector<MachineEntry> entries;
  std::size_t bytes = bytes_of(groups_[group]);
  for (const auto& name : groups_[group].members) {
    Machine* machine = find(name);
    if (machine == nullptr || machine->state == MachineState::kGone) continue;
    // If the unanswered mark does not fit, it is dropped, and a later leader computes the end of the
    // machine's lease from the beginning of its own term.
    if (machine->unanswered_since_ms) bytes += name.size() + constants::kUnansweredEntryOverheadBytes;
    if (machine->unanswered_since_ms && layout_ == RecordLayout::kBySize && bytes > record_limit_)
      machine->unanswered_since_ms.reset();
    if (machine->unanswered_since_ms)
      machine->unanswered_on_record = true;
    else
      launchable.push_back(name);
    entries.push_back({machine->name, machine->addr, machine->type, machine->zone, machine->spot,
                       machine->unanswered_since_ms});
  }
  return encode_machines(entries, term);
}

bool MachineLedger::read_group(const std::string& group, std::uint64_t mod_revision, const json::value& value,
                               double now, std::uint64_t trusted_since) {
  groups_[group].mod_revision = mod_revision;
  const auto record = decode_machines(value, trusted_since);
  if (!record) return false;
  bool good = record->malformed == 0;
  for (const auto& entry : record->machines) {
    if (is_numbered(group) && group_of(entry.name) != group)
      good = false;
    else
      read_entry(group, entry, now);
  }
  groups_[group].urgent = false;
  return good;
}

void MachineLedger::read_entry(const std::string& group, const MachineEntry& entry, double now) {
  const bool known = find(entry.name) != nullptr;
  Machine& machine = known ? *find(entry.name) : add(entry.name, now);
  if (known) {
    // Two records name the machine, because it was being moved. If only one of them lists it as unanswered,
    // its heartbeats may have been answered after that record was written.
    resolve_second_record(machine, group);
    if (!entry.unanswered_since_ms) machine.unanswered_since_ms.reset();
  } else {
    set_record(machine, group);
    machine.unanswered_since_ms = entry.unanswered_since_ms;
  }
  if (entry.unanswered_since_ms) machine.unanswered_on_record = true;
  if (!entry.addr.empty() || !known) {
    machine.addr = entry.addr;
    machine.recorded_addr = entry.addr;
  }
  machine.type = entry.type;
  machine.zone = entry.zone;
  machine.spot = entry.spot;
  // A machine without an address had not sent a heartbeat when the record was written, so nothing was
  // launched on it.
  machine.unreconciled = !machine.addr.empty();
  machine.recorded = machine.unreconciled && !machine.unanswered_since_ms;
  if (machine.unanswered_since_ms) machine.state = MachineState::kUnresponsive;
}

void MachineLedger::set_record(Machine& machine, const std::string& group) {
  if (!machine.record.empty()) groups_[machine.record].members.erase(machine.name);
  unassigned_.erase(machine.name);
  machine.record = group;
  groups_[group].members.insert(machine.name);
}

// Assigns a machine that two records name to the record by size, or to `group` if both are by size. The
// record assigned is written again before the other one may be deleted.
void MachineLedger::resolve_second_record(Machine& machine, const std::string& group) {
  const std::string former = is_numbered(group) ? group : machine.record;
  if (!is_numbered(group)) set_record(machine, group);
  if (former == machine.record) return;
  groups_[former].members.erase(machine.name);
  groups_[former].leaving.insert(machine.name);
  groups_[former].outdated = true;
  machine.former_record = former;
  groups_[machine.record].outdated = true;
}

}  // namespace robinford::bookkeeping
