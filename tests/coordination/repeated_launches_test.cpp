// Work that is repeated without progress is seen by operators and slows down.
#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <sstream>
#include <string>

#include "simulated_cluster.hpp"

namespace robinford::simulation {
namespace {

constexpr protocol::JobId kJob = 412;
constexpr double kSubmittedAt = 8;
constexpr double kObservedS = 30;
constexpr int kLaunchesMax = 6;  // of one task in that time; without a backoff there are dozens
constexpr double kLeftWaitingS = 90;

protocol::JobSpec job(bool gang) {
  protocol::JobSpec spec;
  spec.id = kJob;
  spec.team = "red";
  spec.job_class = "plain";
  spec.image = "img-1";
  spec.gang = gang;
  spec.tasks = 4;
  spec.cpus = 2;
  spec.memory_gb = 2;
  spec.estimate_s = 10;
  return spec;
}

Options site(bool direct) {
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
  options.heartbeat_interval_s = direct ? 3 : 1;
  options.lease_s = 30;
  options.cancel_s = 45;
  options.fetch_s = 0.05;
  options.teams = {{"red", {64, 64}}};
  options.types = {type};
  options.policy = "return { idle_return_s = 400 }";
  if (direct) options.objectives = {{"wait", "plain", 8, 0.9, 1}};
  return options;
}

// Collects log lines while it exists.
class LogLines {
 public:
  LogLines() { spdlog::default_logger()->sinks().push_back(sink_); }
  ~LogLines() { spdlog::default_logger()->sinks().pop_back(); }
  LogLines(const LogLines&) = delete;
  LogLines& operator=(const LogLines&) = delete;
  std::string text() const { return lines_.str(); }

 private:
  std::ostringstream lines_;
  std::shared_ptr<spdlog::sinks::sink> sink_ = std::make_shared<spdlog::sinks::ostream_sink_st>(lines_);
};

// Guards against tasks that are launched again and again, dozens of times within half a minute, without
// anybody seeing it.
TEST(RepeatedLaunches, AreReportedAndBackOff) {
  for (const bool gang : {false, true})
    for (const bool direct : {false, true}) {
      SCOPED_TRACE(std::string(gang ? "gang" : "array") + (direct ? ", direct" : ", in heartbeat answers"));
      const LogLines log;
      SimulatedCluster cluster(site(direct));
      cluster.machines(2, "big", "a", false);
      cluster.inject_violation("stops_at_once");
      cluster.run_until(kSubmittedAt);
      cluster.submit(job(gang));
      cluster.run_until(kSubmittedAt + kObservedS);
      EXPECT_GE(cluster.launches_of({kJob, 0}), 3);
      EXPECT_LE(cluster.launches_of({kJob, 0}), kLaunchesMax);
      EXPECT_NE(cluster.metrics_page(cluster.leader()).find("robinford_launches_repeated_total"),
                std::string::npos);
      EXPECT_NE(log.text().find("job j-000412: task 0 is launched for the 4th time in a row"),
                std::string::npos);
      cluster.inject_violation("");
      cluster.checker.fault_until(cluster.now());
      cluster.run_until(cluster.now() + kLeftWaitingS);
      EXPECT_EQ(cluster.last_state[kJob], "done");
      for (const auto& [rule, what] : cluster.checker.broken()) ADD_FAILURE() << rule << " " << what;
    }
}

}  // namespace
}  // namespace robinford::simulation
