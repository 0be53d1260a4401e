// Quota leases in real processes on loopback: thousands of submissions at the same instants through three
// controllers, which end and come back midway; the history is judged by an independent checker.
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

#include "loopback/history.hpp"
#include "loopback/site.hpp"

namespace robinford::loopback {
namespace {

// ---------------------------------------------------------------- the checker

History good_history() {
  History history;
  history.jobs[1] = {"red", 2, 1};
  history.jobs[2] = {"red", 1, 1};
  history.limits["red"] = 2;
  history.events = {{EventKind::kAccepted, 1, 0, ""},     {EventKind::kTaskOn, 1, 0, "a"},
                    {EventKind::kTaskOn, 1, 1, "b"},      {EventKind::kAnsweredOther, 1, 0, ""},
                    {EventKind::kTaskDone, 1, 0, ""},     {EventKind::kTaskOff, 1, 0, "a"},
                    {EventKind::kTaskDone, 1, 1, ""},     {EventKind::kTaskOff, 1, 1, "b"},
                    {EventKind::kAnsweredDone, 1, 0, ""}, {EventKind::kAccepted, 2, 0, ""},
                    {EventKind::kTaskOn, 2, 0, "a"},      {EventKind::kTaskDone, 2, 0, ""},
                    {EventKind::kTaskOff, 2, 0, "a"},     {EventKind::kAnsweredDone, 2, 0, ""}};
  return history;
}

bool finds(const History& history, const std::string& what) {
  for (const auto& violation : check(history).violations)
    if (violation.find(what) != std::string::npos) return true;
  return false;
}

TEST(HistoryChecker, FindsNothingInAGoodHistory) {
  const auto findings = check(good_history());
  EXPECT_TRUE(findings.violations.empty());
  EXPECT_EQ(findings.done, 2u);
  EXPECT_EQ(findings.highest_use.at("red"), 2);
}

TEST(HistoryChecker, FindsEachFault) {
  auto history = good_history();
  history.limits["red"] = 1;
  EXPECT_TRUE(finds(history, "uses 2"));
  history = good_history();
  history.events[2] = {EventKind::kTaskOn, 1, 0, "b"};
  EXPECT_TRUE(finds(history, "two workers"));
  history = good_history();
  history.events.push_back({EventKind::kTaskDone, 2, 0, ""});
  EXPECT_TRUE(finds(history, "completed twice"));
  history = good_history();
  history.events.push_back({EventKind::kAnsweredOther, 1, 0, ""});
  EXPECT_TRUE(finds(history, "after done"));
  history = good_history();
  history.events.erase(history.events.begin() + 6);
  EXPECT_TRUE(finds(history, "too early"));
  history = good_history();
  history.events.pop_back();
  EXPECT_TRUE(finds(history, "has not ended"));
  history = good_history();
  history.events.erase(history.events.begin() + 12);
  EXPECT_TRUE(finds(history, "left on a worker"));
  history = good_history();
  history.events.push_back({EventKind::kTaskOn, 9, 0, "a"});
  EXPECT_TRUE(finds(history, "nobody submitted"));
  history = good_history();
  history.events.insert(history.events.begin() + 10, {EventKind::kCancelled, 2, 0, ""});
  EXPECT_TRUE(finds(history, "started after its cancellation"));
}

// ---------------------------------------------------------------- three controllers

// Jobs of one wave; CI has few, and a longer run is asked for by the variable.
int jobs_a_wave() {
  const char* requested = std::getenv("ROBINFORD_LOOPBACK_WAVE");
  return requested == nullptr ? 360 : std::atoi(requested);
}

class Waves {
 public:
  Waves(Site& site, int controllers) : site_(site), controllers_(controllers) {}
  // So many jobs in one instant, in turn through all controllers.
  void submit(int jobs) {
    static constexpr const char* kTeams[] = {"red", "blue", "green"};
    for (int i = 0; i < jobs; ++i) {
      protocol::JobSpec spec;
      spec.id = ++next_;
      spec.team = kTeams[next_ % 3];
      spec.job_class = "plain";
      spec.image = "img-1";
      spec.tasks = next_ % 5 == 0 ? 3 : 1;
      spec.cpus = 1;
      spec.memory_gb = 1;
      spec.estimate_s = 0.2 + 0.1 * static_cast<double>(next_ % 4);
      site_.submit(i % controllers_, spec);
    }
  }

 private:
  Site& site_;
  int controllers_;
  std::uint64_t next_ = 0;
};

TEST(QuotaLoopback, LimitsHoldThroughSimultaneousSubmissionsAndRestarts) {
  SiteOptions options;
  options.teams = {{"red", {16, 40}}, {"blue", {8, 24}}, {"green", {4, 16}}};
  options.switch_file = QUOTA_SWITCH_FILE;
  Site site(options);
  ASSERT_TRUE(site.run_until_led(20)) << "no controller leads";
  site.run(4);
  Waves waves(site, options.controllers);
  const int jobs = jobs_a_wave();
  waves.submit(jobs / 6);  // demand, from which the leases grow
  site.run(2.5);
  const auto follower = [&site, &options] { return (site.leader() + 1) % options.controllers; };
  std::vector<std::string> pages;
  for (int wave = 0; wave < 5; ++wave) {
    waves.submit(jobs);
    site.run(0.15);
    pages = site.metrics();
    if (wave == 1) site.restart(follower(), 0.2);
    if (wave == 2) site.restart(site.leader() < 0 ? 0 : site.leader(), 0.2);
    if (wave == 3) site.restart(follower(), 2);
    site.run(3);
  }
  const double seconds = 60 + 0.1 * jobs;
  EXPECT_TRUE(site.run(seconds, [&site] { return site.all_done(); }))
      << site.unfinished() << " jobs are left";
  const auto findings = check(site.history());
  for (const auto& violation : findings.violations) ADD_FAILURE() << violation;
  EXPECT_EQ(findings.accepted, static_cast<std::size_t>(5 * jobs + jobs / 6));
  EXPECT_GT(metric_sum(pages, "quota_lease_jobs_granted"), 0);
  // All promises and all idle capacity come back.
  site.run(9);
  pages = site.metrics();
  for (const char* gauge :
       {"quota_lease_promised_cpus", "quota_lease_held_cpus", "quota_lessor_exposed_cpus"})
    EXPECT_EQ(metric_sum(pages, gauge), 0) << gauge;
  std::cout << findings.accepted << " jobs accepted, " << findings.done << " done; highest use";
  for (const auto& [team, use] : findings.highest_use) std::cout << ' ' << team << ' ' << use;
  std::cout << "; changes to lease records " << site.store().changes("q/")
            << "; granted by processes alive at the end " << metric_sum(pages, "quota_lease_jobs_granted")
            << '\n';
}

}  // namespace
}  // namespace robinford::loopback
