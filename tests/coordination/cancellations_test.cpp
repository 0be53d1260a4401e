// How far a leader knows what users were told: each way in which that knowledge could be dated too late.
#include "coordination/routing/cancellations.hpp"

#include <gtest/gtest.h>

#include "constants.hpp"

namespace robinford::coordination {
namespace {

constexpr std::uint64_t kStarted = std::uint64_t{1'700'000'000'000} << constants::kIncarnationRandomBits;
constexpr std::uint64_t kLater = std::uint64_t{1'700'000'010'000} << constants::kIncarnationRandomBits;

protocol::Settings site(const std::string& member, double lease_s = 10, double cancel_s = 35) {
  protocol::Settings s;
  s.member = member;
  for (const std::string other : {"a", "b", "c"})
    if (other != member) s.peers.push_back({other, "zone", {"10.0.0.1", 1}});
  s.lease_s = lease_s;
  s.cancel_s = cancel_s;
  s.clock_error_ms = 100;
  return s;
}

// One controller's part in this: what it sends is handed over by the test, or not.
struct Member {
  explicit Member(const std::string& name, std::uint64_t incarnation = kStarted)
      : name(name), incarnation(incarnation), cancellations(site(name)) {}
  protocol::PeerMessage status_to(const Member& other, double now) {
    protocol::PeerMessage status;
    status.kind = protocol::PeerKind::kStatus;
    status.member = name;
    status.incarnation = incarnation;
    cancellations.fill_status(other.name, now, status);
    return status;
  }
  void hear(const protocol::PeerMessage& status) { cancellations.apply_peer_status(status, incarnation); }
  // All that the other has not acknowledged.
  bool deliver_announced(Member& to) {
    auto announced = cancellations.unacknowledged(to.name);
    if (!announced) return false;
    announced->member = name;
    announced->incarnation = incarnation;
    to.cancellations.apply_announcements(*announced);
    return true;
  }
  std::string name;
  std::uint64_t incarnation;
  Cancellations cancellations;
};

struct ThreeMembers : ::testing::Test {
  Member a{"a"}, b{"b"}, c{"c"};
  // A probe of a at `asked`, answered by the other at `answered`.
  void round_trip(Member& other, double sent, double answered) {
    other.hear(a.status_to(other, sent));
    a.hear(other.status_to(a, answered));
  }
  void elect(double now) {
    round_trip(b, now - 1, now - 0.9);
    round_trip(c, now - 1, now - 0.9);
    a.cancellations.begin_leadership();
    a.cancellations.on_change_log_read_started(now);
    a.cancellations.on_change_log_read_finished(now);
    a.cancellations.on_leader_key_renewed(now + 0.6);
  }
  double known(double now) { return a.cancellations.known_up_to(now); }
};

TEST_F(ThreeMembers, NothingIsKnownBeforeTheChangeLogIsRead) {
  a.cancellations.begin_leadership();
  round_trip(b, 99, 99.1);
  round_trip(c, 99, 99.1);
  EXPECT_LT(known(100), 0);
  a.cancellations.on_change_log_read_started(100);
  EXPECT_LT(known(101), 0);
  a.cancellations.on_change_log_read_finished(99.5);
  // The key was surely ours only up to the renewal.
  EXPECT_DOUBLE_EQ(known(101), 99.5);
}

TEST_F(ThreeMembers, ProbesDateTheKnowledgeNotAnswers) {
  elect(100);
  round_trip(b, 110, 112);
  round_trip(c, 111, 113);
  EXPECT_DOUBLE_EQ(known(114), 110);
}

TEST_F(ThreeMembers, OneUnresponsiveMemberEndsIt) {
  elect(100);
  for (int i = 0; i < 20; ++i) round_trip(b, 101 + i, 101.1 + i);
  EXPECT_DOUBLE_EQ(known(130), 100);
}

TEST_F(ThreeMembers, ALostAnnouncementStopsTheClockUntilItArrives) {
  elect(100);
  round_trip(b, 101, 101.1);
  round_trip(c, 101, 101.1);
  EXPECT_TRUE(b.cancellations.record_announcement(7));
  EXPECT_FALSE(b.cancellations.record_announcement(7));
  round_trip(b, 110, 110.1);
  round_trip(c, 110, 110.1);
  EXPECT_DOUBLE_EQ(known(111), 101);
  EXPECT_TRUE(b.deliver_announced(a));
  round_trip(b, 112, 112.1);
  round_trip(c, 112, 112.1);
  EXPECT_DOUBLE_EQ(known(113), 112);
  round_trip(b, 113, 113.1);
  EXPECT_FALSE(b.deliver_announced(a));  // acknowledged
}

TEST_F(ThreeMembers, AnotherProcessOfAMemberCannotVouchForTheOneBefore) {
  elect(100);
  round_trip(b, 101, 101.1);
  round_trip(c, 101, 101.1);
  b.cancellations.record_announcement(7);  // and ends
  Member again("b", kLater);
  for (double at : {110.0, 111.0, 112.0}) {
    round_trip(again, at, at + 0.1);
    round_trip(c, at, at + 0.1);
  }
  EXPECT_DOUBLE_EQ(known(113), 101);
  // The state service shows what the former process wrote.
  a.cancellations.on_change_log_read_started(114);
  a.cancellations.on_change_log_read_finished(114);
  a.cancellations.on_leader_key_renewed(115);
  round_trip(again, 116, 116.1);
  round_trip(c, 116, 116.1);
  EXPECT_DOUBLE_EQ(known(117), 116);
}

TEST_F(ThreeMembers, ALateStatusProvesNothingNew) {
  elect(100);
  round_trip(c, 101, 101.1);
  b.hear(a.status_to(b, 101));
  const auto held = b.status_to(a, 101.1);
  b.cancellations.record_announcement(7);
  a.hear(held);
  round_trip(c, 120, 120.1);
  a.hear(held);
  EXPECT_DOUBLE_EQ(known(121), 101);
}

TEST_F(ThreeMembers, AQuestionOfAnEarlierProcessIsNotOurs) {
  elect(100);
  round_trip(c, 101, 101.1);
  auto status = b.status_to(a, 105);
  status.echo = 500000;  // its clock stood elsewhere
  status.echo_incarnation = kLater;
  a.hear(status);
  EXPECT_DOUBLE_EQ(known(110), 100);
}

TEST_F(ThreeMembers, NobodyAnnouncesWhileALeaderMayAnswerFromMemoryThatLacksIt) {
  elect(100);
  round_trip(b, 101, 101.1);
  round_trip(c, 101, 101.1);
  EXPECT_TRUE(a.cancellations.is_in_memory_state_current(102.9));
  EXPECT_FALSE(a.cancellations.is_in_memory_state_current(103.1));
  // Cut off since then: b tells only when a's in-memory state is surely not current any more.
  c.hear(b.status_to(c, 101.1));
  b.cancellations.record_announcement(7);
  EXPECT_FALSE(b.cancellations.acknowledged_by_all(7, 102));
  EXPECT_FALSE(b.cancellations.acknowledged_by_all(7, 103.2));
  EXPECT_TRUE(b.cancellations.acknowledged_by_all(7, 103.5));
}

TEST_F(ThreeMembers, AnAcknowledgedCancellationIsAnnouncedAtOnce) {
  elect(100);
  round_trip(b, 101, 101.1);
  b.hear(c.status_to(b, 101));
  c.hear(b.status_to(c, 101.1));
  b.cancellations.record_announcement(7);
  EXPECT_FALSE(b.cancellations.acknowledged_by_all(7, 101.2));
  EXPECT_TRUE(b.deliver_announced(a));
  EXPECT_TRUE(b.deliver_announced(c));
  b.hear(a.status_to(b, 101.3));
  EXPECT_FALSE(b.cancellations.acknowledged_by_all(7, 101.4));
  b.hear(c.status_to(b, 101.3));
  EXPECT_TRUE(b.cancellations.acknowledged_by_all(7, 101.4));
}

TEST_F(ThreeMembers, ANewProcessWaitsAsTheOneBeforeWouldHave) {
  Member again("b", kLater);
  again.cancellations.record_announcement(7);
  EXPECT_FALSE(again.cancellations.acknowledged_by_all(7, 50));
  EXPECT_FALSE(again.cancellations.acknowledged_by_all(7, 52));
  EXPECT_TRUE(again.cancellations.acknowledged_by_all(7, 52.3));
}

TEST_F(ThreeMembers, WhatIsKeptIsBounded) {
  for (std::uint64_t job = 1; job <= constants::kAnnouncedCancellationsMax + 10; ++job)
    b.cancellations.record_announcement(job);
  EXPECT_EQ(b.cancellations.announced(), constants::kAnnouncedCancellationsMax + 10);
  const auto first = b.cancellations.unacknowledged("a");
  ASSERT_TRUE(first);
  EXPECT_EQ(first->first, 11u);
  EXPECT_LE(first->jobs.size(), constants::kAnnouncedPerMessageMax);
  // A leader that was never brought that far is not told that it was.
  a.cancellations.begin_leadership();
  auto announced = *first;
  announced.member = "b";
  announced.incarnation = kStarted;
  a.cancellations.apply_announcements(announced);
  a.hear(b.status_to(a, 10));
  EXPECT_LT(known(20), 0);
}

TEST(AnswerBound, FollowsFromTheSite) {
  EXPECT_NEAR(Cancellations(site("a", 10, 35)).heartbeat_answer_window_s(),
              25 - constants::kCancellationMarginS, 0.1);
  EXPECT_FALSE(Cancellations(site("a", 44, 74)).only_leader_announces());
  EXPECT_DOUBLE_EQ(Cancellations(site("a", 10, 1000)).heartbeat_answer_window_s(),
                   constants::kDegradedAnswerMaxS);
  EXPECT_TRUE(Cancellations(site("a", 30, 31)).only_leader_announces());
  EXPECT_TRUE(Cancellations(site("a", 60, 30)).only_leader_announces());
}

}  // namespace
}  // namespace robinford::coordination
