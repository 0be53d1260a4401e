#include "coordination/placement.hpp"

#include <algorithm>
#include <cmath>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::MachineState;
using protocol::JobSpec;

const Room& free_room(Core& core, Machine& machine) {
  if (!machine.room_known) {
    machine.room = count_room(core, machine);
    machine.room_known = true;
  }
  return machine.room;
}

Room count_room(Core& core, const Machine& machine) {
  Room room{machine.cpus, machine.gpus, machine.memory_gb};
  for (const auto& task : machine.tasks)
    if (const Job* job = core.jobs.find(task.job)) room.take(job->spec);
  for (const auto id : machine.holds) {
    const Job* job = core.jobs.find(id);
    if (job == nullptr) continue;
    for (const auto& hold : job->holds)
      if (hold.machine == machine.name) room.take(job->spec);
  }
  for (const auto& stray : machine.strays) {
    if (const Job* job = core.jobs.find(stray.task.job))
      room.take(job->spec);
    else
      return {};  // its size is unknown until it is gone
  }
  return room;
}

bool kind_allowed(const JobSpec& spec, const std::string& type, const std::string& zone, bool spot) {
  if (spot && !spec.spot) return false;
  if (spec.zone && *spec.zone != zone) return false;
  return !spec.types || std::find(spec.types->begin(), spec.types->end(), type) != spec.types->end();
}

bool takes_work(const Core& core, const Machine& machine) {
  const double fresh = core.settings.heartbeat_interval_s * c::kHeartbeatJitter + c::kRoundSlackS;
  return machine.state == MachineState::kUp && !machine.set_aside && !machine.interruption_at &&
         core.now.steady - machine.last_heartbeat < fresh && machine.cpus > 0;
}

ZoneCount zones_of(Core& core, const Job& job, const std::set<std::string>& stray_machines) {
  ZoneCount result;
  const auto add = [&](const std::string& name) {
    const auto* machine = core.machines.find(name);
    if (machine != nullptr)
      ++result.tasks[machine->zone];
    else
      ++result.unknown;
  };
  for (const auto& [index, run] : job.runs) add(run.machine);
  for (const auto& hold : job.holds) add(hold.machine);
  for (const auto& name : stray_machines) {
    const auto* machine = core.machines.find(name);
    if (machine == nullptr) continue;
    for (const auto& stray : machine->strays)
      if (stray.task.job == job.spec.id) ++result.tasks[machine->zone];
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

std::uint32_t slots_by_count(Core& core, const Job& job, const Machine& machine) {
  std::set<protocol::JobId> present(machine.holds);
  std::uint32_t here = 0;
  for (const auto& task : machine.tasks) {
    present.insert(task.job);
    if (task.job == job.spec.id) ++here;
  }
  for (const auto& hold : job.holds)
    if (hold.machine == machine.name) ++here;
  if (!present.contains(job.spec.id) &&
      present.size() >= static_cast<std::size_t>(core.policy.jobs_per_machine))
    return 0;
  const auto most = static_cast<std::uint32_t>(core.policy.tasks_per_job);
  return here >= most ? 0 : most - here;
}

std::optional<std::vector<Spot>> map_gang(const JobSpec& spec, std::vector<Offer> offers,
                                          std::uint32_t needed, std::uint32_t extra, bool concentrate) {
  std::erase_if(offers, [](const Offer& offer) { return offer.slots == 0; });
  std::map<std::string, double> zone_room;
  std::map<std::string, std::uint32_t> zone_slots;
  for (const auto& offer : offers) {
    zone_room[offer.machine->zone] += offer.free_cpus;
    zone_slots[offer.machine->zone] += offer.slots;
  }
  std::sort(offers.begin(), offers.end(), [&](const Offer& a, const Offer& b) {
    const double ra = zone_room[a.machine->zone], rb = zone_room[b.machine->zone];
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
      const std::uint32_t room = std::min({offers[i].slots - taken[i], zone_cap - std::min(zone, zone_cap),
                                           needed + extra - placed, per_machine});
      taken[i] += room;
      zone += room;
      placed += room;
      any = any || room > 0;
    }
    return any;
  };
  if (concentrate)
    pass(needed + extra);
  else
    while (pass(1)) {
    }
  if (placed < needed) return std::nullopt;
  std::vector<Spot> result;
  for (std::size_t i = 0; i < offers.size(); ++i)
    if (taken[i] > 0) result.push_back({offers[i].machine->name, taken[i]});
  return result;
}

}  // namespace robinford::coordination
