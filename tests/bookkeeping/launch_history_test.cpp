// Launches of a task in a row without progress, and the pauses between them.
#include "bookkeeping/launch_history.hpp"

#include <gtest/gtest.h>

#include "bookkeeping/job.hpp"
#include "constants.hpp"

namespace robinford::bookkeeping {
namespace {

namespace c = constants;

TEST(LaunchHistory, TheFirstLaunchesFollowEachOtherWithoutAPause) {
  LaunchHistory launches;
  for (std::uint32_t launch = 1; launch < c::kLaunchesWithoutBackoff; ++launch) {
    EXPECT_EQ(launches.record_launch(0, launch), launch);
    EXPECT_EQ(launches.next_launch_at(0), 0);
  }
}

TEST(LaunchHistory, ThePauseDoublesUpToItsMaximum) {
  LaunchHistory launches;
  double now = 1000, pause_s = 0;
  for (int launch = 0; launch < 20; ++launch) {
    launches.record_launch(3, now);
    const double next = launches.next_launch_at(3);
    if (next == 0) continue;
    EXPECT_GE(next - now, pause_s);
    pause_s = next - now;
    EXPECT_LE(pause_s, c::kRelaunchBackoffMaxS);
    now = next;
  }
  EXPECT_EQ(pause_s, c::kRelaunchBackoffMaxS);
  EXPECT_EQ(launches.next_launch_at(4), 0) << "another task waits too";
}

TEST(LaunchHistory, ProgressAndTimeEndTheRow) {
  LaunchHistory launches;
  for (std::uint32_t launch = 0; launch < c::kLaunchesWithoutBackoff; ++launch) launches.record_launch(0, 10);
  EXPECT_GT(launches.next_launch_at(0), 10);
  launches.record_progress(0);
  EXPECT_EQ(launches.next_launch_at(0), 0);
  for (std::uint32_t launch = 0; launch < c::kLaunchesWithoutBackoff; ++launch) launches.record_launch(0, 20);
  EXPECT_EQ(launches.record_launch(0, 20 + c::kLaunchRowGapS + 1), 1U);
}

TEST(LaunchHistory, ADelayedTaskIsNotTheNextOneUntilItIsRequeued) {
  Job job;
  job.spec.tasks = 2;
  job.done.resize(2);
  job.mark_placed(0);
  job.mark_placed(1);
  job.requeue_task_at(0, 50);
  EXPECT_EQ(job.next_task(), std::nullopt);
  job.requeue_task(1);
  EXPECT_EQ(job.next_task(), 1U);
  job.requeue_task(0);
  EXPECT_EQ(job.next_task(), 0U);
  EXPECT_TRUE(job.delayed.empty());
  job.requeue_task_at(0, 50);
  job.mark_done(0);
  EXPECT_TRUE(job.delayed.empty());
}

}  // namespace
}  // namespace robinford::bookkeeping
