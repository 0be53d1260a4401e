// Workers that list several attempts of a task, in any order: a job whose tasks have completed is called done
// in time, and none of its tasks is launched again.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <functional>
#include <string>
#include <vector>

#include "simulated_cluster.hpp"

namespace robinford::simulation {
namespace {

constexpr protocol::JobId kJob = 1, kFirstUrgent = 10;
constexpr double kDoneWithinS = 3;  // from the end of the last task, by the protocol
constexpr double kPatienceS = 90;
constexpr double kStepS = 0.1;

enum class Leader { kKept, kReplaced, kReplacedAtTheEnd };
enum class Shape { kArray, kGang };

struct Combination {
  Shape shape;
  int attempts;  // of each task, by preemptions, which stop arrays only
  int earlier;   // exited attempts that workers list beside each of these
  ListOrder order;
  Leader leader;
};

std::string name_of(const Combination& c) {
  constexpr const char* kOrders[] = {"ByTask", "OldestFirst", "NewestFirst", "Mixed"};
  constexpr const char* kLeaders[] = {"LeaderKept", "LeaderReplaced", "LeaderReplacedAtTheEnd"};
  return std::string(c.shape == Shape::kArray ? "Array" : "Gang") + std::to_string(c.attempts) + "Attempts" +
         std::to_string(c.earlier) + "Earlier" + kOrders[static_cast<int>(c.order)] +
         kLeaders[static_cast<int>(c.leader)];
}

std::vector<Combination> all_combinations() {
  std::vector<Combination> all;
  for (const auto order : {ListOrder::kOldestFirst, ListOrder::kNewestFirst, ListOrder::kMixed})
    for (const auto leader : {Leader::kKept, Leader::kReplaced, Leader::kReplacedAtTheEnd}) {
      for (const int attempts : {2, 3, 5})
        for (const int earlier : {0, 2}) all.push_back({Shape::kArray, attempts, earlier, order, leader});
      for (const int earlier : {1, 2, 4}) all.push_back({Shape::kGang, 1, earlier, order, leader});
    }
  return all;
}

Options site(ListOrder order) {
  protocol::MachineType type;
  type.name = "big";
  type.cpus = 16;
  type.memory_gb = 64;
  type.price = 1;
  type.spot_price = 1;
  type.boot_s = 5;
  type.cache_gb = 50;
  type.fetch_gb_per_s = 1;
  Options options;
  options.heartbeat_interval_s = 3;
  options.lease_s = 30;
  options.cancel_s = 45;
  options.fetch_s = 0.05;
  options.teams = {{"red", {64, 64}}, {"blue", {64, 64}}};
  options.types = {type};
  options.policy = "return { idle_return_s = 400 }";
  options.objectives = {{"wait", "plain", 8, 0.9, 1}};  // short, so that launches are direct
  options.list_order = order;
  return options;
}

protocol::JobSpec job(protocol::JobId id, const char* team, std::uint32_t tasks, double cpus, double run_s) {
  protocol::JobSpec spec;
  spec.id = id;
  spec.team = team;
  spec.job_class = "plain";
  spec.image = "img-1";
  spec.tasks = tasks;
  spec.cpus = cpus;
  spec.memory_gb = cpus;
  spec.estimate_s = run_s;
  return spec;
}

protocol::JobSpec urgent_gang(protocol::JobId id) {
  auto spec = job(id, "blue", 1, 15, 4);
  spec.gang = true;
  spec.priority = protocol::Priority::kProduction;
  return spec;
}

// Runs the cluster until the condition holds. Returns whether it does before the patience is over.
bool run_to(SimulatedCluster& cluster, const std::function<bool()>& condition) {
  const double end = cluster.now() + kPatienceS;
  while (!condition() && cluster.now() < end) cluster.run_until(cluster.now() + kStepS);
  return condition();
}

bool on_machines(SimulatedCluster& cluster, const protocol::JobSpec& spec) {
  return cluster.checker.tasks_on_machines()[spec.id] == spec.tasks;
}

void replace_leader(SimulatedCluster& cluster) {
  cluster.crash(cluster.leader(), 60);
  cluster.checker.fault_until(cluster.now());
  EXPECT_TRUE(run_to(cluster, [&] { return cluster.leader() >= 0; }));
}

// Runs the job, and stops it for an urgent gang until each task has had as many attempts as wanted.
void run_through_preemptions(SimulatedCluster& cluster, const protocol::JobSpec& spec, int attempts) {
  cluster.submit(spec);
  for (int attempt = 1; attempt < attempts; ++attempt) {
    ASSERT_TRUE(run_to(cluster, [&] { return on_machines(cluster, spec); })) << "attempt " << attempt;
    cluster.run_until(cluster.now() + 1);
    const auto urgent = kFirstUrgent + static_cast<protocol::JobId>(attempt);
    cluster.submit(urgent_gang(urgent));
    ASSERT_TRUE(run_to(cluster, [&] { return cluster.completed_at.contains(urgent); }));
  }
  ASSERT_TRUE(run_to(cluster, [&] { return on_machines(cluster, spec); }));
}

void expect_done_in_time(SimulatedCluster& cluster, protocol::JobId id) {
  ASSERT_TRUE(run_to(cluster, [&] { return cluster.completed_at.contains(id); }))
      << "its tasks don't complete";
  cluster.polls_storm(kPatienceS);
  run_to(cluster, [&] { return cluster.finished_at.contains(id); });
  ASSERT_TRUE(cluster.finished_at.contains(id)) << "never called done";
  EXPECT_LE(cluster.finished_at[id], cluster.completed_at[id] + kDoneWithinS);
}

void expect_no_breach(const SimulatedCluster& cluster) {
  for (const auto& [rule, what] : cluster.checker.broken()) ADD_FAILURE() << rule << " " << what;
}

class ListedAttempts : public ::testing::TestWithParam<Combination> {};

// Guards against a job that is never called done, and whose completed tasks are launched again and again,
// because the worker lists an earlier attempt of a task behind the one that completed.
TEST_P(ListedAttempts, ACompletedJobIsCalledDone) {
  const Combination c = GetParam();
  auto options = site(c.order);
  options.listed_earlier_attempts = c.earlier;
  options.capacity = c.shape == Shape::kArray ? 0 : 20;
  SimulatedCluster cluster(options);
  cluster.machines(c.shape == Shape::kArray ? 1 : 2, "big", "a", false);
  cluster.run_until(8);
  auto spec = c.shape == Shape::kArray ? job(kJob, "red", 6, 2, 10) : job(kJob, "red", 2, 15, 10);
  spec.gang = c.shape == Shape::kGang;
  run_through_preemptions(cluster, spec, c.attempts);
  ASSERT_FALSE(HasFatalFailure());
  EXPECT_FALSE(cluster.launch_senders().empty()) << "no launch was direct";
  if (c.leader == Leader::kReplaced) replace_leader(cluster);
  if (c.leader == Leader::kReplacedAtTheEnd) {
    ASSERT_TRUE(run_to(cluster, [&] { return cluster.completed_at.contains(kJob); }));
    replace_leader(cluster);
    EXPECT_TRUE(run_to(cluster, [&] { return cluster.finished_at.contains(kJob); })) << "never called done";
  } else {
    expect_done_in_time(cluster, kJob);
  }
  cluster.run_until(cluster.now() + kPatienceS);
  EXPECT_EQ(cluster.launches_after_result, 0);
  expect_no_breach(cluster);
}

INSTANTIATE_TEST_SUITE_P(Shapes, ListedAttempts, ::testing::ValuesIn(all_combinations()),
                         [](const auto& info) { return name_of(info.param); });

// Guards against a result that is overlooked because a newer attempt of the task, which has not completed, is
// listed beside it.
TEST(ListedResults, ACompletedAttemptBesideANewerOneIsTheResult) {
  for (const auto order : {ListOrder::kOldestFirst, ListOrder::kNewestFirst, ListOrder::kMixed})
    for (const bool gang : {false, true}) {
      SCOPED_TRACE(std::string(gang ? "gang" : "array") + ", order " +
                   std::to_string(static_cast<int>(order)));
      SimulatedCluster cluster(site(order));
      cluster.machines(2, "big", "a", false);
      cluster.run_until(8);
      auto spec = job(kJob, "red", 3, 4, 60);
      spec.gang = gang;
      cluster.submit(spec);
      ASSERT_TRUE(run_to(cluster, [&] { return on_machines(cluster, spec); }));
      for (std::uint32_t index = 0; index < spec.tasks; ++index)
        cluster.complete_earlier_attempt({kJob, index});
      expect_done_in_time(cluster, kJob);
      cluster.run_until(cluster.now() + kPatienceS);
      EXPECT_EQ(cluster.launches_after_result, 0);
      expect_no_breach(cluster);
    }
}

// Guards against a result that is overlooked, and a task that is launched again, because a newer attempt of
// it is listed as ended otherwise in the same list.
TEST(ListedResults, ACompletedAttemptBesideANewerOneThatEndedOtherwiseIsTheResult) {
  using protocol::ExitReason;
  for (const auto reason :
       {ExitReason::kStopped, ExitReason::kError, ExitReason::kPeers, ExitReason::kUnknown})
    for (const auto order : {ListOrder::kOldestFirst, ListOrder::kNewestFirst, ListOrder::kMixed})
      for (const bool gang : {false, true}) {
        SCOPED_TRACE(std::string(gang ? "gang, " : "array, ") + protocol::to_text(reason) + ", order " +
                     std::to_string(static_cast<int>(order)));
        SimulatedCluster cluster(site(order));
        cluster.machines(2, "big", "a", false);
        cluster.run_until(8);
        auto spec = job(kJob, "red", 3, 4, 60);
        spec.gang = gang;
        cluster.submit(spec);
        ASSERT_TRUE(run_to(cluster, [&] { return on_machines(cluster, spec); }));
        for (std::uint32_t index = 0; index < spec.tasks; ++index) {
          cluster.complete_earlier_attempt({kJob, index});
          cluster.end_attempt({kJob, index}, reason);
        }
        expect_done_in_time(cluster, kJob);
        cluster.run_until(cluster.now() + kPatienceS);
        EXPECT_EQ(cluster.launches_after_result, 0);
        expect_no_breach(cluster);
      }
}

// Guards against a task that goes on beside its own result and keeps room from the array's other tasks.
TEST(ListedResults, AnAttemptIsStoppedOnceAnotherOneHasCompleted) {
  SimulatedCluster cluster(site(ListOrder::kNewestFirst));
  cluster.machines(1, "big", "a", false);
  cluster.run_until(8);
  const auto spec = job(kJob, "red", 2, 4, 60);
  cluster.submit(spec);
  ASSERT_TRUE(run_to(cluster, [&] { return on_machines(cluster, spec); }));
  cluster.complete_earlier_attempt({kJob, 0});
  cluster.run_until(cluster.now() + kDoneWithinS);
  EXPECT_EQ(cluster.checker.tasks_on_machines()[kJob], 1U);
  ASSERT_TRUE(run_to(cluster, [&] { return cluster.completed_at.contains(kJob); }));
  expect_done_in_time(cluster, kJob);
  EXPECT_EQ(cluster.launches_of({kJob, 0}), 1);
  expect_no_breach(cluster);
}

struct Day {
  std::uint64_t seed;
  int machines;
  int earlier;
  std::uint32_t tasks;
  double run_s;
  bool direct;
  bool leader_ends;
};

struct Digest {
  std::string of_outbox;
  int array_launches = 0;
};

// The bytes that all controllers send in a day on few machines: an array that is stopped for urgent gangs, a
// gang, a cancellation and, as drawn, a change of leader.
Digest digest_of(const Day& day, ListOrder order) {
  auto options = site(order);
  options.seed = day.seed;
  options.listed_earlier_attempts = day.earlier;
  options.capacity = 0;
  options.digest = true;
  if (!day.direct) options.objectives.clear();
  SimulatedCluster cluster(options);
  cluster.machines(day.machines, "big", "a", false);
  cluster.run_until(8);
  cluster.submit(job(kJob, "red", day.tasks, 2, day.run_s));
  for (int i = 0; i < 3; ++i) {
    cluster.run_until(11 + 14 * i);
    for (int machine = 0; machine < day.machines; ++machine)
      cluster.submit(urgent_gang(kFirstUrgent + static_cast<protocol::JobId>(10 * i + machine)));
  }
  cluster.run_until(45);
  if (day.leader_ends) cluster.crash(cluster.leader(), 5);
  cluster.run_until(60);
  auto gang = job(kJob + 1, "red", 2, 2, 10);
  gang.gang = true;
  cluster.submit(gang);
  cluster.submit(job(kJob + 2, "blue", 2, 2, 40));
  cluster.run_until(70);
  cluster.cancel(kJob + 2);
  cluster.run_until(100);
  Digest digest{cluster.outbox_digest().text(), 0};
  for (std::uint32_t index = 0; index < day.tasks; ++index)
    digest.array_launches += cluster.launches_of({kJob, index});
  return digest;
}

// Whatever the order in which workers list their tasks, and however often they repeat an entry, the
// controllers send the same bytes at the same times.
TEST(ListedResults, AnyOrderOfTheListsGivesTheSameDecisions) {
  int days_with_repeats = 0;
  const bool held = rc::check("any order of the lists gives the same decisions", [&days_with_repeats] {
    Day day{};
    day.seed = *rc::gen::arbitrary<std::uint64_t>();
    day.machines = 1 + static_cast<int>(day.seed % 2);
    day.earlier = *rc::gen::element(0, 1, 3);
    day.tasks = *rc::gen::element(1U, 4U, 7U, 12U);
    day.run_s = *rc::gen::element(5.0, 8.0, 11.0);
    day.direct = *rc::gen::element(true, true, false);
    day.leader_ends = *rc::gen::arbitrary<bool>();
    const auto by_task = digest_of(day, ListOrder::kByTask);
    if (by_task.array_launches > static_cast<int>(day.tasks)) ++days_with_repeats;
    for (const auto order : {ListOrder::kNewestFirst, ListOrder::kMixed})
      RC_ASSERT(digest_of(day, order).of_outbox == by_task.of_outbox);
  });
  EXPECT_NE(digest_of({1, 1, 0, 2, 5, true, false}, ListOrder::kByTask).of_outbox,
            digest_of({2, 1, 0, 3, 5, true, false}, ListOrder::kByTask).of_outbox)
      << "the digests tell nothing apart";
  EXPECT_GT(days_with_repeats, 0) << "no task was launched twice, so the lists were short";
  EXPECT_TRUE(held);
}

}  // namespace
}  // namespace robinford::simulation
