// Durable writes: unanswered, refused and lost transactions, and the shared budget.
#include "bookkeeping/writer.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

#include "constants.hpp"
#include "protocol/messages.hpp"
#include "protocol/names.hpp"

namespace robinford::bookkeeping {
namespace {

struct Bench {
  Bench() {
    settings.state_rps = 100;
    settings.state_write_rps = 40;
    settings.txn_ops = 4;
    state.set_leading(true);
    step(0);
    step(1);  // the budget fills
  }
  void step(double by) {
    now += by;
    state.tick(now);
    writer.pump(now);
  }
  protocol::Call next() {
    EXPECT_FALSE(out.calls.empty());
    auto call = out.calls.front();
    out.calls.erase(out.calls.begin());
    return call;
  }
  void answer(const protocol::Call& call, int status, const std::string& body) {
    calls.on_result(call.id, {status, body});
    step(0.5);
  }
  WriteCallback into(std::vector<WriteOutcome>& list) {
    return [&list](WriteOutcome outcome, std::uint64_t) { list.push_back(outcome); };
  }

  protocol::Settings settings;
  protocol::Outbox out;
  CallTable calls{out};
  StateClient state{settings, calls};
  std::mt19937_64 random{1};
  TxnWriter writer{settings, state, random};
  double now = 100;
  std::vector<WriteOutcome> outcomes;
};

WriteOp put(const std::string& key) { return {key, 0, boost::json::object{{"x", 1}}}; }

// A full queue answered while its caller was still calling; those that ask again at once recursed without
// end.
TEST(StateClient, AFullQueueAnswersLater) {
  Bench b;
  int refused = 0, calls = 0;
  std::function<void()> again = [&] {
    ++calls;
    b.state.read("k", [&](const StateRead& read) {
      if (read.found == StateRead::Found::kUnknown && ++refused < 5) again();
    });
  };
  for (std::size_t i = 0; i < constants::kStateQueueMax + 200; ++i)
    b.state.read("x" + std::to_string(i), [](const StateRead&) {});
  again();
  EXPECT_EQ(calls, 1);
  EXPECT_EQ(refused, 0);
  b.step(0.001);
  EXPECT_EQ(refused, 1);
}

// The ledger of a new leader, its election and what is to be written don't wait behind a flood of polls, and
// polls whose users have given up cost no request.
TEST(StateClient, PollsGiveWay) {
  Bench b;
  int given_up = 0;
  for (int i = 0; i < 300; ++i) b.state.read("x" + std::to_string(i), [&](const StateRead&) { ++given_up; });
  b.out.calls.clear();
  b.state.list("j/", "", [](const auto&) {});
  b.writer.submit({put("k")}, b.into(b.outcomes));
  b.step(0.05);
  ASSERT_GE(b.out.calls.size(), 2u);
  EXPECT_NE(b.out.calls[0].target.find("starts=j/"), std::string::npos);
  EXPECT_TRUE(std::any_of(b.out.calls.begin(), b.out.calls.end(),
                          [](const auto& call) { return call.target == names::kPathTxn; }));
  const auto sent = b.out.calls.size();
  b.step(constants::kStateCallTimeoutS + 1);
  EXPECT_GT(given_up, 150);
  EXPECT_LT(b.out.calls.size(), sent + 2);
}

TEST(Writer, JoinsUnitsWithinTheLimit) {
  Bench b;
  for (int i = 0; i < 6; ++i) b.writer.submit({put("k" + std::to_string(i))}, b.into(b.outcomes));
  b.step(0);
  ASSERT_EQ(b.out.calls.size(), 2u);
  const auto first = protocol::parse_json(b.out.calls[0].body)->as_object();
  EXPECT_EQ(first.at(names::kOperations).as_array().size(), 4u);
  b.answer(b.next(), 200, "{\"epoch\":7}");
  EXPECT_EQ(b.outcomes.size(), 4u) << "all of the first transaction, none of the second";
}

TEST(Writer, ATransactionTakesNoMoreChangesThanASecondAllows) {
  Bench b;
  b.settings.count = 5;
  b.settings.txn_ops = 32;
  b.state.set_leading(false);
  for (int i = 0; i < 6; ++i) b.writer.submit({put("k" + std::to_string(i))}, b.into(b.outcomes));
  b.step(1);
  const auto sent = protocol::parse_json(b.next().body)->as_object();
  const double allowed = b.settings.state_write_rps * constants::kMemberBudgetShare / (b.settings.count - 1);
  EXPECT_LE(sent.at(names::kOperations).as_array().size(), allowed);
}

std::vector<std::string> keys_of(const protocol::Call& call) {
  std::vector<std::string> keys;
  const auto transaction = protocol::parse_json(call.body)->as_object();
  for (const auto& change : transaction.at(names::kOperations).as_array())
    keys.emplace_back(change.as_object().at(names::kPut).as_string());
  return keys;
}

TEST(Writer, ARequeuedBackgroundUnitLetsNoNewerUnitOvertake) {
  Bench b;
  b.settings.txn_ops = 3;
  b.settings.state_write_rps = 5;
  b.state.set_leading(true);
  b.writer.submit({put("a1"), put("a2")}, b.into(b.outcomes));
  b.writer.submit({put("b1"), put("b2")}, b.into(b.outcomes));
  b.writer.submit({put("background")}, b.into(b.outcomes), WritePriority::kBackground);
  b.step(0);
  auto call = b.next();
  EXPECT_EQ(keys_of(call), (std::vector<std::string>{"a1", "a2", "background"}));
  b.calls.on_result(call.id, {503, "{}"});
  b.writer.submit({put("c1"), put("c2")}, b.into(b.outcomes));
  std::vector<std::string> order;
  for (int i = 0; i < 3; ++i) {
    b.step(1);
    call = b.next();
    for (const auto& key : keys_of(call))
      if (key != "background") order.push_back(key);
    b.calls.on_result(call.id, {200, "{\"epoch\":7}"});
  }
  EXPECT_EQ(order, (std::vector<std::string>{"a1", "a2", "b1", "b2", "c1", "c2"}));
}

TEST(Writer, FinalStatesAndMachineRecordsGoBeforeSubmissions) {
  Bench b;
  b.settings.txn_ops = 1;
  b.writer.submit({put("background")}, b.into(b.outcomes), WritePriority::kBackground);
  b.writer.submit({put("submission")}, b.into(b.outcomes));
  b.writer.submit({put("machine")}, b.into(b.outcomes), WritePriority::kFleet);
  b.writer.submit({put("final")}, b.into(b.outcomes), WritePriority::kFinalState);
  std::vector<std::string> order;
  for (int i = 0; i < 4; ++i) {
    b.step(1);
    while (!b.out.calls.empty()) {
      const auto call = b.next();
      order.push_back(keys_of(call).front());
      b.answer(call, 200, "{\"epoch\":7}");
    }
  }
  EXPECT_EQ(order, (std::vector<std::string>{"final", "machine", "submission", "background"}));
}

TEST(Writer, AUnitIsNotSentAfterItsDeadline) {
  Bench b;
  b.writer.set_paused(true);
  b.writer.submit({put("late")}, b.into(b.outcomes), WritePriority::kUser, b.now + 1);
  const auto extended =
      b.writer.submit({put("extended")}, b.into(b.outcomes), WritePriority::kUser, b.now + 1);
  b.writer.extend(extended, b.now + 5);
  b.step(2);
  EXPECT_EQ(b.outcomes, std::vector<WriteOutcome>{WriteOutcome::kExpired});
  b.writer.set_paused(false);
  b.step(1);
  EXPECT_EQ(keys_of(b.next()), std::vector<std::string>{"extended"});
}

TEST(Writer, AUnitThatMayHaveBeenCommittedOutlivesItsDeadline) {
  Bench b;
  b.writer.submit({put("k")}, b.into(b.outcomes), WritePriority::kUser, b.now + 1);
  b.step(0);
  b.answer(b.next(), 0, "");
  b.step(2);
  EXPECT_TRUE(b.outcomes.empty());
  EXPECT_EQ(keys_of(b.next()), std::vector<std::string>{"k"});
}

TEST(Writer, AWithdrawnUnitIsNotSentAndNotReported) {
  Bench b;
  const auto withdrawn = b.writer.submit({put("old")}, b.into(b.outcomes), WritePriority::kBackground);
  EXPECT_TRUE(b.writer.withdraw(withdrawn));
  const auto sent = b.writer.submit({put("new")}, b.into(b.outcomes));
  b.step(0);
  EXPECT_EQ(keys_of(b.next()), std::vector<std::string>{"new"});
  EXPECT_FALSE(b.writer.withdraw(sent)) << "it is in flight";
  EXPECT_TRUE(b.outcomes.empty());
}

TEST(Writer, SettlesAnUnansweredWriteByReading) {
  Bench b;
  b.writer.submit({put("k")}, b.into(b.outcomes));
  b.step(0);
  const auto lost = b.next();
  b.answer(lost, 0, "");
  EXPECT_TRUE(b.outcomes.empty());
  b.answer(b.next(), 409, "{\"failed\":[\"k\"],\"epoch\":9}");
  const auto read = b.next();
  EXPECT_EQ(read.method, "GET");
  // It was carried out after all: the value bears this writer's mark.
  const auto value = protocol::parse_json(lost.body)
                         ->as_object()
                         .at(names::kOperations)
                         .as_array()[0]
                         .as_object()
                         .at(names::kValue);
  b.answer(read, 200, "{\"k\":\"k\",\"stamp\":8,\"data\":" + boost::json::serialize(value) + "}");
  ASSERT_EQ(b.outcomes.size(), 1u);
  EXPECT_EQ(b.outcomes[0], WriteOutcome::kDone);
}

// Guards against a committed cancellation that is reported as a conflict, since its change-log entry, by
// which it was settled, had been deleted.
TEST(Writer, SettlesAUnitByTheRecordThatOutlastsItsChangeLogEntry) {
  Bench b;
  b.writer.submit({put("f/1"), put("j/1"), put("n/1")}, b.into(b.outcomes));
  b.step(0);
  b.answer(b.next(), 0, "");
  b.answer(b.next(), 409, "{\"failed\":[\"f/1\"],\"epoch\":9}");
  EXPECT_NE(b.next().target.find("/f/1"), std::string::npos);
}

TEST(Writer, DoesNotTakeAnothersWriteForItsOwn) {
  Bench b;
  b.writer.submit({put("k")}, b.into(b.outcomes));
  b.step(0);
  b.answer(b.next(), 0, "");
  b.answer(b.next(), 409, "{\"failed\":[\"k\"],\"epoch\":9}");
  b.answer(b.next(), 200, "{\"k\":\"k\",\"stamp\":8,\"data\":{\"x\":1,\"w\":\"other\"}}");
  ASSERT_EQ(b.outcomes.size(), 1u);
  EXPECT_EQ(b.outcomes[0], WriteOutcome::kConflict);
}

TEST(Writer, StopsWhenTheGuardIsGone) {
  Bench b;
  bool lost = false;
  b.writer.set_guard("lead", 3, [&] { lost = true; });
  b.writer.submit({put("k")}, b.into(b.outcomes));
  b.step(0);
  const auto call = b.next();
  EXPECT_NE(call.body.find("\"lead\""), std::string::npos);
  b.answer(call, 409, "{\"failed\":[\"lead\"],\"epoch\":9}");
  EXPECT_TRUE(lost);
  ASSERT_EQ(b.outcomes.size(), 1u);
  EXPECT_EQ(b.outcomes[0], WriteOutcome::kLost);
}

// Ends the term when its unit is reported, as a leader does whose machine record was changed by another
// writer.
WriteCallback ends_term(Bench& b) {
  return [&b](WriteOutcome outcome, std::uint64_t) {
    b.outcomes.push_back(outcome);
    b.writer.clear_guard();
  };
}

// Guards against writes of an ended term that go out under the guard of the next: an admission among them is
// accepted, and the new leader, which has read its ledger already, never runs the job.
TEST(Writer, NoUnitOutlivesTheTermThatAnotherUnitsConflictEnds) {
  Bench b;
  b.writer.set_guard("lead", 3, [] {});
  b.writer.submit({put("m/1")}, ends_term(b), WritePriority::kFleet);
  b.writer.submit({put("j/1")}, b.into(b.outcomes));
  b.step(0.1);
  ASSERT_EQ(b.out.calls.size(), 1u);
  b.answer(b.next(), 409, "{\"failed\":[\"m/1\"],\"epoch\":9}");
  EXPECT_EQ(b.outcomes, (std::vector<WriteOutcome>{WriteOutcome::kConflict, WriteOutcome::kLost}));
  b.writer.set_guard("lead", 7, [] {});
  b.step(1);
  EXPECT_TRUE(b.out.calls.empty()) << b.out.calls.front().body;
}

// The same for a unit whose unanswered attempt is still to be settled when the term ends.
TEST(Writer, NoUnsettledUnitOutlivesTheTermThatAnotherUnitsConflictEnds) {
  Bench b;
  b.writer.set_guard("lead", 3, [] {});
  b.writer.submit({put("j/1")}, b.into(b.outcomes));
  b.step(0.1);
  b.calls.on_result(b.next().id, {0, ""});
  b.writer.submit({put("m/1")}, ends_term(b), WritePriority::kFleet);
  b.step(1);
  b.answer(b.next(), 409, "{\"failed\":[\"j/1\",\"m/1\"],\"epoch\":9}");
  b.answer(b.next(), 503, "{}");
  EXPECT_EQ(b.outcomes, (std::vector<WriteOutcome>{WriteOutcome::kConflict, WriteOutcome::kLost}));
  b.writer.set_guard("lead", 7, [] {});
  b.step(1);
  EXPECT_TRUE(b.out.calls.empty()) << b.out.calls.front().body;
}

TEST(Writer, ARefusedTransactionIsRepeatedAndAConflictDoesNotStopTheRest) {
  Bench b;
  b.writer.submit({put("a")}, b.into(b.outcomes));
  b.writer.submit({put("b")}, b.into(b.outcomes));
  b.step(0);
  b.answer(b.next(), 503, "{}");
  b.answer(b.next(), 409, "{\"failed\":[\"a\"],\"epoch\":2}");
  ASSERT_EQ(b.outcomes.size(), 1u);
  EXPECT_EQ(b.outcomes[0], WriteOutcome::kConflict);
  b.answer(b.next(), 200, "{\"epoch\":3}");
  ASSERT_EQ(b.outcomes.size(), 2u);
  EXPECT_EQ(b.outcomes[1], WriteOutcome::kDone);
}

// A limit lower than the settings say: nothing is repeated as it was, and what fits alone is written.
TEST(Writer, UnitsOfAMalformedTransactionAreTriedAlone) {
  Bench b;
  b.settings.txn_ops = 10;
  for (const char* key : {"a", "b", "c"}) b.writer.submit({put(key)}, b.into(b.outcomes));
  b.step(0.1);
  ASSERT_EQ(b.out.calls.size(), 1u);
  b.answer(b.next(), 400, "{}");
  ASSERT_EQ(b.out.calls.size(), 3u);
  EXPECT_TRUE(b.outcomes.empty());
  b.answer(b.next(), 400, "{}");
  EXPECT_EQ(b.outcomes, std::vector<WriteOutcome>{WriteOutcome::kRefused});
  b.answer(b.next(), 200, "{\"epoch\":5}");
  b.answer(b.next(), 200, "{\"epoch\":6}");
  EXPECT_EQ(b.outcomes,
            (std::vector<WriteOutcome>{WriteOutcome::kRefused, WriteOutcome::kDone, WriteOutcome::kDone}));
  EXPECT_TRUE(b.out.calls.empty());
}

TEST(StateClient, GoesOnMoreSlowlyAfterA429) {
  Bench b;
  const auto ask = [&] {
    b.state.read("k", [](const StateRead&) {});
    b.answer(b.next(), 429, "");
  };
  ask();
  EXPECT_DOUBLE_EQ(b.state.pace(), constants::kPaceReductionFactor);
  ask();  // within the same second
  EXPECT_DOUBLE_EQ(b.state.pace(), constants::kPaceReductionFactor);
  EXPECT_EQ(b.state.throttled(), 2u);
  for (int i = 0; i < 100; ++i) {
    b.step(1);
    ask();
  }
  EXPECT_DOUBLE_EQ(b.state.pace(), constants::kPaceMin);
  for (int i = 0; i < 400; ++i) b.step(1);
  EXPECT_DOUBLE_EQ(b.state.pace(), 1);
}

TEST(StateClient, KeepsBelowTheBudgetAndLetsRenewalsPass) {
  Bench b;
  int answered = 0;
  for (int i = 0; i < 300; ++i)
    b.state.call(StateClient::Urgency::kNormal, "GET", "/x", "", 0, 1,
                 [&](const protocol::CallResult&) { ++answered; });
  EXPECT_LE(b.out.calls.size(), 70u);
  const auto before = b.out.calls.size();
  b.state.call(StateClient::Urgency::kLease, "POST", "/renew", "", 0, 1, [](const protocol::CallResult&) {});
  EXPECT_EQ(b.out.calls.size(), before + 1);
  for (int i = 0; i < 20; ++i) b.step(0.05);
  EXPECT_LE(b.out.calls.size(), 142u);
  // Beyond the bound of the queue a call is refused at the next tick instead of waiting without end.
  for (std::size_t i = 0; i < constants::kStateQueueMax + 10; ++i)
    b.state.call(StateClient::Urgency::kNormal, "GET", "/x", "", 0, 1,
                 [&](const protocol::CallResult&) { ++answered; });
  b.step(0.001);
  EXPECT_GT(answered, 0);
}

}  // namespace
}  // namespace robinford::bookkeeping
