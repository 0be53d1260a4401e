// Messages of users, workers and cloud: what is taken, what is refused.
#include "protocol/messages.hpp"

#include <gtest/gtest.h>

#include <random>

#include "bookkeeping/job_ledger.hpp"
#include "protocol/names.hpp"

namespace robinford::protocol {
namespace {

namespace json = boost::json;

json::object good_job() {
  JobSpec spec;
  spec.id = 412;
  spec.job_class = "train";
  spec.team = "vision";
  spec.gang = true;
  spec.priority = Priority::kHigh;
  spec.tasks = 16;
  spec.cpus = 8;
  spec.memory_gb = 64;
  spec.image = "img-07";
  spec.image_gb = 6.2;
  spec.estimate_s = 240;
  return job_json(spec);
}

TEST(JobId, HasOneForm) {
  EXPECT_EQ(parse_job_id("j-000412"), 412u);
  EXPECT_EQ(parse_job_id("j-1234567"), 1234567u);
  EXPECT_EQ(job_id_text(412), "j-000412");
  for (const char* bad : {"", "j-", "j-412", "j-0000412", "x-000412", "j-00041x", "j--00412",
                          "j-99999999999999999999999", "j-000412/3"})
    EXPECT_FALSE(parse_job_id(bad)) << bad;
}

TEST(Job, RoundTripsAndIgnoresUnknownFields) {
  auto object = good_job();
  object["surprise"] = 1;
  object[names::kZone] = nullptr;
  const auto parsed = parse_job(json::value(object));
  ASSERT_TRUE(parsed.spec) << parsed.error;
  EXPECT_EQ(parsed.spec->tasks, 16u);
  EXPECT_TRUE(parsed.spec->gang);
  EXPECT_FALSE(parsed.spec->zone);
  EXPECT_EQ(json::serialize(job_json(*parsed.spec)), json::serialize(good_job()));
}

TEST(Job, KeepsItsShape) {
  for (const char* shape : {names::kShapeArray, names::kShapeGang, names::kShapeService}) {
    auto object = good_job();
    object[names::kShape] = shape;
    const auto parsed = parse_job(json::value(object));
    ASSERT_TRUE(parsed.spec);
    EXPECT_EQ(job_json(*parsed.spec).at(names::kShape), shape);
  }
}

TEST(Job, RefusesEachBadField) {
  const std::pair<const char*, json::value> bad[] = {{names::kJobId, "412"},
                                                     {names::kJobId, 412},
                                                     {names::kClass, ""},
                                                     {names::kTeam, nullptr},
                                                     {names::kShape, "pair"},
                                                     {names::kPriority, "urgent"},
                                                     {names::kTasks, 0},
                                                     {names::kTasks, 100001},
                                                     {names::kTasks, -1},
                                                     {names::kTasks, 1.5},
                                                     {names::kTasks, 18446744073709551615u},
                                                     {names::kCpus, -0.5},
                                                     {names::kCpus, "8"},
                                                     {names::kCpus, 1e300},
                                                     {names::kMemoryGb, nullptr},
                                                     {names::kTypes, "g8"},
                                                     {names::kTypes, json::array{1}},
                                                     {names::kZone, 7},
                                                     {names::kOneZone, 0},
                                                     {names::kSpot, "yes"},
                                                     {names::kEstimateS, json::array{}},
                                                     {names::kDeadlineS, -1},
                                                     {names::kDeadlineS, "soon"},
                                                     {names::kDependencies, "j-000398"},
                                                     {names::kDependencies, 398},
                                                     {names::kDependencies, json::array{398}},
                                                     {names::kDependencies, json::array{"398"}},
                                                     {names::kDependencies, json::array{"j-000398", nullptr}},
                                                     {names::kDependencies, json::array(65, "j-000398")},
                                                     {names::kImage, json::string(300, 'x')}};
  for (const auto& [key, value] : bad) {
    auto object = good_job();
    object[key] = value;
    const auto parsed = parse_job(json::value(object));
    EXPECT_FALSE(parsed.spec) << key << " = " << json::serialize(value);
    EXPECT_NE(parsed.error.find(key), std::string::npos) << parsed.error;
  }
  for (const char* body : {"", "[]", "null", "{", "{}", "1e999", "\xff\xfe", "{\"nameId\":\"j-000001\""})
    EXPECT_FALSE(parse_job(std::string_view(body)).spec) << body;
  EXPECT_FALSE(parse_json(std::string(60000, '[')));
}

TEST(Job, NamesEachDependencyOnce) {
  auto object = good_job();
  object[names::kDependencies] = json::array{"j-000405", "j-000398", "j-000405"};
  const auto parsed = parse_job(json::value(object));
  ASSERT_TRUE(parsed.spec);
  EXPECT_EQ(parsed.spec->dependencies, (std::vector<JobId>{398, 405}));
  EXPECT_EQ(json::serialize(job_json(*parsed.spec).at(names::kDependencies)), R"(["j-000398","j-000405"])");
}

TEST(Job, NoDependenciesAreLikeNone) {
  auto object = good_job();
  const auto plain = json::serialize(job_json(*parse_job(json::value(object)).spec));
  for (const json::value& none : {json::value(nullptr), json::value(json::array{})}) {
    object[names::kDependencies] = none;
    const auto parsed = parse_job(json::value(object));
    ASSERT_TRUE(parsed.spec);
    EXPECT_EQ(json::serialize(job_json(*parsed.spec)), plain);
  }
}

TEST(Heartbeat, RoundTripsAndRefusesNonsense) {
  Heartbeat heartbeat;
  heartbeat.machine = "host-000231";
  heartbeat.addr = "10.1.0.232:9000";
  heartbeat.type = "g8";
  heartbeat.zone = "a";
  heartbeat.agent_epoch = 3;
  heartbeat.seq = 88;
  heartbeat.fencing_token = 41;
  heartbeat.interruption_notice_s = 12.5;
  heartbeat.tasks = {{{412, 3}, 2, TaskPhase::kRunning, ExitReason::kNone, false},
                     {{398, 0}, 1, TaskPhase::kExited, ExitReason::kStopped, true}};
  const auto back = parse_heartbeat(heartbeat_json(heartbeat));
  ASSERT_TRUE(back);
  EXPECT_EQ(heartbeat_json(*back), heartbeat_json(heartbeat));
  EXPECT_TRUE(back->tasks[1].saved);
  std::mt19937_64 random(3);
  const std::string whole = heartbeat_json(heartbeat);
  for (int i = 0; i < 5000; ++i) {
    std::string bytes = whole;
    bytes[random() % bytes.size()] = static_cast<char>(random());
    (void)parse_heartbeat(bytes);  // must not crash, whatever comes
  }
  EXPECT_FALSE(parse_heartbeat("{}"));
  EXPECT_FALSE(parse_heartbeat("{\"host\":1}"));
}

TEST(Heartbeat, AnUnknownCauseIsAFailure) {
  const auto heartbeat = parse_heartbeat(
      R"({"host":"h","addr":"1.1.1.1:1","build":"g","yard":"a","loaners":false,"shift":1,"tally":1,"baton":0,)"
      R"("pieces":[{"piece":"j-000001/0","try":1,"stage":"ended","cause":"gremlins"}]})");
  ASSERT_TRUE(heartbeat);
  EXPECT_EQ(heartbeat->tasks[0].exit_reason, ExitReason::kError);
}

TEST(Commands, RoundTrip) {
  const std::vector<Command> commands{{Command::Op::kLaunch, {412, 4}, 2, 0},
                                      {Command::Op::kStop, {377, 1}, 1, 10},
                                      {Command::Op::kClear, {398, 0}, 1, 0}};
  const auto back = parse_commands(commands_json(41, commands, 7));
  ASSERT_TRUE(back);
  EXPECT_EQ(back->fencing_token, 41u);
  EXPECT_EQ(back->agent_epoch, 7u);
  EXPECT_EQ(commands_json(41, back->commands, 7), commands_json(41, commands, 7));
}

TEST(Ledger, CompletionsRoundTripWithinTheLimit) {
  bookkeeping::Job job;
  job.spec = *parse_job(json::value(good_job())).spec;
  job.spec.tasks = 100000;
  job.done.resize(job.spec.tasks);
  for (std::uint32_t i = 0; i < 90000; ++i) job.mark_done(i);
  for (std::uint32_t i = 90001; i < 90400; i += 2) job.mark_done(i);
  bool whole = false;
  auto record = bookkeeping::JobLedger::record(job, std::size_t{16} * 1024, whole);
  EXPECT_TRUE(whole);
  auto back = bookkeeping::JobLedger::from_record(record, 5, 0);
  ASSERT_TRUE(back);
  EXPECT_EQ(back->done, job.done);
  // With too many gaps for the limit, the record says that it is not the whole.
  for (std::uint32_t i = 0; i < 90000; i += 2) job.done[i] = false;
  record = bookkeeping::JobLedger::record(job, std::size_t{16} * 1024, whole);
  EXPECT_FALSE(whole);
  EXPECT_LE(json::serialize(record).size(), 16u * 1024);
}

}  // namespace
}  // namespace robinford::protocol
