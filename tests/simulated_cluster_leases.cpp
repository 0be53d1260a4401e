// The invariant of quota leases, checked from outside: what workers run, and what valid leases still permit.
#include <algorithm>
#include <cmath>

#include "constants.hpp"
#include "simulated_cluster.hpp"
#include "simulated_cluster_common.hpp"

namespace robinford::simulation {
using protocol::JobId;

namespace {
struct TeamUse {
  double running = 0;  // cpus of tasks on machines
  double covered = 0;  // of them, by promises of valid leases
  double leased = 0;   // cpus of valid leases
};
}  // namespace

// Running tasks that a valid lease has promised stand in that lease's size already.
void SimulatedCluster::look_at_leases() {
  std::map<std::string, TeamUse> teams;
  std::map<JobId, std::uint32_t> promised;
  for (const auto& node : nodes_) {
    if (!node.controller) continue;
    if (const auto wrong = node.controller->quota_leases().audit(); !wrong.empty())
      checker.breach("accounts", now_, node.name + ": " + wrong);
    const auto& lessee = node.controller->quota_leases().lessee();
    if (!lessee.valid(clock_reading().steady)) continue;
    for (const auto& [job, grant] : lessee.grants()) promised[job] += grant.tasks;
    for (const auto& team : settings_.teams)
      teams[team.name].leased +=
          static_cast<double>(lessee.held(team.name).cpus) / constants::kThousandthsPerUnit;
  }
  if (injected_violation_ == "leases_twice")
    for (auto& [name, use] : teams) use.leased *= 100;
  for (const auto& [job, tasks] : checker.tasks_on_machines()) {
    const auto& spec = described_.at(job);
    auto& use = teams[spec.team];
    use.running += spec.cpus * tasks;
    if (const auto found = promised.find(job); found != promised.end())
      use.covered += spec.cpus * std::min(tasks, found->second);
  }
  for (const auto& team : settings_.teams) {
    const auto& use = teams[team.name];
    if (use.leased > 0 && use.running - use.covered + use.leased > team.cpus_max + 1e-3)
      checker.breach("leases", now_,
                     team.name + " runs " + std::to_string(use.running) + " cpus, " +
                         std::to_string(use.covered) + " of them promised by leases of " +
                         std::to_string(use.leased));
  }
}

// Launches that are on their way when the settings change arrive within the time for which a lower limit is
// not judged yet.
void SimulatedCluster::set_limit(const std::string& team, double cpus_max) {
  const auto found = std::find_if(settings_.teams.begin(), settings_.teams.end(),
                                  [&](const auto& known) { return known.name == team; });
  const bool lower = found != settings_.teams.end() && cpus_max < found->cpus_max;
  if (found == settings_.teams.end())
    settings_.teams.push_back({team, 0, cpus_max, 0, 0});
  else
    found->cpus_max = cpus_max;
  after(lower ? kLaunchesOnTheWay : 0, [this, team, cpus_max] { checker.set_limit(team, cpus_max); });
}

std::uint64_t SimulatedCluster::jobs_granted() const {
  std::uint64_t sum = 0;
  for (const auto& node : nodes_)
    if (node.controller) sum += node.controller->quota_leases().lessee().counters().granted;
  return sum;
}

std::size_t SimulatedCluster::grants_outstanding() const {
  std::size_t sum = 0;
  for (const auto& node : nodes_) {
    if (!node.controller) continue;
    sum += node.controller->quota_leases().lessee().outstanding();
    sum += node.controller->quota_leases().lessor().ledger().grants().size();
  }
  return sum;
}

}  // namespace robinford::simulation
