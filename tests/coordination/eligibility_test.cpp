// Jobs and the machines that they can run on: after losses, and where the cloud has no machine that fits.
#include "coordination/scheduling/eligibility.hpp"

#include <gtest/gtest.h>

#include "bookkeeping/job.hpp"
#include "simulated_cluster.hpp"

namespace robinford::simulation {
namespace {

constexpr protocol::JobId kGang = 1, kOther = 2;
constexpr double kLostAt = 25;
constexpr double kLeaseS = 12;
constexpr double kLeftWaitingS = 90;  // the rule's bound, from the end of the lost machine's lease
constexpr double kRunS = 20;

protocol::MachineType big_machine() {
  protocol::MachineType type;
  type.name = "big";
  type.cpus = 16;
  type.memory_gb = 64;
  type.price = 1;
  type.spot_price = 0.4;
  type.boot_s = 5;
  type.cache_gb = 50;
  type.fetch_gb_per_s = 1;
  return type;
}

Options site(std::vector<std::string> zones) {
  Options options;
  options.heartbeat_interval_s = 2;
  options.lease_s = kLeaseS;
  options.zones = std::move(zones);
  options.teams = {{"red", {64, 200}}, {"blue", {64, 200}}};
  options.types = {big_machine()};
  return options;
}

protocol::JobSpec job(protocol::JobId id, const char* team, std::uint32_t tasks, double cpus) {
  protocol::JobSpec spec;
  spec.id = id;
  spec.team = team;
  spec.job_class = "plain";
  spec.image = "img-1";
  spec.tasks = tasks;
  spec.cpus = cpus;
  spec.memory_gb = cpus;
  spec.estimate_s = kRunS;
  return spec;
}

protocol::JobSpec gang(std::uint32_t tasks, double cpus) {
  auto spec = job(kGang, "red", tasks, cpus);
  spec.gang = true;
  spec.priority = protocol::Priority::kHigh;
  return spec;
}

bool done(SimulatedCluster& cluster, protocol::JobId id) { return cluster.last_state[id] == "done"; }

void expect_no_breach(const SimulatedCluster& cluster) {
  for (const auto& [rule, what] : cluster.checker.broken()) ADD_FAILURE() << rule << " " << what;
}

struct GangCase {
  std::uint32_t tasks;
  double cpus;
  std::vector<std::string> zones;
  bool with_arrays;
  std::uint32_t lost_task;
};

void run_gang_that_loses_a_machine(const GangCase& shape) {
  SCOPED_TRACE(std::to_string(shape.tasks) + " tasks of " + std::to_string(shape.cpus) + " cpus, " +
               std::to_string(shape.zones.size()) + " zones, task " + std::to_string(shape.lost_task) +
               (shape.with_arrays ? " lost, beside arrays" : " lost"));
  SimulatedCluster cluster(site(shape.zones));
  auto spec = gang(shape.tasks, shape.cpus);
  spec.spread = true;
  cluster.run_until(3);
  cluster.submit(spec);
  for (double at = 5; shape.with_arrays && at < kLostAt + kLeaseS + kLeftWaitingS; at += 10) {
    cluster.run_until(at);
    auto array = job(static_cast<protocol::JobId>(at) + 100, "blue", 2, 2);
    array.estimate_s = 12;
    cluster.submit(array);
    if (at == kLostAt) cluster.die(cluster.machine_of({kGang, shape.lost_task}));
  }
  cluster.run_until(kLostAt);
  if (!shape.with_arrays) cluster.die(cluster.machine_of({kGang, shape.lost_task}));
  cluster.checker.fault_until(kLostAt + kLeaseS);
  cluster.run_until(kLostAt + kLeaseS + kLeftWaitingS + kRunS);
  EXPECT_TRUE(done(cluster, kGang));
  expect_no_breach(cluster);
}

// Guards against a gang with `spread` that is never run again once it lost a machine: a machine in one zone
// was counted, kept and claimed as capacity for all its tasks, and none was provisioned in another zone.
TEST(Eligibility, AGangWithSpreadRunsAgainAfterTheLossOfAMachine) {
  for (const bool with_arrays : {false, true})
    for (const std::uint32_t tasks : {2U, 3U, 5U})
      for (const double cpus : {2.0, 15.0})
        for (const std::uint32_t lost_task : {0U, tasks - 1}) {
          run_gang_that_loses_a_machine({tasks, cpus, {"a", "b"}, with_arrays, lost_task});
          run_gang_that_loses_a_machine({tasks, cpus, {"a", "b", "c"}, with_arrays, lost_task});
        }
}

// Guards against machines in one zone that are provisioned, found unfit and returned again and again.
TEST(Eligibility, AGangWithSpreadStartsOnAnEmptyFleet) {
  for (const std::uint32_t tasks : {2U, 3U, 4U}) {
    SimulatedCluster cluster(site({"a", "b"}));
    auto spec = gang(tasks, 2);
    spec.spread = true;
    cluster.run_until(3);
    cluster.submit(spec);
    cluster.run_until(kLeftWaitingS);
    EXPECT_TRUE(done(cluster, kGang)) << tasks << " tasks";
    EXPECT_LE(cluster.machines_up(), 2);
    expect_no_breach(cluster);
  }
}

// Guards against a gang that waits where the cloud has no machine for it and keeps other work off the
// machines that are left, and against a wait without a reason.
TEST(Eligibility, AGangWithoutMachinesToBeHadKeepsNothingFromOthersAndSaysWhyItWaits) {
  SimulatedCluster cluster(site({"a", "b"}));
  auto spec = gang(2, 2);
  spec.spread = true;
  cluster.run_until(3);
  cluster.submit(spec);
  cluster.run_until(kLostAt);
  for (const char* zone : {"a", "b"}) cluster.set_zone_capacity(zone, 0);
  cluster.die(cluster.machine_of({kGang, 0}));
  constexpr protocol::JobId kFirstArray = 100;
  constexpr int kArrays = 12;
  for (int i = 0; i < kArrays; ++i) {
    cluster.run_until(kLostAt + 10 * i);
    auto array = job(kFirstArray + static_cast<protocol::JobId>(i), "blue", 2, 2);
    array.estimate_s = 12;
    cluster.submit(array);
    if (i == kArrays / 2) cluster.submit(job(kOther, "red", 4, 2));
  }
  const double refused_until = kLostAt + 10 * kArrays + kLeftWaitingS;
  cluster.run_until(refused_until);
  for (int i = 0; i < kArrays; ++i)
    EXPECT_TRUE(done(cluster, kFirstArray + static_cast<protocol::JobId>(i))) << "array " << i;
  EXPECT_TRUE(done(cluster, kOther)) << "an array of the same team waits beside capacity that fits";
  EXPECT_FALSE(done(cluster, kGang));
  EXPECT_NE(cluster.last_body[kGang].find("\"reason\":\"the cloud refuses the machines that it needs\""),
            std::string::npos)
      << cluster.last_body[kGang];
  EXPECT_NE(cluster.metrics_page(cluster.leader()).find(R"(jobs_waiting{reason="capacity_refused"} 1)"),
            std::string::npos);
  for (const char* zone : {"a", "b"}) cluster.set_zone_capacity(zone, 4);
  cluster.run_until(refused_until + kLeftWaitingS + kRunS);
  EXPECT_TRUE(done(cluster, kGang)) << "the gang doesn't get its turn once there are machines";
}

// Guards against an endless wait without a reason: no zone rule can be met with the zones that the cloud has.
TEST(Eligibility, AGangThatFitsNoOfferSaysSoAndRentsNothing) {
  SimulatedCluster cluster(site({"a"}));
  auto spec = gang(2, 2);
  spec.spread = true;
  cluster.run_until(3);
  cluster.submit(spec);
  cluster.run_until(60);
  EXPECT_NE(cluster.last_body[kGang].find("\"reason\":\"the cloud offers no machines"), std::string::npos)
      << cluster.last_body[kGang];
  EXPECT_NE(cluster.metrics_page(cluster.leader()).find(R"(jobs_waiting{reason="impossible"} 1)"),
            std::string::npos);
  EXPECT_EQ(cluster.machines_up(), 0);
  expect_no_breach(cluster);
}

// Guards against arrays that wait beside idle machines while gangs of their team need more machines than the
// cloud has: the team's limit was withheld for these gangs without an end.
TEST(Eligibility, GangsThatCannotBePlacedKeepNoQuotaFromArrays) {
  auto options = site({"a"});
  options.teams["red"] = {45, 135};
  options.capacity = 1;  // of each price model
  SimulatedCluster cluster(options);
  cluster.run_until(3);
  for (protocol::JobId id = 11; id < 14; ++id) {
    auto spec = gang(3, 15);
    spec.id = id;
    cluster.submit(spec);
  }
  cluster.submit(job(kOther, "red", 4, 2));
  cluster.run_until(3 + kLeftWaitingS + kRunS);
  EXPECT_TRUE(done(cluster, kOther));
  expect_no_breach(cluster);
}

// Guards against a gang that waits beside machines that it must not use: a machine that may list an earlier
// attempt was counted as capacity for it, so no other one was provisioned.
TEST(Eligibility, AGangBarredFromTheMachineThatLivedOnGetsAnotherOne) {
  auto options = site({"a", "b"});
  options.objectives = {{"wait", "plain", 8, 0.9, 1}};  // short, so that launches are direct
  for (const std::uint32_t tasks : {2U, 3U}) {
    SimulatedCluster cluster(options);
    cluster.run_until(3);
    cluster.submit(gang(tasks, 15));
    cluster.run_until(kLostAt);
    cluster.die(cluster.machine_of({kGang, 0}));
    cluster.checker.fault_until(kLostAt + kLeaseS);
    cluster.run_until(kLostAt + kLeaseS + kLeftWaitingS + kRunS);
    EXPECT_TRUE(done(cluster, kGang)) << tasks << " tasks";
    expect_no_breach(cluster);
  }
}

// The zone rules of gangs, as one function decides them for all who count capacity.
TEST(Eligibility, PlaceableTasksFollowTheZoneRules) {
  auto spec = gang(5, 1);
  using coordination::placeable_tasks;
  EXPECT_EQ(placeable_tasks(spec, {{"a", 4}, {"b", 4}}), 5U);
  EXPECT_EQ(placeable_tasks(spec, {{"a", 2}, {"b", 1}}), 3U);
  spec.spread = true;
  EXPECT_EQ(placeable_tasks(spec, {{"a", 100}}), 3U);
  EXPECT_EQ(placeable_tasks(spec, {{"a", 100}, {"b", 2}}), 5U);
  spec.tasks = 1;
  EXPECT_EQ(placeable_tasks(spec, {{"a", 1}}), 1U);
  spec.tasks = 5;
  spec.spread = false;
  spec.one_zone = true;
  EXPECT_EQ(placeable_tasks(spec, {{"a", 4}, {"b", 4}}), 4U);
}

}  // namespace
}  // namespace robinford::simulation
