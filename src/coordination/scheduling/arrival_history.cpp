/// @file
/// Implements ArrivalHistory.
#include "coordination/scheduling/arrival_history.hpp"

#include <algorithm>
#include <string>

#include "constants.hpp"
#include "coordination/scheduling/placement.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Job;
using bookkeeping::Machine;
using protocol::JobSpec;

void ArrivalHistory::record(const Job& job, double time_left_s) {
  // Arrivals are dated by when the job became eligible. A new leader records all active jobs at once; dated
  // by that moment, they would look like a burst.
  const double age_s = std::max(0.0, (context_.now.wall_ms - job.eligible_ms()) / 1000.0);
  const double arrived_at = context_.now.steady - age_s;
  if (job.spec.gang) {
    gangs_.push_back({arrived_at, job.spec});
    if (gangs_.size() > c::kRecentGangsMax) gangs_.pop_front();
    return;
  }
  arrays_.push_back({arrived_at, job.spec, job.remaining() * job.spec.cpus, std::max(1.0, time_left_s)});
  while (!arrays_.empty() && (arrays_.size() > c::kRecentArraysMax ||
                              context_.now.steady - arrays_.front().at > c::kArrayLoadWindowS))
    arrays_.pop_front();
}

double ArrivalHistory::array_cores(double boot_s) const {
  std::map<std::string, double> core_seconds_by_team;
  for (const auto& arrival : arrays_) {
    if (context_.now.steady - arrival.at > c::kArrayLoadWindowS) continue;
    const double urgency =
        std::clamp(c::kReadyCapacityBoots * boot_s / arrival.allowed_s, c::kReadyCapacityShareMin, 1.0);
    core_seconds_by_team[arrival.spec.team] += arrival.cores * run_times_.expected(arrival.spec) * urgency;
  }
  // The divisor is the whole window even if the service started less than `kArrayLoadWindowS` ago: jobs that
  // were waiting at the start say nothing about the arrival rate.
  double cores = 0;
  for (const auto& [name, core_seconds] : core_seconds_by_team)
    if (const auto* team = context_.settings.team(name))
      cores += std::min(core_seconds / c::kArrayLoadWindowS, team->cpus_max);
  return cores;
}

// Largest number of tasks of the gang that fit one machine, over all machine types that it allows.
std::uint32_t ArrivalHistory::tasks_per_machine(const JobSpec& spec) const {
  std::uint32_t most = 0;
  for (const auto& [name, type] : context_.types) {
    if (spec.types && std::find(spec.types->begin(), spec.types->end(), name) == spec.types->end()) continue;
    most = std::max(most, Resources{type.cpus, type.gpus, type.memory_gb}.tasks_that_fit(spec));
  }
  return most;
}

double ArrivalHistory::gang_machines_per_second() const {
  double machines = 0;
  for (const auto& gang : gangs_)
    if (context_.now.steady - gang.at < c::kGangArrivalWindowS)
      machines += static_cast<double>(gang.spec.tasks) / std::max(1u, tasks_per_machine(gang.spec));
  return machines / c::kGangArrivalWindowS;
}

const JobSpec* ArrivalHistory::typical_gang() const {
  if (gangs_.empty()) return nullptr;
  const auto filling = std::find_if(gangs_.rbegin(), gangs_.rend(), [this](const GangArrival& gang) {
    return tasks_per_machine(gang.spec) <= c::kMachineFillingGangTasksMax;
  });
  return filling == gangs_.rend() ? &gangs_.back().spec : &filling->spec;
}

ArrivalHistory::GangUse ArrivalHistory::gang_use(const Machine& machine) const {
  if (context_.now.steady >= gang_use_cached_until_) {
    gang_use_cache_.clear();
    gang_use_cached_until_ = context_.now.steady + c::kGangUseCacheS;
  }
  const auto [entry, is_new] = gang_use_cache_.try_emplace(kind_of(machine), GangUse{});
  GangUse& use = entry->second;
  if (!is_new) return use;
  const Resources whole{machine.cpus, machine.gpus, machine.memory_gb};
  for (const auto& gang : gangs_) {
    if (!kind_allowed(gang.spec, machine.type, machine.zone, machine.spot) || !whole.fits(gang.spec))
      continue;
    use.fits = true;
    use.fills = whole.tasks_that_fit(gang.spec) <= c::kMachineFillingGangTasksMax;
    if (use.fills) break;
  }
  return use;
}

}  // namespace robinford::coordination
