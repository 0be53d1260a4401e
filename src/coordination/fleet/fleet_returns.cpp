// Which machines take no new work, and which are given back to the cloud.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

#include "constants.hpp"
#include "coordination/fleet/fleet.hpp"
#include "protocol/names.hpp"

namespace robinford::coordination {
namespace c = constants;
namespace n = names;
using bookkeeping::Machine;
using bookkeeping::MachineLedger;
using bookkeeping::MachineState;
using protocol::CallResult;

double Fleet::price_per_core(const Machine& machine) const {
  const auto found = context_.types.find(machine.type);
  if (found == context_.types.end()) return 0.0;
  return (machine.spot ? found->second.spot_price : found->second.price) / std::max(1.0, machine.cpus);
}

// More capacity than the arrays need: the dearest machines take no new array tasks, so that they empty and
// can go.
void Fleet::drain_surplus() {
  std::vector<Machine*> machines;
  double have = 0;
  int gang_slots = 0;
  for (auto& [name, machine] : context_.machines.all()) {
    machine.draining = false;
    if (!takes_work(context_, machine)) continue;
    machines.push_back(&machine);
    have += array_cores(machine);
    if (scheduler_.kept_for_gangs(machine) && !scheduler_.has_gang(machine)) ++gang_slots;
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
      machine->draining = true;
      continue;
    }
    if (scheduler_.kept_for_gangs(*machine)) {
      if (gang_slots <= spare) continue;
      --gang_slots;
    }
    machine->draining = true;
    have -= cores;
  }
}

void Fleet::return_machines(const std::function<bool(const Machine&)>& which) {
  if (returning_ || !budget_.covers(1) || context_.now.steady < next_return_) return;
  std::vector<std::string> names;
  for (const auto& [name, machine] : context_.machines.all())
    if (names.size() < c::kReturnMax && which(machine)) names.push_back(name);
  if (names.empty()) return;
  returning_ = true;
  next_return_ = context_.now.steady + c::kFleetStepS;
  cloud("POST", n::kPathReturn, protocol::return_json(names), [this, names](const CallResult& result) {
    returning_ = false;
    if (result.status != 200) return;  // asked again at the next review
    for (const auto& name : names) {
      Machine* machine = context_.machines.find(name);
      if (machine == nullptr) continue;
      scheduler_.machine_gone(*machine);
      machine->known_at = context_.now.steady;
      context_.metrics.count("machines_returned");
    }
  });
}

void Fleet::give_back() {
  const double now = context_.now.steady;
  std::size_t unresponsive = 0, known = 0;
  for (const auto& [name, machine] : context_.machines.all()) {
    if (machine.state == MachineState::kGone) continue;
    ++known;
    if (machine.state == MachineState::kUnresponsive) ++unresponsive;
  }
  // When many are unresponsive at once the network is the likelier cause, and returning them would cost all
  // their work.
  const bool network_fault = unresponsive > 2 && unresponsive > known * c::kUnresponsiveShareMax;
  // A few machines that nobody hears of hold up the work of earlier leaders; many are a network that will be
  // back.
  const bool few_unreconciled = scheduler_.unreconciled_machines() <=
                                std::max<std::size_t>(c::kFewUnreconciled, known * c::kFewUnreconciledShare);
  // To keep an idle machine for as long as its successor would boot costs at most twice what hindsight would
  // pay.
  const bool gangs_come = scheduler_.gang_rate() > 0,
             arrays_come = scheduler_.array_load(shortest_boot()) > 0;
  const auto idle_limit = [&](const Machine& machine) {
    if (context_.policy.idle_return_s >= 0) return context_.policy.idle_return_s;
    const auto found = context_.types.find(machine.type);
    const bool wanted = scheduler_.kept_for_gangs(machine) ? gangs_come : arrays_come;
    return found != context_.types.end() && wanted ? c::kIdleBoots * found->second.boot_s : c::kIdleReturnS;
  };
  std::vector<Machine*> idle;
  for (auto& [name, machine] : context_.machines.all()) {
    if (machine.state == MachineState::kGone || machine.state == MachineState::kReturning) continue;
    const double boot = machine.type.empty() || !context_.types.contains(machine.type)
                            ? 60
                            : context_.types.at(machine.type).boot_s;
    const char* why = nullptr;
    if (machine.listed_failed)
      why = "it failed";
    else if (machine.state == MachineState::kBooting && machine.provisioned_at > 0 &&
             !machine.sent_heartbeat && !machine.unreconciled &&
             now - machine.provisioned_at > boot * c::kBootFactor + c::kBootSlackS)
      why = "it does not come up";
    else if (scheduler_.give_up(machine) && (!network_fault || machine.interruption_at))
      why = "it is unresponsive";
    else if (machine.unreconciled && scheduler_.phase() == LeaderPhase::kServing && few_unreconciled &&
             machine.probe_failures >= c::kProbesEnough)
      why = "unresponsive since an earlier leader, and jobs wait for proof of what it runs";
    else if (machine.cordoned && (empty(machine) || !machine.saw_term))
      why = "it was cordoned";
    if (why != nullptr) {
      spdlog::info("machine {} is returned: {}", machine.name, why);
      MachineLedger::set_state(machine, MachineState::kReturning);
      continue;
    }
    if (machine.state == MachineState::kUp && empty(machine)) idle.push_back(&machine);
  }
  for (auto* machine : idle) {
    if (!machine->draining || now - machine->idle_since < idle_limit(*machine)) continue;
    spdlog::info("machine {} is returned: idle", machine->name);
    MachineLedger::set_state(*machine, MachineState::kReturning);
  }
  return_machines([](const Machine& machine) { return machine.state == MachineState::kReturning; });
  // What no list, heartbeat or record has shown for long does not exist.
  std::vector<std::string> forgotten;
  for (const auto& [name, machine] : context_.machines.all()) {
    const bool never = machine.state == MachineState::kBooting && machine.provisioned_at == 0 &&
                       !machine.unreconciled &&
                       now - std::max(machine.known_at, machine.last_listed) >
                           c::kForgetListLags * context_.settings.list_lag_s;
    if (never || (machine.state == MachineState::kGone && now - machine.known_at > c::kGoneKeptS))
      forgotten.push_back(name);
  }
  for (const auto& name : forgotten) context_.machines.erase(name);
}

}  // namespace robinford::coordination
