// Which machines take no new work, and which are given back to the cloud.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

#include "constants.hpp"
#include "coordination/fleet.hpp"
#include "protocol/names.hpp"

namespace robinford::coordination {
namespace c = constants;
namespace n = names;
using bookkeeping::Machine;
using bookkeeping::MachineLedger;
using bookkeeping::MachineState;
using protocol::CallResult;

double Fleet::price_per_core(const Machine& machine) const {
  const auto found = core_.types.find(machine.type);
  if (found == core_.types.end()) return 0.0;
  return (machine.spot ? found->second.spot_price : found->second.price) / std::max(1.0, machine.cpus);
}

// More room than the arrays need: the dearest machines take no new array tasks, so that they empty and can
// go.
void Fleet::wind_down() {
  std::vector<Machine*> machines;
  double have = 0;
  int gang_rooms = 0;
  for (auto& [name, machine] : core_.machines.all()) {
    machine.winding_down = false;
    if (!takes_work(core_, machine)) continue;
    machines.push_back(&machine);
    have += array_cores(machine);
    if (scheduler_.kept_for_gangs(machine) && !scheduler_.has_gang(machine)) ++gang_rooms;
  }
  std::sort(machines.begin(), machines.end(), [&](const Machine* a, const Machine* b) {
    return std::tuple(-price_per_core(*a), a->tasks.size(), a->name) <
           std::tuple(-price_per_core(*b), b->tasks.size(), b->name);
  });
  const int spare = spare_wanted();
  for (auto* machine : machines) {
    const double cores = array_cores(*machine);
    if (have - cores < needed_) continue;
    // A machine with a gang stays anyway. Marked already now, it takes no arrays in the moment its gang ends:
    // their tasks would hold the dearest machines for as long as the longest of them runs.
    if (scheduler_.has_gang(*machine)) {
      machine->winding_down = true;
      continue;
    }
    if (scheduler_.kept_for_gangs(*machine)) {
      if (gang_rooms <= spare) continue;
      --gang_rooms;
    }
    machine->winding_down = true;
    have -= cores;
  }
}

void Fleet::return_machines(const std::function<bool(const Machine&)>& which) {
  if (returning_ || !budget_.covers(1) || core_.now.steady < next_return_) return;
  std::vector<std::string> names;
  for (const auto& [name, machine] : core_.machines.all())
    if (names.size() < c::kReturnMax && which(machine)) names.push_back(name);
  if (names.empty()) return;
  returning_ = true;
  next_return_ = core_.now.steady + c::kFleetStepS;
  cloud("POST", n::kPathReturn, protocol::return_json(names), [this, names](const CallResult& result) {
    returning_ = false;
    if (result.status != 200) return;  // asked again at the next review
    for (const auto& name : names) {
      Machine* machine = core_.machines.find(name);
      if (machine == nullptr) continue;
      scheduler_.machine_gone(*machine);
      machine->known_at = core_.now.steady;
      core_.metrics.count("machines_returned");
    }
  });
}

void Fleet::give_back() {
  const double now = core_.now.steady;
  std::size_t silent = 0, known = 0;
  for (const auto& [name, machine] : core_.machines.all()) {
    if (machine.state == MachineState::kGone) continue;
    ++known;
    if (machine.state == MachineState::kSilent) ++silent;
  }
  // When many are silent at once the network is the likelier cause, and returning them would cost all their
  // work.
  const bool network_trouble = silent > 2 && silent > known * c::kSilentShareMax;
  // A few machines that nobody hears of hold up the work of earlier leaders; many are a network that will be
  // back.
  const bool few_unseen =
      scheduler_.unseen_machines() <= std::max<std::size_t>(c::kFewUnseen, known * c::kFewUnseenShare);
  // To keep an idle machine for as long as its successor would boot costs at most twice what hindsight would
  // pay.
  const bool gangs_come = scheduler_.gang_rate() > 0,
             arrays_come = scheduler_.array_load(shortest_boot()) > 0;
  const auto idle_limit = [&](const Machine& machine) {
    if (core_.policy.idle_return_s >= 0) return core_.policy.idle_return_s;
    const auto found = core_.types.find(machine.type);
    const bool wanted = scheduler_.kept_for_gangs(machine) ? gangs_come : arrays_come;
    return found != core_.types.end() && wanted ? c::kIdleBoots * found->second.boot_s : c::kIdleReturnS;
  };
  std::vector<Machine*> idle;
  for (auto& [name, machine] : core_.machines.all()) {
    if (machine.state == MachineState::kGone || machine.state == MachineState::kReturning) continue;
    const double boot = machine.type.empty() || !core_.types.contains(machine.type)
                            ? 60
                            : core_.types.at(machine.type).boot_s;
    const char* why = nullptr;
    if (machine.listed_failed)
      why = "it failed";
    else if (machine.state == MachineState::kBooting && machine.rented_at > 0 && !machine.sent_heartbeat &&
             !machine.unseen && now - machine.rented_at > boot * c::kBootFactor + c::kBootSlackS)
      why = "it does not come up";
    else if (scheduler_.give_up(machine) && (!network_trouble || machine.interruption_at))
      why = "it is silent";
    else if (machine.unseen && scheduler_.phase() == LeaderPhase::kServing && few_unseen &&
             machine.ask_failures >= c::kAsksEnough)
      why = "it stays silent since an earlier leader's time, and work waits for proof of what is on it";
    else if (machine.set_aside && (empty(machine) || !machine.saw_term))
      why = "it was set aside";
    if (why != nullptr) {
      spdlog::info("machine {} is given back: {}", machine.name, why);
      MachineLedger::set_state(machine, MachineState::kReturning);
      continue;
    }
    if (machine.state == MachineState::kUp && empty(machine)) idle.push_back(&machine);
  }
  for (auto* machine : idle) {
    if (!machine->winding_down || now - machine->idle_since < idle_limit(*machine)) continue;
    spdlog::info("machine {} is given back: idle", machine->name);
    MachineLedger::set_state(*machine, MachineState::kReturning);
  }
  return_machines([](const Machine& machine) { return machine.state == MachineState::kReturning; });
  // What no list, heartbeat or record has shown for long does not exist.
  std::vector<std::string> forgotten;
  for (const auto& [name, machine] : core_.machines.all()) {
    const bool never = machine.state == MachineState::kBooting && machine.rented_at == 0 && !machine.unseen &&
                       now - std::max(machine.known_at, machine.last_listed) >
                           c::kForgetListLags * core_.settings.list_lag_s;
    if (never || (machine.state == MachineState::kGone && now - machine.known_at > c::kGoneKeptS))
      forgotten.push_back(name);
  }
  for (const auto& name : forgotten) core_.machines.erase(name);
}

}  // namespace robinford::coordination
