// The dependency graph, by itself and against a plain reference.
#include "bookkeeping/dependency_graph.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace robinford::bookkeeping {
namespace {

std::vector<JobId> sorted(std::vector<JobId> ids) {
  std::sort(ids.begin(), ids.end());
  return ids;
}

TEST(DependencyGraph, ADiamondIsReadyWithItsLastArm) {
  DependencyGraph graph;
  graph.add(2, {1});
  graph.add(3, {1});
  graph.add(4, {2, 3});
  EXPECT_EQ(sorted(graph.finished(1, FinalState::kDone).ready), (std::vector<JobId>{2, 3}));
  EXPECT_TRUE(graph.finished(2, FinalState::kDone).ready.empty());
  EXPECT_TRUE(graph.waits(4));
  EXPECT_EQ(graph.finished(3, FinalState::kDone).ready, std::vector<JobId>{4});
  EXPECT_FALSE(graph.waits(4));
  EXPECT_TRUE(graph.dependents().empty());
}

TEST(DependencyGraph, ACancellationReachesEachDependentOnce) {
  DependencyGraph graph;
  graph.add(2, {1});
  graph.add(3, {1});
  graph.add(4, {2, 3, 9});
  graph.add(5, {9});
  EXPECT_EQ(sorted(graph.finished(1, FinalState::kCancelled).cancelled), (std::vector<JobId>{2, 3, 4}));
  EXPECT_EQ(graph.finished(9, FinalState::kDone).ready, std::vector<JobId>{5});
}

TEST(DependencyGraph, LongChainsAndWideFansNeedNoStack) {
  constexpr JobId kLength = 100000;
  DependencyGraph chain;
  for (JobId id = 2; id <= kLength; ++id) chain.add(id, {id - 1});
  std::size_t pairs = 0;
  JobId last = kLength + 1;
  for (const auto& [dependent, dependency] : chain.dependents_first()) {
    EXPECT_EQ(dependent, last - 1);
    EXPECT_EQ(dependency, dependent - 1);
    last = dependent;
    ++pairs;
  }
  EXPECT_EQ(pairs, kLength - 1);
  EXPECT_EQ(chain.finished(1, FinalState::kCancelled).cancelled.size(), kLength - 1);
  DependencyGraph fan;
  for (JobId id = 2; id <= kLength; ++id) fan.add(id, {1});
  EXPECT_EQ(fan.finished(1, FinalState::kDone).ready.size(), kLength - 1);
}

TEST(DependencyGraph, VisitsEndOnARingOfBrokenRecords) {
  DependencyGraph graph;
  graph.add(1, {2});
  graph.add(2, {1});
  EXPECT_TRUE(graph.dependents_first().empty()) << "nothing on a ring is settled";
  EXPECT_EQ(sorted(graph.finished(1, FinalState::kCancelled).cancelled), (std::vector<JobId>{1, 2}));
}

// A job is ready when all that it needs is done, and cancelled when something that it needs is.
struct Reference {
  std::map<JobId, std::vector<JobId>> needs;
  std::map<JobId, FinalState> over;

  bool cancelled(JobId id) const {
    for (JobId other : needs.at(id)) {
      const auto found = over.find(other);
      if (found != over.end() && found->second == FinalState::kCancelled) return true;
      if (found == over.end() && cancelled(other)) return true;
    }
    return false;
  }
  bool ready(JobId id) const {
    return std::all_of(needs.at(id).begin(), needs.at(id).end(), [&](JobId other) {
      const auto found = over.find(other);
      return found != over.end() && found->second == FinalState::kDone;
    });
  }
};

TEST(DependencyGraph, AgreesWithThePlainReference) {
  std::mt19937_64 random(7);
  for (int round = 0; round < 300; ++round) {
    DependencyGraph graph;
    Reference reference;
    const JobId jobs = 3 + random() % 20;
    std::set<JobId> open;  // neither done nor cancelled, by the graph
    std::set<JobId> runnable;
    for (JobId id = 1; id <= jobs; ++id) {
      std::vector<JobId> needs;
      for (JobId other = 1; other < id; ++other)
        if (random() % 4 == 0) needs.push_back(other);
      reference.needs[id] = needs;
      graph.add(id, needs);
      open.insert(id);
      if (needs.empty()) runnable.insert(id);
    }
    while (!open.empty()) {
      const bool cancel = random() % 5 == 0 || runnable.empty();
      const auto& from = cancel ? open : runnable;
      const JobId id = *std::next(from.begin(), static_cast<std::ptrdiff_t>(random() % from.size()));
      const auto state = cancel ? FinalState::kCancelled : FinalState::kDone;
      open.erase(id);
      runnable.erase(id);
      graph.remove(id);
      const auto outcome = graph.finished(id, state);
      reference.over[id] = state;
      for (const auto ready : outcome.ready) {
        EXPECT_TRUE(reference.ready(ready));
        EXPECT_TRUE(runnable.insert(ready).second);
      }
      for (const auto cancelled : outcome.cancelled) {
        EXPECT_TRUE(reference.cancelled(cancelled));
        EXPECT_EQ(open.erase(cancelled), 1u);
        EXPECT_FALSE(runnable.contains(cancelled));
      }
      for (const auto other : outcome.cancelled) reference.over[other] = FinalState::kCancelled;
      for (const auto other : open) {
        EXPECT_FALSE(reference.cancelled(other));
        EXPECT_EQ(runnable.contains(other), reference.ready(other));
      }
    }
  }
}

}  // namespace
}  // namespace robinford::bookkeeping
