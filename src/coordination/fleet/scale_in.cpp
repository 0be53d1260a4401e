#include "coordination/fleet/scale_in.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <string>
#include <tuple>
#include <vector>

#include "constants.hpp"
#include "coordination/fleet/fleet_figures.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Machine;
using bookkeeping::MachineLedger;
using bookkeeping::MachineState;

ScaleIn::ScaleIn(ControllerContext& context, const Scheduler& scheduler)
    : context_(context), scheduler_(scheduler) {}

void ScaleIn::drain_surplus(double array_cores_needed) {
  std::vector<Machine*> machines;
  double have = 0;
  int free_gang_machines = 0;
  for (auto& [name, machine] : context_.machines.all()) {
    machine.draining = false;
    if (!takes_work(context_, machine)) continue;
    machines.push_back(&machine);
    have += array_cores(machine);
    if (scheduler_.kept_for_gangs(machine) && !scheduler_.has_gang(machine)) ++free_gang_machines;
  }
  const auto dearest_first = [&](const Machine* left, const Machine* right) {
    return std::tuple(-price_per_core(context_, *left), left->tasks.size(), left->name) <
           std::tuple(-price_per_core(context_, *right), right->tasks.size(), right->name);
  };
  std::sort(machines.begin(), machines.end(), dearest_first);
  const int spare = spare_gang_machines(context_, scheduler_);
  for (Machine* machine : machines) {
    const double cores = array_cores(*machine);
    if (have - cores < array_cores_needed) continue;
    // A machine with a gang stays until the gang ends, and its cores still count. It is drained already now
    // so that no array tasks start on it: they would hold the most expensive machines until the longest task
    // ends.
    if (scheduler_.has_gang(*machine)) {
      machine->draining = true;
      continue;
    }
    if (scheduler_.kept_for_gangs(*machine)) {
      if (free_gang_machines <= spare) continue;
      --free_gang_machines;
    }
    machine->draining = true;
    have -= cores;
  }
}

ScaleIn::FleetView ScaleIn::view_fleet() const {
  std::size_t unresponsive = 0;
  std::size_t known = 0;
  for (const auto& [name, machine] : context_.machines.all()) {
    if (machine.state == MachineState::kGone) continue;
    ++known;
    if (machine.state == MachineState::kUnresponsive) ++unresponsive;
  }
  FleetView view;
  // When many machines are unresponsive at once, the network is the likelier cause, and returning them would
  // lose all their work.
  view.network_fault = unresponsive > 2 && unresponsive > known * c::kNetworkFaultShare;
  // Jobs that an earlier leader may have started on an unreconciled machine wait until it is known what runs
  // there. A few such machines are given up to let these jobs go on; many indicate a network fault that will
  // pass.
  view.few_unreconciled = scheduler_.unreconciled_machines() <=
                          std::max<std::size_t>(c::kFewUnreconciledMax, known * c::kFewUnreconciledShare);
  view.gangs_arrive = scheduler_.gang_rate() > 0;
  view.arrays_arrive = scheduler_.array_load(shortest_boot_s(context_)) > 0;
  return view;
}

const char* ScaleIn::return_reason(const Machine& machine, const FleetView& view) const {
  const auto type = context_.types.find(machine.type);
  const double boot_s = type == context_.types.end() ? c::kDefaultBootS : type->second.boot_s;
  if (machine.listed_failed) return "the cloud lists it as failed";
  if (machine.state == MachineState::kBooting && machine.provisioned_at > 0 && !machine.sent_heartbeat &&
      !machine.unreconciled &&
      context_.now.steady - machine.provisioned_at > boot_s * c::kBootTimeoutFactor + c::kBootTimeoutSlackS)
    return "it did not boot in time";
  if (scheduler_.unresponsive_too_long(machine) && (!view.network_fault || machine.interruption_at))
    return "it is unresponsive";
  if (machine.unreconciled && scheduler_.phase() == LeaderPhase::kServing && view.few_unreconciled &&
      machine.probe_failures >= c::kProbeFailureThreshold)
    return "unresponsive since an earlier leader, and jobs wait until it is known what it runs";
  if (machine.cordoned && (is_empty(machine) || !machine.showed_token)) return "it was cordoned";
  return nullptr;
}

// Seconds that the machine may stay idle, unless the policy sets a number: `kIdleReturnBoots` boot times of
// its type while work for it arrives, otherwise `kIdleReturnS`. A limit of one whole boot time, the time
// that a replacement would take, would cost at most twice as much as the best choice in hindsight;
// `kIdleReturnBoots` is lower, so that bound does not hold for it.
double ScaleIn::idle_limit_s(const Machine& machine, const FleetView& view) const {
  if (context_.policy.idle_return_s >= 0) return context_.policy.idle_return_s;
  const auto type = context_.types.find(machine.type);
  const bool wanted = scheduler_.kept_for_gangs(machine) ? view.gangs_arrive : view.arrays_arrive;
  if (type == context_.types.end() || !wanted) return c::kIdleReturnS;
  return c::kIdleReturnBoots * type->second.boot_s;
}

void ScaleIn::mark_for_return(PoolCounts kept_for_waiting_gangs) {
  const FleetView view = view_fleet();
  std::vector<Machine*> idle;
  for (auto& [name, machine] : context_.machines.all()) {
    if (machine.state == MachineState::kGone || machine.state == MachineState::kReturning) continue;
    if (const char* reason = return_reason(machine, view)) {
      spdlog::info("machine {} is returned: {}", machine.name, reason);
      MachineLedger::set_state(machine, MachineState::kReturning);
      continue;
    }
    if (machine.state == MachineState::kUp && is_empty(machine)) idle.push_back(&machine);
  }
  for (Machine* machine : idle) {
    if (!machine->draining || context_.now.steady - machine->idle_since < idle_limit_s(*machine, view))
      continue;
    if (int& kept = kept_for_waiting_gangs[kind_of(*machine)]; kept > 0) {
      --kept;
      continue;
    }
    spdlog::info("machine {} is returned: idle", machine->name);
    MachineLedger::set_state(*machine, MachineState::kReturning);
  }
}

// Whether the machine's entry in the ledger has no more use: its return was confirmed long ago, or no list,
// heartbeat or unreconciled record has shown it for long, so that it does not exist.
bool ScaleIn::is_stale(const Machine& machine) const {
  const double now = context_.now.steady;
  if (machine.state == MachineState::kGone) return now - machine.known_at > c::kGoneMachineKeptS;
  return machine.state == MachineState::kBooting && machine.provisioned_at == 0 && !machine.unreconciled &&
         now - std::max(machine.known_at, machine.last_listed) >
             c::kForgetListLags * context_.settings.list_lag_s;
}

void ScaleIn::remove_stale_machines() {
  std::vector<std::string> missing;
  for (const auto& [name, machine] : context_.machines.all())
    if (is_stale(machine)) missing.push_back(name);
  for (const auto& name : missing) context_.machines.erase(name);
}

}  // namespace robinford::coordination
