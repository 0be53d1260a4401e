#include "bookkeeping/machine_ledger.hpp"

#include <spdlog/spdlog.h>

#include "constants.hpp"

namespace robinford::bookkeeping {
namespace json = boost::json;

namespace {
constexpr char kMembers[] = "all";
constexpr char kUnanswered[] = "unanswered";  // by name: term of the leader that wrote it, time of day in ms
}  // namespace

const char* to_text(MachineState state) {
  switch (state) {
    case MachineState::kBooting:
      return "booting";
    case MachineState::kUp:
      return "up";
    case MachineState::kSilent:
      return "silent";
    case MachineState::kReturning:
      return "returning";
    case MachineState::kGone:
      return "gone";
  }
  return "?";
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
  auto& group = groups_[group_of(name)];
  group.members.insert(name);
  group.urgent = true;
  return machine;
}

void MachineLedger::erase(const std::string& name) {
  if (const auto group = groups_.find(group_of(name)); group != groups_.end())
    group->second.members.erase(name);
  machines_.erase(name);
}

void MachineLedger::set_state(Machine& machine, MachineState state) {
  if (machine.state == state) return;
  spdlog::info("machine {} ({} {}{}): {} -> {}", machine.name, machine.type, machine.zone,
               machine.spot ? " spot" : "", to_text(machine.state), to_text(state));
  machine.state = state;
}

std::string MachineLedger::group_of(const std::string& name) {
  // Names end in the number of their creation; any other name stands alone.
  std::size_t digits = 0;
  while (digits < name.size() && name[name.size() - 1 - digits] >= '0' &&
         name[name.size() - 1 - digits] <= '9')
    ++digits;
  if (digits == 0 || digits > 15) return name;
  const auto number = std::stoull(name.substr(name.size() - digits));
  return "g" + std::to_string(number / constants::kMachinesPerRecord);
}

void MachineLedger::set_unanswered(Machine& machine, std::int64_t since_ms) {
  machine.unanswered_since_ms = since_ms;
  groups_[group_of(machine.name)].outdated = true;
}

void MachineLedger::clear_unanswered(Machine& machine) {
  if (!machine.unanswered_since_ms) return;
  machine.unanswered_since_ms.reset();
  groups_[group_of(machine.name)].urgent = true;
}

void MachineLedger::touch(const Machine& machine) {
  auto& group = groups_[group_of(machine.name)];
  (machine.recorded ? group.outdated : group.urgent) = true;
}

json::object MachineLedger::group_record(const std::string& group, std::uint64_t term,
                                         std::vector<std::string>& named) {
  json::array members;
  json::object unanswered;
  for (const auto& name : groups_[group].members) {
    Machine* machine = find(name);
    if (machine == nullptr || machine->state == MachineState::kGone) continue;
    members.emplace_back(
        json::array{machine->name, machine->addr, machine->type, machine->zone, machine->spot});
    if (machine->unanswered_since_ms) {
      unanswered[name] = json::array{term, *machine->unanswered_since_ms};
      machine->unanswered_on_record = true;
    } else {
      named.push_back(name);
    }
  }
  json::object object;
  object[kMembers] = std::move(members);
  if (!unanswered.empty()) object[kUnanswered] = std::move(unanswered);
  return object;
}

void MachineLedger::read_unanswered(const json::value& value, std::uint64_t trusted_since) {
  if (!value.is_object()) return;
  for (const auto& [name, entry] : value.get_object()) {
    Machine* machine = find(std::string(name));
    const auto* fields = entry.if_array();
    if (machine == nullptr || fields == nullptr || fields->size() != 2) continue;
    json::error_code error;
    const auto term = (*fields)[0].to_number<std::uint64_t>(error);
    if (error || term < trusted_since) continue;
    const auto since_ms = (*fields)[1].to_number<std::int64_t>(error);
    if (error) continue;
    machine->unanswered_since_ms = since_ms;
    machine->unanswered_on_record = true;
    machine->recorded = false;
    machine->state = MachineState::kSilent;
  }
}

bool MachineLedger::read_group(const std::string& group, std::uint64_t stamp, const json::value& value,
                               double now, std::uint64_t trusted_since) {
  auto& slot = groups_[group];
  slot.stamp = stamp;
  if (!value.is_object()) return false;
  const auto* members = value.get_object().if_contains(kMembers);
  if (members == nullptr || !members->is_array()) return false;
  bool good = true;
  for (const auto& item : members->get_array()) {
    const auto* fields = item.if_array();
    const bool sane = fields != nullptr && fields->size() == 5 && (*fields)[0].is_string() &&
                      (*fields)[1].is_string() && (*fields)[2].is_string() && (*fields)[3].is_string() &&
                      (*fields)[4].is_bool();
    if (!sane || group_of(std::string((*fields)[0].get_string())) != group) {
      good = false;
      continue;
    }
    const auto word = [&](std::size_t index) { return std::string((*fields)[index].get_string()); };
    Machine& machine = add(word(0), now);
    machine.recorded_addr = machine.addr = word(1);
    machine.type = word(2);
    machine.zone = word(3);
    machine.spot = (*fields)[4].get_bool();
    // Without an address it had not reported when the record was written, and nothing was launched there.
    machine.recorded = machine.unseen = !machine.addr.empty();
  }
  if (const auto* unanswered = value.get_object().if_contains(kUnanswered))
    read_unanswered(*unanswered, trusted_since);
  slot.urgent = false;
  return good;
}

}  // namespace robinford::bookkeeping
