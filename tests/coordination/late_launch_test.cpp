// Late copies of direct launches, in virtual time: each combination of what the leader, the worker, the task
// and the cloud go through between a launch and its copies.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <set>

#include "simulated_cluster.hpp"

namespace robinford::simulation {
namespace {

enum class Leader { kKept, kBackWithinASecond, kReplaced };
enum class Sender { kLeader, kOtherController };
enum class Worker { kKept, kBackOnce, kBackOften, kPastItsLease };
enum class Task { kRunning, kEnded, kMoved, kCancelled };
enum class Cloud { kUp, kDown };

struct Combination {
  Leader leader;
  Sender sender;
  Worker worker;
  Task task;
  Cloud cloud;
};

constexpr const char* kLeaderNames[] = {"LeaderKept", "LeaderBack", "LeaderReplaced"};
constexpr const char* kSenderNames[] = {"SentByLeader", "SentByOther"};
constexpr const char* kWorkerNames[] = {"WorkerKept", "WorkerBackOnce", "WorkerBackOften", "WorkerPastLease"};
constexpr const char* kTaskNames[] = {"TaskRunning", "TaskEnded", "TaskMoved", "TaskCancelled"};
constexpr const char* kCloudNames[] = {"CloudUp", "CloudDown"};

std::string name_of(const Combination& c) {
  return std::string(kLeaderNames[static_cast<int>(c.leader)]) + kSenderNames[static_cast<int>(c.sender)] +
         kWorkerNames[static_cast<int>(c.worker)] + kTaskNames[static_cast<int>(c.task)] +
         kCloudNames[static_cast<int>(c.cloud)];
}

std::vector<Combination> all_combinations() {
  std::vector<Combination> all;
  for (const auto leader : {Leader::kKept, Leader::kBackWithinASecond, Leader::kReplaced})
    for (const auto sender : {Sender::kLeader, Sender::kOtherController})
      for (const auto worker : {Worker::kKept, Worker::kBackOnce, Worker::kBackOften, Worker::kPastItsLease})
        for (const auto task : {Task::kRunning, Task::kEnded, Task::kMoved, Task::kCancelled})
          for (const auto cloud : {Cloud::kUp, Cloud::kDown})
            all.push_back({leader, sender, worker, task, cloud});
  return all;
}

constexpr protocol::JobId kJob = 1, kUrgent = 2;
constexpr double kPeersCutAt = 4, kPeersBackAt = 19, kSubmitAt = 8, kMoveAt = 17, kCancelAt = 18,
                 kCloudDownAt = 19.5, kTroubleAt = 20;
constexpr double kCloudDownForS = 28;
constexpr double kLeaseS = 30, kCancelS = 12;
constexpr double kCopiesAt[] = {21, 25.5, 38, 55};  // the last of a job's tasks may be gone by 30
constexpr double kResetsAt[] = {20, 22, 24, 29};
constexpr double kEnd = 200;

Options site() {
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
  options.lease_s = kLeaseS;
  options.cancel_s = kCancelS;
  options.fetch_s = 0.05;
  options.teams = {{"red", {64, 64}}};
  options.types = {type};
  options.policy = "return { idle_return_s = 400 }";
  options.objectives = {{"wait", "plain", 8, 0.9, 1}};  // short, so that launches are direct
  return options;
}

protocol::JobSpec array_job(Task task) {
  protocol::JobSpec spec;
  spec.id = kJob;
  spec.team = "red";
  spec.job_class = "plain";
  spec.image = "img-1";
  spec.tasks = 20;
  spec.cpus = 1;
  spec.memory_gb = 1;
  spec.estimate_s = task == Task::kEnded ? 2 : 60;
  return spec;
}

protocol::JobSpec urgent_gang() {
  auto spec = array_job(Task::kEnded);
  spec.id = kUrgent;
  spec.gang = true;
  spec.priority = protocol::Priority::kHigh;
  spec.tasks = 2;
  spec.cpus = 15;
  return spec;
}

void leader_trouble(SimulatedCluster& cluster, Leader leader) {
  if (leader == Leader::kBackWithinASecond) cluster.crash(cluster.leader(), 0.4);
  if (leader == Leader::kReplaced) cluster.crash(cluster.leader(), 60);
}

void worker_trouble(SimulatedCluster& cluster, Worker worker, double now) {
  for (int i = 0; i < 2; ++i) {
    const auto machine = cluster.nth_machine(i);
    const bool back = worker == Worker::kBackOften || (worker == Worker::kBackOnce && now == kTroubleAt);
    if (back) cluster.reset_agent(machine);
    if (worker != Worker::kPastItsLease || now != kTroubleAt) continue;
    cluster.lose_inbound(machine, kLeaseS + 4);
    cluster.lose_outbound(machine, kLeaseS + 4);
  }
}

class LateLaunch : public ::testing::TestWithParam<Combination> {};

// Guards against a task that runs on two machines at once, and against one that starts after its job's
// confirmed cancellation, when a copy of a launch that was carried out reaches a worker that was back in a
// moment.
TEST_P(LateLaunch, CopiesStartNothing) {
  const Combination c = GetParam();
  SimulatedCluster cluster(site());
  cluster.machines(2, "big", "a", false);
  struct Step {
    double at;
    std::function<void()> act;
  };
  std::vector<Step> steps{{kSubmitAt, [&] { cluster.submit(array_job(c.task)); }}};
  if (c.sender == Sender::kLeader)
    steps.push_back(
        {kPeersCutAt, [&] {
           for (const auto& [a, b] :
                {std::pair("node-0", "node-1"), std::pair("node-0", "node-2"), std::pair("node-1", "node-2")})
             cluster.cut(a, b, kPeersBackAt - kPeersCutAt, false);
         }});
  if (c.task == Task::kMoved) steps.push_back({kMoveAt, [&] { cluster.submit(urgent_gang()); }});
  if (c.task == Task::kCancelled) steps.push_back({kCancelAt, [&] { cluster.cancel(kJob); }});
  if (c.cloud == Cloud::kDown) steps.push_back({kCloudDownAt, [&] { cluster.cloud_outage(kCloudDownForS); }});
  steps.push_back({kTroubleAt, [&] { leader_trouble(cluster, c.leader); }});
  for (const double at : kResetsAt) steps.push_back({at, [&, at] { worker_trouble(cluster, c.worker, at); }});
  for (const double at : kCopiesAt)
    steps.push_back({at, [&] {
                       for (int i = 0; i < 2; ++i) cluster.repeat_launches(cluster.nth_machine(i));
                     }});
  steps.push_back({kTroubleAt - 0.1, [&] {
                     const bool by_leader = cluster.launch_senders() == std::set{cluster.leader()};
                     EXPECT_FALSE(cluster.launch_senders().empty()) << "no launch was direct";
                     EXPECT_EQ(by_leader, c.sender == Sender::kLeader);
                   }});
  std::stable_sort(steps.begin(), steps.end(), [](const Step& a, const Step& b) { return a.at < b.at; });
  for (const auto& step : steps) {
    cluster.run_until(step.at);
    step.act();
    cluster.checker.fault_until(step.at);
  }
  cluster.run_until(kEnd);
  EXPECT_EQ(cluster.last_state[kJob], c.task == Task::kCancelled ? "withdrawn" : "done");
  for (const auto& [rule, what] : cluster.checker.broken()) ADD_FAILURE() << rule << " " << what;
}

INSTANTIATE_TEST_SUITE_P(Copies, LateLaunch, ::testing::ValuesIn(all_combinations()),
                         [](const auto& info) { return name_of(info.param); });

}  // namespace
}  // namespace robinford::simulation
