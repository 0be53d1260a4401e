#include "coordination/scheduling/placement.hpp"

#include <algorithm>
#include <cmath>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::MachineState;
using protocol::JobSpec;

const Resources& free_resources(ControllerContext& context, Machine& machine) {
  if (!machine.free_resources_known) {
    machine.free_resources = count_free_resources(context, machine);
    machine.free_resources_known = true;
  }
  return machine.free_resources;
}

Resources count_free_resources(ControllerContext& context, const Machine& machine) {
  Resources resources{machine.cpus, machine.gpus, machine.memory_gb};
  for (const auto& task : machine.tasks)
    if (const Job* job = context.jobs.find(task.job)) resources.take(job->spec);
  for (const auto id : machine.reservations) {
    const Job* job = context.jobs.find(id);
    if (job == nullptr) continue;
    for (const auto& reservation : job->reservations)
      if (reservation.machine == machine.name) resources.take(job->spec);
  }
  for (const auto& unknown_task : machine.unknown_tasks) {
    if (const Job* job = context.jobs.find(unknown_task.task.job))
      resources.take(job->spec);
    else
      return {};  // its size is unknown until it is gone
  }
  return resources;
}

bool kind_allowed(const JobSpec& spec, const std::string& type, const std::string& zone, bool spot) {
  if (spot && !spec.spot) return false;
  if (spec.zone && *spec.zone != zone) return false;
  return !spec.types || std::find(spec.types->begin(), spec.types->end(), type) != spec.types->end();
}

bool takes_work(const ControllerContext& context, const Machine& machine) {
  const double fresh = context.settings.heartbeat_interval_s * c::kHeartbeatJitter + c::kRoundSlackS;
  return machine.state == MachineState::kUp && !machine.cordoned && !machine.interruption_at &&
         context.now.steady - machine.last_heartbeat < fresh && machine.cpus > 0;
}

ZoneCount zones_of(ControllerContext& context, const Job& job,
                   const std::set<std::string>& unknown_task_machines) {
  ZoneCount result;
  const auto add = [&](const std::string& name) {
    const auto* machine = context.machines.find(name);
    if (machine != nullptr)
      ++result.tasks[machine->zone];
    else
      ++result.unknown;
  };
  for (const auto& [index, run] : job.runs) add(run.machine);
  for (const auto& reservation : job.reservations) add(reservation.machine);
  for (const auto& name : unknown_task_machines) {
    const auto* machine = context.machines.find(name);
    if (machine == nullptr) continue;
    for (const auto& unknown_task : machine->unknown_tasks)
      if (unknown_task.task.job == job.spec.id) ++result.tasks[machine->zone];
  }
  return result;
}

bool zone_allowed(const JobSpec& spec, const ZoneCount& zones, const std::string& zone) {
  if (spec.one_zone) {
    if (zones.unknown > 0) return false;
    for (const auto& [name, count] : zones.tasks)
      if (count > 0 && name != zone) return false;
  }
  if (spec.spread) {
    const auto found = zones.tasks.find(zone);
    const std::uint32_t here = (found == zones.tasks.end() ? 0 : found->second) + zones.unknown;
    if (here + 1 > (spec.tasks + 1) / 2) return false;
  }
  return true;
}

std::uint32_t slots_by_count(ControllerContext& context, const Job& job, const Machine& machine) {
  std::set<protocol::JobId> present(machine.reservations);
  std::uint32_t here = 0;
  for (const auto& task : machine.tasks) {
    present.insert(task.job);
    if (task.job == job.spec.id) ++here;
  }
  for (const auto& reservation : job.reservations)
    if (reservation.machine == machine.name) ++here;
  if (!present.contains(job.spec.id) &&
      present.size() >= static_cast<std::size_t>(context.policy.jobs_per_machine))
    return 0;
  const auto most = static_cast<std::uint32_t>(context.policy.tasks_per_job);
  return here >= most ? 0 : most - here;
}

std::optional<std::vector<Assignment>> map_gang(const JobSpec& spec, std::vector<Offer> offers,
                                                std::uint32_t needed, std::uint32_t extra, bool concentrate) {
  std::erase_if(offers, [](const Offer& offer) { return offer.slots == 0; });
  std::map<std::string, double> zone_free_cpus;
  std::map<std::string, std::uint32_t> zone_slots;
  for (const auto& offer : offers) {
    zone_free_cpus[offer.machine->zone] += offer.free_cpus;
    zone_slots[offer.machine->zone] += offer.slots;
  }
  std::sort(offers.begin(), offers.end(), [&](const Offer& a, const Offer& b) {
    const double ra = zone_free_cpus[a.machine->zone], rb = zone_free_cpus[b.machine->zone];
    if (ra != rb) return ra > rb;
    if (a.machine->zone != b.machine->zone) return a.machine->zone < b.machine->zone;
    if (a.free_cpus != b.free_cpus) return a.free_cpus > b.free_cpus;
    if (a.warm != b.warm) return a.warm;
    return a.machine->name < b.machine->name;
  });
  if (spec.one_zone) {
    std::string chosen;
    for (const auto& offer : offers) {
      if (zone_slots[offer.machine->zone] < needed) continue;
      chosen = offer.machine->zone;
      break;
    }
    if (chosen.empty()) return std::nullopt;
    std::erase_if(offers, [&](const Offer& offer) { return offer.machine->zone != chosen; });
  }
  const std::uint32_t zone_cap = spec.spread ? (needed + 1) / 2 : needed + extra;
  std::map<std::string, std::uint32_t> in_zone;
  std::vector<std::uint32_t> taken(offers.size());
  std::uint32_t placed = 0;
  // Concentrate: a machine is filled before the next. Spread: one task a machine down the list, wrapping
  // round.
  const auto pass = [&](std::uint32_t per_machine) {
    bool any = false;
    for (std::size_t i = 0; i < offers.size() && placed < needed + extra; ++i) {
      auto& zone = in_zone[offers[i].machine->zone];
      const std::uint32_t resources =
          std::min({offers[i].slots - taken[i], zone_cap - std::min(zone, zone_cap), needed + extra - placed,
                    per_machine});
      taken[i] += resources;
      zone += resources;
      placed += resources;
      any = any || resources > 0;
    }
    return any;
  };
  if (concentrate)
    pass(needed + extra);
  else
    while (pass(1)) {
    }
  if (placed < needed) return std::nullopt;
  std::vector<Assignment> result;
  for (std::size_t i = 0; i < offers.size(); ++i)
    if (taken[i] > 0) result.push_back({offers[i].machine->name, taken[i]});
  return result;
}

}  // namespace robinford::coordination
