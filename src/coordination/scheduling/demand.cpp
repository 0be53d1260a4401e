// What arrives and what there is: the load of recent arrivals, and the free capacity of the fleet at a
// glance.
#include <algorithm>
#include <cmath>

#include "constants.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::MachineState;
using protocol::JobSpec;

void Scheduler::arrived(const Job& job) {
  run_times_.estimated(job.spec);
  // A new leader reads jobs that came long ago: they must not look like a burst.
  const double now = context_.now.steady - std::max(0.0, (context_.now.wall_ms - job.eligible_ms()) / 1000.0);
  if (job.spec.gang) {
    recent_gangs_.emplace_back(now, job.spec);
    if (recent_gangs_.size() > c::kRecentGangs) recent_gangs_.pop_front();
  } else {
    recent_arrays_.push_back({now, job.spec, job.remaining() * job.spec.cpus, std::max(1.0, time_left(job))});
    while (recent_arrays_.size() > c::kRecentArrays ||
           context_.now.steady - recent_arrays_.front().at > c::kLoadWindowS) {
      recent_arrays_.pop_front();
      if (recent_arrays_.empty()) break;
    }
  }
}

double Scheduler::array_load(double boot_s) const {
  const double now = context_.now.steady;
  std::map<std::string, double> teams;
  for (const auto& arrival : recent_arrays_) {
    if (now - arrival.at > c::kLoadWindowS) continue;
    teams[arrival.spec.team] += arrival.cores * run_times_.expected(arrival.spec) *
                                std::clamp(c::kReadyBoots * boot_s / arrival.allowed, c::kReadyLeast, 1.0);
  }
  // What a service finds waiting when it starts is no rate: the window is never taken as shorter.
  const double window = c::kLoadWindowS;
  double load = 0;
  for (const auto& [name, work] : teams)
    if (const auto* team = context_.settings.team(name)) load += std::min(work / window, team->cpus_max);
  return load;
}

// Tasks of the gang that one machine takes, of the type that takes most.
std::uint32_t Scheduler::tasks_a_machine(const JobSpec& spec) const {
  std::uint32_t most = 0;
  for (const auto& [name, type] : context_.types) {
    if (spec.types && std::find(spec.types->begin(), spec.types->end(), name) == spec.types->end()) continue;
    most = std::max(most, Resources{type.cpus, type.gpus, type.memory_gb}.tasks_of(spec));
  }
  return most;
}

double Scheduler::gang_rate() const {
  double machines = 0;
  for (const auto& [when, spec] : recent_gangs_)
    if (context_.now.steady - when < c::kGangWindowS)
      machines += static_cast<double>(spec.tasks) / std::max(1u, tasks_a_machine(spec));
  return machines / c::kGangWindowS;
}

const JobSpec* Scheduler::typical_gang() const {
  if (recent_gangs_.empty()) return nullptr;
  const auto filling = std::find_if(recent_gangs_.rbegin(), recent_gangs_.rend(), [this](const auto& gang) {
    return tasks_a_machine(gang.second) <= c::kFillingGangTasks;
  });
  return filling == recent_gangs_.rend() ? &recent_gangs_.back().second : &filling->second;
}

Scheduler::GangUse Scheduler::gang_use(const Machine& machine) const {
  if (context_.now.steady >= gang_use_until_) {
    gang_use_.clear();
    gang_use_until_ = context_.now.steady + c::kSuitsS;
  }
  const auto [found, fresh] =
      gang_use_.try_emplace(Kind{machine.type, machine.zone, machine.spot}, GangUse{});
  if (!fresh) return found->second;
  const Resources whole{machine.cpus, machine.gpus, machine.memory_gb};
  for (const auto& [when, spec] : recent_gangs_) {
    if (!kind_allowed(spec, machine.type, machine.zone, machine.spot) || !whole.fits(spec)) continue;
    found->second.fits = true;
    if (whole.tasks_of(spec) <= c::kFillingGangTasks) found->second.fills = true;
    if (found->second.fills) break;
  }
  return found->second;
}

// Arrays fill spot machines first, then those no gang wants, then the rest.
int Scheduler::capacity_class(const Machine& machine) const {
  if (machine.spot) return 0;
  return kept_for_gangs(machine) && !has_gang(machine) ? 2 : 1;
}

// The fleet's capacity at a glance, so that no heartbeat has to look at all machines.
void Scheduler::survey() {
  next_survey_ = context_.now.steady + c::kSurveyEveryS;
  survey_ = {};
  for (auto& [name, machine] : context_.machines.all()) {
    if (machine.state == MachineState::kUp || machine.state == MachineState::kBooting)
      survey_.supply += machine.cpus;
    if (!takes_work(context_, machine) || machine.draining) continue;
    const double free = std::max(0.0, free_resources(context_, machine).cpus);
    for (int above = capacity_class(machine) + 1; above <= 2; ++above) survey_.better[above] += free;
  }
  std::map<std::string, double> teams;
  for (const auto& [name, queue] : queues_)
    for (const Job* job : queue) teams[name] += job->unplaced() * job->spec.cpus;
  for (const auto& [name, cpus] : teams) survey_.array_demand += std::min(cpus, context_.quota.left(name));
}

}  // namespace robinford::coordination
