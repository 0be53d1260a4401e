/// @file
/// Implements the placement rules and the mapping of gangs.
#include "coordination/scheduling/placement.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::MachineState;
using protocol::JobSpec;

const Resources& available_resources(ControllerContext& context, Machine& machine) {
  if (!machine.free_resources_known) {
    machine.free_resources = compute_available_resources(context, machine);
    machine.free_resources_known = true;
  }
  return machine.free_resources;
}

Resources compute_available_resources(ControllerContext& context, const Machine& machine) {
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
      return {};  // the job is unknown, so the size of its task is, too
  }
  return resources;
}

bool kind_allowed(const JobSpec& spec, const std::string& type, const std::string& zone, bool spot) {
  if (spot && !spec.spot) return false;
  if (spec.zone && *spec.zone != zone) return false;
  return !spec.types || std::find(spec.types->begin(), spec.types->end(), type) != spec.types->end();
}

bool takes_work(const ControllerContext& context, const Machine& machine) {
  const double max_heartbeat_age_s =
      context.settings.heartbeat_interval_s * c::kHeartbeatJitterFactor + c::kHeartbeatRoundSlackS;
  return machine.state == MachineState::kUp && !machine.cordoned && !machine.interruption_at &&
         context.now.steady - machine.last_heartbeat < max_heartbeat_age_s && machine.cpus > 0;
}

ZoneCount count_tasks_by_zone(ControllerContext& context, const Job& job,
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

std::uint32_t slots_within_policy(ControllerContext& context, const Job& job, const Machine& machine) {
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

namespace {

// Sorts the zones by their free cpus and the machines of each zone by theirs, largest first. With equal free
// cpus, machines that have the image come first.
void sort_offers(std::vector<Offer>& offers) {
  std::map<std::string, double> zone_free_cpus;
  for (const auto& offer : offers) zone_free_cpus[offer.machine->zone] += offer.free_cpus;
  std::sort(offers.begin(), offers.end(), [&](const Offer& left, const Offer& right) {
    const double left_zone_cpus = zone_free_cpus[left.machine->zone];
    const double right_zone_cpus = zone_free_cpus[right.machine->zone];
    if (left_zone_cpus != right_zone_cpus) return left_zone_cpus > right_zone_cpus;
    if (left.machine->zone != right.machine->zone) return left.machine->zone < right.machine->zone;
    if (left.free_cpus != right.free_cpus) return left.free_cpus > right.free_cpus;
    if (left.has_image != right.has_image) return left.has_image;
    return left.machine->name < right.machine->name;
  });
}

// Keeps only the offers of the first zone with slots for `needed` tasks; removes all if there is no such
// zone.
void keep_one_zone(std::vector<Offer>& offers, std::uint32_t needed) {
  std::map<std::string, std::uint32_t> zone_slots;
  for (const auto& offer : offers) zone_slots[offer.machine->zone] += offer.slots;
  const auto chosen = std::find_if(offers.begin(), offers.end(), [&](const Offer& offer) {
    return zone_slots[offer.machine->zone] >= needed;
  });
  if (chosen == offers.end()) return offers.clear();
  const std::string zone = chosen->machine->zone;
  std::erase_if(offers, [&](const Offer& offer) { return offer.machine->zone != zone; });
}

// Distributes tasks over sorted offers, in one or several passes.
class GangMapper {
 public:
  GangMapper(std::vector<Offer> offers, std::uint32_t max_tasks, std::uint32_t max_tasks_per_zone)
      : offers_(std::move(offers)),
        taken_(offers_.size()),
        max_tasks_(max_tasks),
        max_tasks_per_zone_(max_tasks_per_zone) {}

  // Assigns up to `per_machine` more tasks to each machine. Returns the number of tasks assigned in this
  // pass.
  std::uint32_t run_pass(std::uint32_t per_machine) {
    const std::uint32_t before = placed_;
    for (std::size_t i = 0; i < offers_.size() && placed_ < max_tasks_; ++i) {
      auto& in_zone = in_zone_[offers_[i].machine->zone];
      const std::uint32_t tasks = std::min({offers_[i].slots - taken_[i],
                                            max_tasks_per_zone_ - std::min(in_zone, max_tasks_per_zone_),
                                            max_tasks_ - placed_, per_machine});
      taken_[i] += tasks;
      in_zone += tasks;
      placed_ += tasks;
    }
    return placed_ - before;
  }
  std::uint32_t placed() const { return placed_; }
  std::vector<Assignment> assignments() const {
    std::vector<Assignment> result;
    for (std::size_t i = 0; i < offers_.size(); ++i)
      if (taken_[i] > 0) result.push_back({offers_[i].machine->name, taken_[i]});
    return result;
  }

 private:
  std::vector<Offer> offers_;
  std::vector<std::uint32_t> taken_;  // slots in use of the offer with the same index
  std::map<std::string, std::uint32_t> in_zone_;
  std::uint32_t placed_ = 0;
  std::uint32_t max_tasks_;
  std::uint32_t max_tasks_per_zone_;
};

}  // namespace

std::optional<std::vector<Assignment>> map_gang(const JobSpec& spec, std::vector<Offer> offers,
                                                std::uint32_t needed, std::uint32_t extra, bool concentrate) {
  std::erase_if(offers, [](const Offer& offer) { return offer.slots == 0; });
  sort_offers(offers);
  if (spec.one_zone) keep_one_zone(offers, needed);
  const std::uint32_t max_tasks = needed + extra;
  GangMapper mapper(std::move(offers), max_tasks, spec.spread ? (needed + 1) / 2 : max_tasks);
  if (concentrate) {
    mapper.run_pass(max_tasks);  // fills each machine before the next one
  } else {
    // Each pass assigns one task to each machine, until a pass finds no free slot.
    while (mapper.run_pass(1) > 0) {
    }
  }
  if (mapper.placed() < needed) return std::nullopt;
  return mapper.assignments();
}

}  // namespace robinford::coordination
