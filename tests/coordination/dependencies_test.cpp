// The leader's handling of waiting jobs, against answers of the state service given by hand.
#include "coordination/leader/dependencies.hpp"

#include <gtest/gtest.h>

#include "protocol/names.hpp"

namespace robinford::coordination {
namespace {
namespace json = boost::json;
using bookkeeping::FinalState;
using bookkeeping::Job;
using bookkeeping::JobLedger;
using bookkeeping::JobState;
using protocol::JobId;
using protocol::Priority;

constexpr JobId kFirst = 1, kSecond = 2, kThird = 3;
constexpr double kDurationS = 10;

class WaitingJobs : public ::testing::Test {
 protected:
  WaitingJobs()
      : core({}, {}, 1, 1),
        lookup(core, {[](JobId) {}, [](JobId) {}}),
        dependencies(core, lookup,
                     {[this](Job& job) {
                        JobLedger::set_state(job, JobState::kActive);
                        ready.push_back(job.spec.id);
                      },
                      [this](Job& job) {
                        JobLedger::set_state(job, JobState::kOver);
                        cancelled.push_back(job.spec.id);
                      },
                      [this](JobId id) { admitted.push_back(id); }}) {
    core.state.set_leading(true);
    core.now.wall_ms = 1'700'000'000'000;
    for (const double now : {1.0, 10.0}) core.state.tick(now);  // the budget fills
    core.now.steady = 10;
  }
  Job& add(JobId id, std::vector<JobId> needed) {
    protocol::JobSpec spec;
    spec.id = id;
    spec.tasks = 1;
    spec.dependencies = std::move(needed);
    Job& job = core.jobs.add(spec, 1, core.now.wall_ms, core.now.steady);
    job.before = true;
    if (job.state == JobState::kWaiting) dependencies.track(job);
    return job;
  }
  void step() {
    core.now.steady += 5;
    core.state.tick(core.now.steady);
    dependencies.tick();
  }
  // Answers the open read of a job's live or final record.
  void answer(const std::string& key, int status, const std::string& data = "null") {
    ASSERT_FALSE(core.out.calls.empty()) << key;
    const auto call = core.out.calls.front();
    core.out.calls.erase(core.out.calls.begin());
    EXPECT_TRUE(call.target.ends_with("/" + key)) << call.target;
    core.calls.on_result(call.id, {status, R"({"k":")" + key + R"(","stamp":7,"data":)" + data + "}"});
  }

  ControllerContext core;
  JobLookup lookup;
  Dependencies dependencies;
  std::vector<JobId> ready, cancelled, admitted;
};

// It may have been released, and run, under an earlier leader: nothing is decided before the record is read.
TEST_F(WaitingJobs, AReleaseIsUndecidedUntilTheRecordOfAnUnknownDependencyIsRead) {
  Job& job = add(kSecond, {kFirst});
  EXPECT_FALSE(dependencies.release_states_known());
  EXPECT_FALSE(dependencies.all_states_known());
  step();
  answer(JobLedger::live_key(kFirst), 404);
  EXPECT_FALSE(dependencies.release_states_known());
  answer(JobLedger::final_key(kFirst), 200, R"({"over":"d"})");
  EXPECT_EQ(ready, std::vector<JobId>{kSecond});
  EXPECT_TRUE(dependencies.release_states_known());
  EXPECT_TRUE(dependencies.all_states_known());
  EXPECT_TRUE(job.before);
}

TEST_F(WaitingJobs, AnUnansweredReadDecidesNothingAndIsRepeated) {
  add(kSecond, {kFirst});
  step();
  answer(JobLedger::live_key(kFirst), 503);
  EXPECT_FALSE(dependencies.release_states_known());
  EXPECT_TRUE(ready.empty());
  step();
  answer(JobLedger::live_key(kFirst), 404);
  answer(JobLedger::final_key(kFirst), 200, R"({"over":"w"})");
  EXPECT_EQ(cancelled, std::vector<JobId>{kSecond});
}

// Nothing of it can be on a machine, and the rest of its dependencies may be read later.
TEST_F(WaitingJobs, AJobWithALiveDependencyWasNeverReleased) {
  add(kFirst, {});
  Job& job = add(kThird, {kFirst, kSecond});
  EXPECT_TRUE(dependencies.release_states_known());
  EXPECT_FALSE(dependencies.all_states_known());
  EXPECT_FALSE(job.before);
}

TEST_F(WaitingJobs, AMissingRecordHoldsTheJobAndNobodyElse) {
  add(kSecond, {kFirst});
  step();
  answer(JobLedger::live_key(kFirst), 404);
  answer(JobLedger::final_key(kFirst), 404);
  EXPECT_TRUE(dependencies.release_states_known());
  EXPECT_TRUE(ready.empty());
  EXPECT_FALSE(dependencies.all_states_known());
}

TEST_F(WaitingJobs, OneThatAnotherControllerAdmittedIsReadIntoTheLedger) {
  add(kSecond, {kFirst});
  step();
  bool whole = false;
  protocol::JobSpec spec;
  spec.id = kFirst;
  spec.tasks = 1;
  spec.job_class = spec.team = spec.image = "x";
  Job first;
  first.spec = spec;
  first.done.resize(1);
  answer(JobLedger::live_key(kFirst), 200, json::serialize(JobLedger::record(first, 2048, whole)));
  EXPECT_EQ(admitted, std::vector<JobId>{kFirst});
  EXPECT_FALSE(dependencies.all_states_known());
}

TEST_F(WaitingJobs, EndsThatAreKnownAlreadyCountAtOnce) {
  core.jobs.remember_final(kFirst, FinalState::kDone);
  add(kSecond, {kFirst});
  EXPECT_EQ(ready, std::vector<JobId>{kSecond});
  core.jobs.remember_final(9, FinalState::kCancelled);
  add(kThird, {9});
  EXPECT_EQ(cancelled, std::vector<JobId>{kThird});
  EXPECT_TRUE(core.out.calls.empty());
}

TEST_F(WaitingJobs, EarlierJobsInheritPriorityAndTheTimeThatIsLeft) {
  Job& first = add(kFirst, {});
  Job& second = add(kSecond, {kFirst});
  Job& third = add(kThird, {kSecond});
  Job& other = add(4, {});
  first.spec.priority = second.spec.priority = other.spec.priority = Priority::kLow;
  third.spec.priority = Priority::kHigh;
  third.spec.deadline_s = 100;
  dependencies.inherit_priorities([](const Job&) { return kDurationS; });
  EXPECT_EQ(first.priority(), Priority::kHigh);
  EXPECT_EQ(second.priority(), Priority::kHigh);
  EXPECT_EQ(other.priority(), Priority::kLow);
  EXPECT_DOUBLE_EQ(second.inherited_due_ms, third.due_ms() - kDurationS * 1000);
  EXPECT_DOUBLE_EQ(first.inherited_due_ms, third.due_ms() - 2 * kDurationS * 1000);
  // What was inherited ends with the job that it came from.
  dependencies.finished(kThird, FinalState::kCancelled);
  dependencies.inherit_priorities([](const Job&) { return kDurationS; });
  EXPECT_EQ(first.priority(), Priority::kLow);
}

TEST_F(WaitingJobs, ReadsAreBounded) {
  for (JobId id = 0; id < 100; ++id) add(1000 + id, {100 + id});
  step();
  EXPECT_EQ(core.out.calls.size(), constants::kDependencyReadsInFlightMax);
}

}  // namespace
}  // namespace robinford::coordination
