// Records of jobs that wait for others, and how the production version meets them.
#include <gtest/gtest.h>

#include "bookkeeping/job_ledger.hpp"
#include "coordination/scheduling/placement.hpp"
#include "protocol/names.hpp"

namespace robinford::bookkeeping {
namespace {
namespace json = boost::json;

constexpr std::size_t kLimit = 2048;

JobSpec waiting_spec() {
  JobSpec spec;
  spec.id = 412;
  spec.job_class = "fit";
  spec.team = "red";
  spec.image = "img-1";
  spec.tasks = 3;
  spec.cpus = spec.memory_gb = 1;
  spec.dependencies = {398, 405};
  return spec;
}

Job job_of(JobSpec spec) {
  Job job;
  job.done.resize(spec.tasks);
  if (!spec.dependencies.empty()) job.state = JobState::kWaiting;
  job.spec = std::move(spec);
  job.submitted_ms = 1700000000000;
  return job;
}

json::object record_of(const Job& job) {
  bool whole = false;
  return JobLedger::record(job, kLimit, whole);
}

TEST(WaitingRecord, KeepsDependenciesAndZone) {
  for (const auto& zone : {std::optional<std::string>(), std::optional<std::string>("trakia")}) {
    auto spec = waiting_spec();
    spec.zone = zone;
    const auto back = JobLedger::from_record(record_of(job_of(spec)), 5, 0);
    ASSERT_TRUE(back);
    EXPECT_EQ(back->state, JobState::kWaiting);
    EXPECT_EQ(back->spec.dependencies, spec.dependencies);
    EXPECT_EQ(back->spec.zone, zone);
    EXPECT_FALSE(back->ready_on_record);
  }
}

// It reads the same fields with the same checks, and places no task outside the zone of a record.
TEST(WaitingRecord, ThePlacementOfTheProductionVersionFindsNoMachine) {
  const auto record = record_of(job_of(waiting_spec()));
  const auto parsed = protocol::parse_job(record.at("spec"));
  ASSERT_TRUE(parsed.spec);
  ASSERT_TRUE(parsed.spec->zone);
  for (const auto* zone : {"a", "trakia", "dunav"})
    EXPECT_FALSE(coordination::kind_allowed(*parsed.spec, "big", zone, false));
}

// The production version drops the dependencies when it rewrites the record. It only does so for a job that
// made progress, so that all of them were done.
TEST(WaitingRecord, RewrittenByTheProductionVersionItIsReleased) {
  auto spec = waiting_spec();
  spec.zone = "trakia";
  auto record = record_of(job_of(spec));
  record.at("spec").as_object().erase(names::kDependencies);
  record["done"] = "0-1";
  const auto back = JobLedger::from_record(record, 5, 0);
  ASSERT_TRUE(back);
  EXPECT_EQ(back->state, JobState::kActive);
  EXPECT_EQ(back->spec.zone, "trakia");
  EXPECT_EQ(back->done_count, 2u);
  EXPECT_FALSE(back->ready_on_record);
}

TEST(WaitingRecord, ReleasedItIsAJobLikeAnyOther) {
  auto job = job_of(waiting_spec());
  job.state = JobState::kActive;
  job.spec.dependencies.clear();
  job.ready_ms = 1700000009000;
  const auto record = record_of(job);
  EXPECT_FALSE(record.at("spec").as_object().contains(names::kZone));
  const auto back = JobLedger::from_record(record, 5, 0);
  EXPECT_EQ(back->state, JobState::kActive);
  EXPECT_EQ(back->ready_ms, job.ready_ms);
  EXPECT_EQ(back->eligible_ms(), job.ready_ms);
  EXPECT_TRUE(back->ready_on_record);
}

// Recorded from the production version (845cdd3).
TEST(JobRecord, OfTheProductionVersionIsRead) {
  const auto record = json::parse(
      R"({"spec":{"nameId":"j-000412","breed":"fit","crew":"red","shape":"sweep","rank":"low","pieces":5,"cores":1E0,)"
      R"("accelerators":0E0,"memGb":1E0,"samePlace":false,"spread":false,"loaners":false,"bundle":"img-1",)"
      R"("pullGb":0E0,"guessS":0E0,"markEveryS":0E0,"markCostS":0E0},"at":1700000000000,"done":"0-1,4","w":"77"})");
  const auto job = JobLedger::from_record(record, 5, 0);
  ASSERT_TRUE(job);
  EXPECT_EQ(job->state, JobState::kActive);
  EXPECT_EQ(job->done_count, 3u);
  EXPECT_TRUE(job->ready_on_record);
  // ...and a job without dependencies is written as it was.
  auto same = record_of(*job);
  same["w"] = "77";
  EXPECT_EQ(json::serialize(same), json::serialize(record));
}

TEST(JobRecord, ScatteredCompletionsOfALargeArrayFitASmallValue) {
  auto spec = waiting_spec();
  spec.dependencies.clear();
  spec.tasks = 900;
  auto job = job_of(spec);
  for (std::uint32_t i = 0; i < spec.tasks; i += 2) job.mark_done(i);
  bool whole = false;
  const auto record = JobLedger::record(job, kLimit - 128, whole);
  EXPECT_TRUE(whole);
  EXPECT_LE(json::serialize(record).size(), kLimit - 128);
  EXPECT_EQ(JobLedger::from_record(record, 5, 0)->done, job.done);
}

TEST(JobRecord, MalformedBitsAreIgnored) {
  auto record = record_of(job_of(waiting_spec()));
  for (const json::value& bits : {json::value("zz"), json::value(7), json::value("ffffffff")}) {
    record["bits"] = bits;
    const auto back = JobLedger::from_record(record, 5, 0);
    ASSERT_TRUE(back);
    EXPECT_EQ(back->done_count, bits == json::value("ffffffff") ? 3u : 0u);
  }
}

}  // namespace
}  // namespace robinford::bookkeeping
