// Lost answers of transactions in real processes on loopback: the state service carries a transaction out and
// its connection is reset before the answer.
#include <gtest/gtest.h>

#include "loopback/history.hpp"
#include "loopback/site.hpp"

namespace robinford::loopback {
namespace {

constexpr int kJobs = 25;
constexpr double kLossForS = 5, kLossShare = 0.25;
constexpr double kLeftWaitingS = 90;  // the rule's bound, from the end of the loss

protocol::JobSpec one_task_job(std::uint64_t id) {
  protocol::JobSpec spec;
  spec.id = id;
  spec.team = "red";
  spec.job_class = "plain";
  spec.image = "img-1";
  spec.tasks = 1;
  spec.cpus = 1;
  spec.memory_gb = 1;
  spec.estimate_s = 0.5;
  return spec;
}

// Guards against accepted jobs that never run: the leader's connection to the state service was reset before
// the answer to their admission, which was then sent again and got a conflict with itself.
TEST(LostAnswers, NoJobWhoseAdmissionLostItsAnswerIsLeftWaiting) {
  SiteOptions options;
  options.workers = 4;
  options.teams = {{"red", {64, 64}}};
  Site site(options);
  ASSERT_TRUE(site.run_until_led(20)) << "no controller leads";
  site.run(4);
  site.lose_state_answers(kLossShare);
  for (int i = 0; i < kJobs; ++i) {
    site.submit(i % options.controllers, one_task_job(static_cast<std::uint64_t>(i) + 1));
    site.run(kLossForS / kJobs);
  }
  site.lose_state_answers(0);
  EXPECT_GT(site.state_answers_lost(), 0u);
  EXPECT_TRUE(site.run(kLeftWaitingS, [&site] { return site.all_done(); }))
      << site.unfinished() << " jobs are left";
  const auto findings = check(site.history());
  for (const auto& violation : findings.violations) ADD_FAILURE() << violation;
  EXPECT_EQ(findings.accepted, static_cast<std::size_t>(kJobs));
}

}  // namespace
}  // namespace robinford::loopback
