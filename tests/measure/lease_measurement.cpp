// Measures quota leases in virtual time against the same program with the switch off. Not part of the tests.
//
//   robinford_lease_measurement [CONTROLLERS...]      one line for each number of controllers, seed and
//   switch
#include <spdlog/spdlog.h>

#include <cstdio>
#include <cstdlib>
#include <deque>
#include <sstream>
#include <vector>

#include "simulated_cluster.hpp"

namespace robinford::simulation {
namespace {

constexpr int kTeams = 6;
constexpr double kGuarantee = 32, kLimit = 64;  // cpus of each team
constexpr int kMachines = 32;                   // of 16 cpus: capacity for all limits at once
constexpr double kQuietS = 40, kBurstS = 30, kEndS = 130;
constexpr double kQuietRate = 4;  // jobs a second over all teams
constexpr double kBurstRate = 6;  // jobs a second more, of one team
constexpr std::size_t kWindowSamples = 5;
constexpr double kDueS = 8;  // without it the fleet holds machines back for work that is in no hurry
constexpr double kSampleS = 0.25;
constexpr double kStateTimes =
    20;  // of the usual limits of the state service: it must not be what is measured

struct Result {
  double at_once = 0;       // share of jobs that were granted where they were submitted
  double p50 = 0, p95 = 0;  // s from submission at the leader to the grant, upper edges of buckets
  double jobs = 0;
  double lease_writes = 0, all_writes = 0;
  double idle = 0;  // mean share of the limits that is idle in leases while work of the team waits
  // From the begin of the second burst until half of what followers get is granted at once, in s.
  double moved_s = -1;
  double first_start = 0;  // mean s from submission to the first task's start
};

// Cumulative counts of the histogram of grant waits, over all pages.
std::map<double, double> grant_waits(SimulatedCluster& cluster, int controllers) {
  std::map<double, double> counts;
  for (int i = 0; i < controllers; ++i) {
    auto* controller = cluster.controller(i);
    if (controller == nullptr) continue;
    std::istringstream page(controller->context().metrics.page());
    double before = 0;
    for (std::string line; std::getline(page, line);) {
      const std::string name = "robinford_grant_wait_seconds_bucket{le=\"";
      if (!line.starts_with(name)) continue;
      const double edge = std::strtod(line.c_str() + name.size(), nullptr);
      const double sum = std::strtod(line.c_str() + line.rfind(' '), nullptr);
      counts[edge] += sum - before;
      before = sum;
    }
  }
  return counts;
}

double quantile(const std::map<double, double>& counts, double share) {
  double all = 0, sum = 0;
  for (const auto& [edge, count] : counts) all += count;
  for (const auto& [edge, count] : counts)
    if ((sum += count) >= share * all) return edge;
  return 0;
}

Result measure(int controllers, std::uint64_t seed, bool on) {
  Options options;
  options.controllers = controllers;
  options.seed = seed;
  options.leases.enabled = on;
  options.state_times = kStateTimes;
  options.policy = "return { idle_return_s = 4000 }";
  for (int i = 0; i < kTeams; ++i) options.teams["team-" + std::to_string(i)] = {kGuarantee, kLimit};
  protocol::MachineType type;
  type.name = "big";
  type.cpus = 16;
  type.memory_gb = 64;
  type.price = type.spot_price = 1;
  type.boot_s = 5;
  type.cache_gb = 50;
  type.fetch_gb_per_s = 1;
  options.types.push_back(type);
  SimulatedCluster cluster(options);
  cluster.machines(kMachines, "big", "a", false);
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> gap(1);
  protocol::JobId next = 0;
  std::map<protocol::JobId, double> submitted;
  const auto submit = [&](int team) {
    protocol::JobSpec spec;
    spec.id = ++next;
    spec.team = "team-" + std::to_string(team);
    spec.job_class = "plain";
    spec.image = "img-1";
    spec.tasks = 1 + static_cast<std::uint32_t>(random() % 4);
    spec.gang = random() % 4 == 0;
    spec.cpus = 1;
    spec.memory_gb = 1;
    spec.estimate_s = 2 + 0.1 * static_cast<double>(random() % 20);
    spec.deadline_s = kDueS;
    submitted[spec.id] = cluster.now();
    cluster.submit(spec);
  };
  Result result;
  std::deque<std::pair<std::uint64_t, std::uint64_t>>
      window;  // jobs granted at once, and all jobs, by sample
  double quiet_at = 8, burst_at = kQuietS, idle_sum = 0;
  int samples = 0;
  for (double time = 8; time < kEndS; time += kSampleS) {
    for (; quiet_at < time; quiet_at += gap(random) / kQuietRate) submit(static_cast<int>(random() % kTeams));
    // Two bursts, of one team and then of another.
    for (; burst_at < time && burst_at < kQuietS + 2 * kBurstS; burst_at += gap(random) / kBurstRate)
      submit(burst_at < kQuietS + kBurstS ? 0 : 1);
    cluster.run_until(time);
    const int leader = cluster.leader();
    if (leader < 0) continue;
    ++samples;
    const auto& lessor = cluster.controller(leader)->quota_leases().lessor();
    idle_sum += static_cast<double>(lessor.idle_while_claimed().cpus) / 1000 / (kTeams * kLimit);
    window.emplace_back(cluster.jobs_granted(), next);
    if (window.size() > kWindowSamples) window.pop_front();
    const auto granted = static_cast<double>(window.back().first - window.front().first);
    const auto came = static_cast<double>(window.back().second - window.front().second);
    const double followers = static_cast<double>(controllers - 1) / controllers;
    if (on && result.moved_s < 0 && time > kQuietS + kBurstS + 1 && granted >= 0.5 * followers * came)
      result.moved_s = time - kQuietS - kBurstS;
  }
  cluster.run_until(kEndS + 30);
  const auto counts = grant_waits(cluster, controllers);
  for (const auto& [edge, count] : counts) result.jobs += count;
  result.at_once = static_cast<double>(cluster.jobs_granted()) / std::max(1.0, result.jobs);
  result.p50 = quantile(counts, 0.5);
  result.p95 = quantile(counts, 0.95);
  result.lease_writes = static_cast<double>(cluster.store().changes("q/"));
  result.all_writes = static_cast<double>(cluster.store().changes(""));
  result.idle = idle_sum / std::max(1, samples);
  for (const auto& [id, at] : submitted)
    if (cluster.first_run.contains(id))
      result.first_start += (cluster.first_run.at(id) - at) / static_cast<double>(next);
  for (const auto& [rule, what] : cluster.checker.broken())
    std::printf("rule broken: %s %s\n", rule.c_str(), what.c_str());
  return result;
}

void print(int controllers, std::uint64_t seed, bool on) {
  const auto r = measure(controllers, seed, on);
  std::printf(
      "controllers %d seed %llu switch %-3s jobs %5.0f granted at once %5.1f%% wait p50 <= %.4f p95 <= %.4f "
      "s, "
      "lease writes %4.0f of %5.0f (%.3f a job), idle while wanted %.2f%%, moved demand %.2f s, first start "
      "%.2f s\n",
      controllers, static_cast<unsigned long long>(seed), on ? "on" : "off", r.jobs, 100 * r.at_once, r.p50,
      r.p95, r.lease_writes, r.all_writes, r.lease_writes / std::max(1.0, r.jobs), 100 * r.idle, r.moved_s,
      r.first_start);
  std::fflush(stdout);
}

}  // namespace
}  // namespace robinford::simulation

int main(int argc, char** argv) {
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(level == nullptr ? spdlog::level::off : spdlog::level::from_str(level));
  std::vector<int> sizes;
  for (int i = 1; i < argc; ++i) sizes.push_back(std::atoi(argv[i]));
  if (sizes.empty()) sizes = {3, 5, 9};
  for (const int size : sizes)
    for (const std::uint64_t seed : {1, 2, 3})
      for (const bool on : {false, true}) robinford::simulation::print(size, seed, on);
  return 0;
}
