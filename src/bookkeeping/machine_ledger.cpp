#include "bookkeeping/machine_ledger.hpp"

#include <spdlog/spdlog.h>

namespace robinford::bookkeeping {
namespace json = boost::json;

namespace {
constexpr char kAddr[] = "addr";
constexpr char kType[] = "type";
constexpr char kZone[] = "zone";
constexpr char kSpot[] = "spot";
constexpr char kJobs[] = "jobs";
}  // namespace

const char* to_text(MachineState state) {
  switch (state) {
    case MachineState::kBooting: return "booting";
    case MachineState::kUp: return "up";
    case MachineState::kSilent: return "silent";
    case MachineState::kReturning: return "returning";
    case MachineState::kGone: return "gone";
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
  return machine;
}

void MachineLedger::set_state(Machine& machine, MachineState state) {
  if (machine.state == state) return;
  spdlog::info("machine {} ({} {}{}): {} -> {}", machine.name, machine.type, machine.zone, machine.spot ? " spot" : "",
               to_text(machine.state), to_text(state));
  machine.state = state;
}

json::object MachineLedger::note(const Machine& machine) {
  json::object object;
  object[kAddr] = machine.addr;
  object[kType] = machine.type;
  object[kZone] = machine.zone;
  object[kSpot] = machine.spot;
  json::array jobs;
  for (const auto id : machine.noted) jobs.emplace_back(id);
  object[kJobs] = std::move(jobs);
  return object;
}

bool MachineLedger::read_note(const json::value& value, Machine& machine) {
  if (!value.is_object()) return false;
  const auto& object = value.get_object();
  const auto text = [&](const char* key, std::string& into) {
    const auto* found = object.if_contains(key);
    if (found == nullptr || !found->is_string()) return false;
    into = std::string(found->get_string());
    return true;
  };
  if (!text(kAddr, machine.addr) || !text(kType, machine.type) || !text(kZone, machine.zone)) return false;
  const auto* spot = object.if_contains(kSpot);
  machine.spot = spot != nullptr && spot->is_bool() && spot->get_bool();
  if (const auto* jobs = object.if_contains(kJobs); jobs != nullptr && jobs->is_array()) {
    for (const auto& job : jobs->get_array()) {
      json::error_code error;
      const auto id = job.to_number<JobId>(error);
      if (!error) machine.may_hold.insert(id);
    }
  }
  machine.noted = machine.may_hold;
  return true;
}

}  // namespace robinford::bookkeeping
