/// @file
/// Implements assign_array_tiers.
#include "coordination/scheduling/array_tiers.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Job;
using bookkeeping::JobState;

namespace {

// Smallest share of the cores in demand that is assumed to be available, however far demand exceeds supply.
constexpr double kMinSupplyShare = 0.05;
// An array of the second tier may end late by this share of its total time, from submission to due time.
constexpr double kLateShare = 0.5;
constexpr int kInTimeTier = 0;
constexpr int kSlightlyLateTier = 1;
constexpr int kLateTier = 2;

struct Candidate {
  Job* job;
  double time_left_s;       // until its due time
  double late_time_left_s;  // until it is late by more than `kLateShare` of its total time
  double last_run_s;    // part of the run time of its last tasks that does not overlap with other jobs' first
                        // tasks
  double core_seconds;  // of its remaining tasks
};
using CandidatesByTeam = std::map<std::string, std::vector<Candidate>>;

CandidatesByTeam active_arrays(ControllerContext& context, const RunTimes& run_times,
                               const QueueOrder& order) {
  CandidatesByTeam teams;
  for (auto& [id, job] : context.jobs.all()) {
    if (job->spec.gang || job->state != JobState::kActive) continue;
    const double left_s = order.time_left(*job);
    const double age_s = std::max(0.0, (context.now.wall_ms - job->submitted_ms) / 1000.0);
    const double run_s = run_times.expected(*job);
    teams[job->spec.team].push_back({job.get(), left_s, left_s + (left_s + age_s) * kLateShare,
                                     run_s * c::kLastRunShare, job->remaining() * job->spec.cpus * run_s});
  }
  return teams;
}

// Cores that the arrays of each team can be expected to use: what their remaining tasks need, at most the
// team's quota minus the cores of its gangs, but at least one core. The result is scaled by
// `kAttainableRateShare`, and in proportion (at least by `kMinSupplyShare`) if the supply that gangs leave is
// smaller than the sum over all teams.
std::map<std::string, double> cores_by_team(ControllerContext& context, const CandidatesByTeam& teams,
                                            double supply_cpus) {
  std::map<std::string, double> gang_cpus;
  for (const auto& [id, job] : context.jobs.all())
    if (job->spec.gang)
      gang_cpus[job->spec.team] += job->spec.cpus * (job->runs.size() + job->reservations.size());
  for (const auto& [name, cpus] : gang_cpus) supply_cpus -= cpus;
  std::map<std::string, double> cores_by_name;
  double demanded = 0;
  for (const auto& [name, arrays] : teams) {
    const auto* team = context.settings.team(name);
    if (team == nullptr) continue;
    double wanted = 0;
    for (const auto& array : arrays) wanted += array.job->remaining() * array.job->spec.cpus;
    const double cores = std::min(wanted, std::max(1.0, team->cpus_max - gang_cpus[name]));
    cores_by_name[name] = cores;
    demanded += cores;
  }
  const double available = demanded > 0 ? std::clamp(supply_cpus / demanded, kMinSupplyShare, 1.0) : 1.0;
  const double part = c::kAttainableRateShare * available;
  for (auto& [name, cores] : cores_by_name) cores *= part;
  return cores_by_name;
}

double time_limit(const Candidate& array, int tier) {
  return (tier == kInTimeTier ? array.time_left_s : array.late_time_left_s) - array.last_run_s;
}

// Assigns the tier to the arrays that can end within its time limits, and returns the others.
std::vector<Candidate> assign_tier(std::vector<Candidate> arrays, int tier, double cores) {
  std::sort(arrays.begin(), arrays.end(), [&](const Candidate& left, const Candidate& right) {
    return std::tuple(time_limit(left, tier), left.job->spec.id) <
           std::tuple(time_limit(right, tier), right.job->spec.id);
  });
  std::vector<Candidate> chosen;
  std::vector<Candidate> late;
  double core_seconds = 0;  // total of `chosen`
  for (const auto& array : arrays) {
    chosen.push_back(array);
    core_seconds += array.core_seconds;
    while (!chosen.empty() && core_seconds / cores > std::max(0.0, time_limit(array, tier))) {
      const auto largest =
          std::max_element(chosen.begin(), chosen.end(), [](const Candidate& left, const Candidate& right) {
            return left.core_seconds < right.core_seconds;
          });
      core_seconds -= largest->core_seconds;
      late.push_back(*largest);
      chosen.erase(largest);
    }
  }
  for (const auto& array : chosen) array.job->tier = tier;
  return late;
}

}  // namespace

void assign_array_tiers(ControllerContext& context, const RunTimes& run_times, const QueueOrder& order,
                        double supply_cpus) {
  const auto teams = active_arrays(context, run_times, order);
  for (const auto& [name, cores] : cores_by_team(context, teams, supply_cpus)) {
    if (cores <= 0) continue;
    auto late = assign_tier(teams.at(name), kInTimeTier, cores);
    late = assign_tier(std::move(late), kSlightlyLateTier, cores);
    for (const auto& array : late) array.job->tier = kLateTier;
  }
}

}  // namespace robinford::coordination
