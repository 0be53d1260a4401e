// What the metrics page says of final states that are not durable and of users without an answer.
#include "coordination/leader/final_state_watch.hpp"

#include <gtest/gtest.h>

#include "bookkeeping/job_ledger.hpp"

namespace robinford::coordination {
namespace {

bool has_line(const Metrics& metrics, const std::string& line) {
  return ("\n" + metrics.page()).find("\n" + line + "\n") != std::string::npos;
}

TEST(FinalStateWatch, ShowsTheOldestEndThatIsNotDurable) {
  bookkeeping::Job running, ended, cancelled;
  bookkeeping::JobLedger::set_state(ended, bookkeeping::JobState::kCompleting);
  ended.end_began_at = 105;
  bookkeeping::JobLedger::set_state(cancelled, bookkeeping::JobState::kCancelling);
  cancelled.end_began_at = 110;
  FinalStateWatch watch;
  Metrics metrics;
  watch.begin_sweep(120);
  for (const auto* job : {&running, &ended, &cancelled}) watch.visit(*job);
  watch.end_sweep(3, metrics);
  EXPECT_TRUE(has_line(metrics, "robinford_final_states_waiting 2"));
  EXPECT_TRUE(has_line(metrics, "robinford_final_state_oldest_seconds 15"));
  watch.begin_sweep(121);
  watch.visit(running);
  watch.end_sweep(3, metrics);
  EXPECT_TRUE(has_line(metrics, "robinford_final_state_oldest_seconds 0"));
}

TEST(Metrics, CountsEachValueOfALabelApart) {
  Metrics metrics;
  metrics.count_labelled("users_unavailable", "reason", "not written");
  metrics.count_labelled("users_unavailable", "reason", "not written");
  metrics.count_labelled("users_unavailable", "reason", "no answer in time");
  EXPECT_TRUE(has_line(metrics, "robinford_users_unavailable_total{reason=\"not written\"} 2"));
  EXPECT_TRUE(has_line(metrics, "robinford_users_unavailable_total{reason=\"no answer in time\"} 1"));
}

}  // namespace
}  // namespace robinford::coordination
