// Late copies of direct launches in real processes on loopback: a proxy delivers them once more to a worker
// that was back in a moment while the cloud was down.
#include <gtest/gtest.h>

#include "loopback/history.hpp"
#include "loopback/site.hpp"

namespace robinford::loopback {
namespace {

constexpr std::uint64_t kRunning = 1, kCancelled = 2;
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

enum class Leader { kKept, kBackWithinASecond };

void play(Leader leader) {
  Site site(site_options());
  ASSERT_TRUE(site.run_until_led(20)) << "no controller leads";
  site.run(4);
  site.submit(0, array_job(kRunning, 5, 35));
  site.submit(1, array_job(kCancelled, 4, 60));
  ASSERT_TRUE(site.run(20, [&] { return site.on_a_worker(kRunning) && site.on_a_worker(kCancelled); }));
  site.run(2);
  EXPECT_GT(launches_seen(site), 0U) << "no launch was direct";
  site.cancel(kCancelled);
  ASSERT_TRUE(site.run(8, [&] { return site.cancelled(kCancelled) && !site.on_a_worker(kCancelled); }));
  if (leader == Leader::kBackWithinASecond) {
    site.restart(site.leader(), 0.5);
    ASSERT_TRUE(site.run_until_led(20));
    site.run(2);
  }
  site.reset_worker(0);
  for (const double pause_s : {1.0, 5.0, 12.0}) {
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

// Guards against a task that runs on two workers at once, and against one that starts after its job's
// confirmed cancellation, by a copy of a launch that was carried out and answered before.
TEST(LateLaunches, StartNothingOnAWorkerThatIsBack) { play(Leader::kKept); }
TEST(LateLaunches, StartNothingAlsoAfterAFailover) { play(Leader::kBackWithinASecond); }

}  // namespace
}  // namespace robinford::loopback
