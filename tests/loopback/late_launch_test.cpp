// Late copies of direct launches in real processes on loopback: a proxy delivers them once more to a worker
// that was back in a moment while the cloud was down.
#include <gtest/gtest.h>

#include "loopback/history.hpp"
#include "loopback/site.hpp"

namespace robinford::loopback {
namespace {

constexpr std::uint64_t kRunning = 1, kCancelled = 2, kEnded = 3;
constexpr int kWorkers = 3;

SiteOptions site_options() {
  SiteOptions options;
  options.workers = kWorkers;
  options.worker_cpus = 4;
  options.heartbeat_interval_s = 1;
  options.lease_s = 20;
  options.cancel_s = 8;
  options.start_objective_s = 4;
  options.teams = {{"red", {64, 64}}};
  return options;
}

protocol::JobSpec array_job(std::uint64_t id, std::uint32_t tasks, double run_s) {
  protocol::JobSpec spec;
  spec.id = id;
  spec.team = "red";
  spec.job_class = "plain";
  spec.image = "img-1";
  spec.tasks = tasks;
  spec.cpus = 1;
  spec.memory_gb = 1;
  spec.estimate_s = run_s;
  return spec;
}

void repeat_launches_to_all(Site& site) {
  for (int worker = 0; worker < kWorkers; ++worker) site.repeat_launches(worker);
}

std::size_t launches_seen(const Site& site) {
  std::size_t launches = 0;
  for (int worker = 0; worker < kWorkers; ++worker) launches += site.launches_seen(worker);
  return launches;
}

enum class Leader { kKept, kBackWithinASecond, kReplaced };
enum class Worker { kKept, kBackOnce, kBackOften, kPastItsLease };
enum class Cloud { kUp, kDown };

struct Combination {
  Leader leader;
  Worker worker;
  Cloud cloud;
};

constexpr const char* kLeaderNames[] = {"kept", "back within a second", "replaced"};
constexpr const char* kWorkerNames[] = {"kept", "back once", "back often", "past its lease"};
constexpr const char* kCloudNames[] = {"up", "down"};

std::string text(const Combination& c) {
  return std::string("leader ") + kLeaderNames[static_cast<int>(c.leader)] + ", worker " +
         kWorkerNames[static_cast<int>(c.worker)] + ", cloud " + kCloudNames[static_cast<int>(c.cloud)];
}

void leader_trouble(Site& site, Leader leader) {
  if (leader == Leader::kKept) return;
  site.restart(site.leader(), leader == Leader::kReplaced ? 40 : 0.5);
  ASSERT_TRUE(site.run_until_led(20));
  site.run(2);
}

void play(const Combination& c) {
  SCOPED_TRACE(text(c));
  Site site(site_options());
  ASSERT_TRUE(site.run_until_led(20)) << "no controller leads";
  site.run(4);
  site.submit(0, array_job(kRunning, 5, 35));
  site.submit(1, array_job(kCancelled, 4, 60));
  site.submit(2, array_job(kEnded, 2, 0.5));
  ASSERT_TRUE(site.run(20, [&] { return site.on_a_worker(kRunning) && site.on_a_worker(kCancelled); }));
  site.run(2);
  EXPECT_GT(launches_seen(site), 0U) << "no launch was direct";
  site.cancel(kCancelled);
  ASSERT_TRUE(site.run(8, [&] { return site.cancelled(kCancelled) && !site.on_a_worker(kCancelled); }));
  site.set_cloud_up(c.cloud == Cloud::kUp);
  leader_trouble(site, c.leader);
  if (c.worker == Worker::kBackOnce) site.reset_worker(0);
  if (c.worker == Worker::kPastItsLease) site.silence_worker(0, site_options().lease_s + 2);
  for (const double pause_s : {1.0, 5.0, 12.0, 8.0}) {
    if (c.worker == Worker::kBackOften) site.reset_worker(0);
    site.run(pause_s);
    repeat_launches_to_all(site);
  }
  site.run(1);
  site.set_cloud_up(true);
  EXPECT_TRUE(site.run(90, [&] { return site.all_done(); })) << site.unfinished() << " jobs are left";
  site.run(1);
  const auto findings = check(site.history());
  for (const auto& violation : findings.violations) ADD_FAILURE() << violation;
}

// CI plays two combinations; the variable asks for the one with this number, or for all.
std::vector<Combination> combinations_to_play() {
  const char* requested = std::getenv("ROBINFORD_LATE_LAUNCH");
  if (requested == nullptr)
    return {{Leader::kKept, Worker::kBackOnce, Cloud::kDown},
            {Leader::kBackWithinASecond, Worker::kBackOnce, Cloud::kDown}};
  std::vector<Combination> all;
  for (const auto leader : {Leader::kKept, Leader::kBackWithinASecond, Leader::kReplaced})
    for (const auto worker : {Worker::kKept, Worker::kBackOnce, Worker::kBackOften, Worker::kPastItsLease})
      for (const auto cloud : {Cloud::kUp, Cloud::kDown}) all.push_back({leader, worker, cloud});
  return std::string(requested) == "all" ? all : std::vector{all.at(std::stoul(requested))};
}

// Guards against a task that runs on two workers at once, and against one that starts after its job's
// confirmed cancellation, by a copy of a launch that was carried out and answered before.
TEST(LateLaunches, CopiesStartNothing) {
  for (const auto& combination : combinations_to_play()) play(combination);
}

}  // namespace
}  // namespace robinford::loopback
