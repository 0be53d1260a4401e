// Parts of quota leases: options, records, messages, lessee, lessor, allotment, claims.
#include <gtest/gtest.h>

#include "constants.hpp"
#include "quota/allotter.hpp"
#include "quota/lease_options.hpp"
#include "quota/lease_record.hpp"
#include "quota/lessee.hpp"
#include "quota/lessor.hpp"

namespace robinford::quota {
namespace {
namespace c = constants;

constexpr std::uint64_t kIncarnation = 77;
constexpr std::uint64_t kTerm = 3;

protocol::JobSpec job(protocol::JobId id, std::uint32_t tasks, double cpus, bool gang = false) {
  protocol::JobSpec spec;
  spec.id = id;
  spec.team = "red";
  spec.tasks = tasks;
  spec.cpus = cpus;
  spec.gang = gang;
  return spec;
}

// The state service carries text.
boost::json::value as_read(const boost::json::object& value) {
  return boost::json::parse(boost::json::serialize(value));
}

Amount cpus(double count) { return rounded_down(count, 0); }

// ---------------------------------------------------------------- amounts

TEST(QuotaAmount, RoundsAgainstTheTaker) {
  EXPECT_EQ(rounded_up(0.0001, 0).cpus, 1);
  EXPECT_EQ(rounded_down(0.9999, 0).cpus, 999);
  EXPECT_EQ(rounded_up(0.1, 0), rounded_down(0.1, 0));
  EXPECT_TRUE(covers({0, -5}, {0, 0}));
  EXPECT_FALSE(covers({10, 0}, {10, 1}));
  EXPECT_EQ(times_covered({7, 9}, {2, 3}, 10), 3u);
  EXPECT_EQ(times_covered({-7, 0}, {2, 0}, 10), 0u);
}

// ---------------------------------------------------------------- switch file

std::string refusal(const std::string& text) {
  try {
    parse_lease_options(text);
  } catch (const LeaseOptionsError& error) {
    return error.what();
  }
  return {};
}

TEST(LeaseOptions, ReadsASwitchFile) {
  const auto options = parse_lease_options("[quota_leases]\nenabled = true\nttl_s = 8\nleased_share = 0.4\n");
  EXPECT_TRUE(options.enabled);
  EXPECT_EQ(options.ttl_s, 8);
  EXPECT_EQ(options.leased_share, 0.4);
  EXPECT_FALSE(parse_lease_options("[quota_leases]\nenabled = false\n").enabled);
}

TEST(LeaseOptions, RefusesByNameOfKey) {
  const std::string head = "[quota_leases]\nenabled = true\n";
  EXPECT_NE(refusal(head + "tll_s = 8\n").find("tll_s"), std::string::npos);
  EXPECT_NE(refusal(head + "ttl_s = 0.5\n").find("ttl_s"), std::string::npos);
  EXPECT_NE(refusal(head + "ttl_s = nan\n").find("ttl_s"), std::string::npos);
  EXPECT_NE(refusal(head + "leased_share = \"half\"\n").find("leased_share"), std::string::npos);
  EXPECT_NE(refusal(head + "write_share = [1]\n").find("write_share"), std::string::npos);
  EXPECT_NE(refusal("[quota_leases]\nttl_s = 8\n").find("enabled"), std::string::npos);
  EXPECT_NE(refusal("[quota_leases]\nenabled = 1\n").find("enabled"), std::string::npos);
  EXPECT_NE(refusal(head + "[other]\n").find("other"), std::string::npos);
  EXPECT_NE(refusal("enabled = true\n").find("enabled"), std::string::npos);
  EXPECT_NE(refusal("").find("quota_leases"), std::string::npos);
  EXPECT_NE(refusal("[quota_leases").find("line"), std::string::npos);
}

// ---------------------------------------------------------------- records

TEST(LeaseRecords, AreReadAsWritten) {
  const LeaseRecord record{"m-1", 50331649, 9, {{"red", {16000, 2000}, 50331650}, {"blue", {1, 0}, 7}}};
  const boost::json::value value = encode_lease(record);
  const auto decoded = decode_lease(boost::json::parse(boost::json::serialize(value)));
  ASSERT_TRUE(std::holds_alternative<LeaseRecord>(decoded));
  EXPECT_EQ(std::get<LeaseRecord>(decoded), record);
  // Recorded bytes: later versions go on reading them.
  EXPECT_EQ(
      boost::json::serialize(value),
      R"({"member":"m-1","epoch":50331649,"inc":9,"parts":[["red",16000,2000,50331650],["blue",1,0,7]]})");
  EXPECT_GE(encoded_size(record.parts[0]), boost::json::serialize(value.at("parts").at(0)).size());
}

TEST(LeaseRecords, MalformedOnesAreErrors) {
  for (const char* text :
       {"7", "{}", R"({"member":"m","epoch":1,"inc":1})", R"({"member":"","epoch":1,"inc":1,"parts":[]})",
        R"({"member":"m","epoch":0,"inc":1,"parts":[]})", R"({"member":"m","epoch":1.5,"inc":1,"parts":[]})",
        R"({"member":"m","epoch":1,"inc":1,"parts":[["red",-1,0,1]]})",
        R"({"member":"m","epoch":1,"inc":1,"parts":[["red",1e300,0,1]]})",
        R"({"member":"m","epoch":1,"inc":1,"parts":[["red",1,0]]})",
        R"({"member":"m","epoch":1,"inc":1,"parts":[["red",1,0,1],["red",1,0,2]]})"})
    EXPECT_TRUE(std::holds_alternative<RecordError>(decode_lease(boost::json::parse(text)))) << text;
}

// ---------------------------------------------------------------- messages

LesseeMessage lessee_message() {
  LesseeMessage message;
  message.lessor_incarnation = 4;
  message.epoch = 5;
  message.probe = 60'000;
  message.refunds_taken = 2;
  message.with_parts = true;
  message.grants.push_back({1, 412, "red", 3, {1000, 0}});
  message.parts.push_back({"red", 9, {8000, 1000}, {500, 0}});
  return message;
}

LessorMessage lessor_message() {
  LessorMessage message;
  message.incarnation = kIncarnation;
  message.lessor_incarnation = 4;
  message.epoch = 5;
  message.probe = 60'000;
  message.grants_taken = 1;
  message.refunds.push_back({1, 412, 3});
  message.parts.push_back({"red", 9, {8000, 0}, {4000, 0}});
  return message;
}

TEST(QuotaMessages, AreReadAsWritten) {
  EXPECT_EQ(decode_lessee(encode(lessee_message())), lessee_message());
  EXPECT_EQ(decode_lessor(encode(lessor_message())), lessor_message());
  EXPECT_TRUE(is_lessor_message(encode(lessor_message())));
  EXPECT_FALSE(is_lessor_message(encode(lessee_message())));
}

TEST(QuotaMessages, CutOrLongerOnesAreRefused) {
  for (const auto& bytes : {encode(lessee_message()), encode(lessor_message())})
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      EXPECT_FALSE(decode_lessee(bytes.substr(0, size)));
      EXPECT_FALSE(decode_lessor(bytes.substr(0, size)));
    }
  EXPECT_FALSE(decode_lessee(encode(lessee_message()) + "x"));
  EXPECT_FALSE(decode_lessor(encode(lessee_message())));
  auto large = lessee_message();
  large.parts[0].size.cpus = static_cast<std::int64_t>(c::kThousandthsMax) + 1;
  EXPECT_FALSE(decode_lessee(encode(large)));
}

// ---------------------------------------------------------------- lessee

class LesseeTest : public ::testing::Test {
 protected:
  LesseeTest() : lessee(LeaseOptions{}, kIncarnation) {}
  // The lessor's word with a part of so many cpus.
  LessorMessage offer(double size, std::uint64_t revision, double probe) {
    LessorMessage message;
    message.incarnation = kIncarnation;
    message.lessor_incarnation = 10;
    message.epoch = 10;
    message.probe = static_cast<std::uint64_t>(probe * 1000);
    message.parts.push_back({"red", revision, cpus(size), cpus(size)});
    return message;
  }
  Lessee lessee;
};

TEST_F(LesseeTest, GrantsOnlyWhatItHas) {
  EXPECT_FALSE(lessee.grant(job(1, 1, 1), 100));
  lessee.handle_lessor_message(offer(4, 1, 100), 100.1);
  EXPECT_EQ(lessee.grant(job(2, 3, 1), 100.2)->tasks, 3u);
  EXPECT_EQ(lessee.grant(job(3, 9, 1), 100.2)->tasks, 1u);  // an array takes what is left
  EXPECT_FALSE(lessee.grant(job(4, 1, 1), 100.2));
  EXPECT_FALSE(lessee.grant(job(2, 3, 1), 100.2));  // asked again: nothing new
  EXPECT_EQ(lessee.audit(), "");
  EXPECT_EQ(lessee.counters().granted, 2u);
}

TEST_F(LesseeTest, GrantsGangsWholeOrNotAtAll) {
  lessee.handle_lessor_message(offer(4, 1, 100), 100.1);
  EXPECT_FALSE(lessee.grant(job(1, 5, 1, true), 100.2));
  EXPECT_EQ(lessee.grant(job(2, 4, 1, true), 100.2)->tasks, 4u);
}

// It stood still, and works through what came meanwhile: the moment of the grant counts.
TEST_F(LesseeTest, GrantsNothingOnceTheLeaseCouldBeOver) {
  lessee.handle_lessor_message(offer(4, 1, 100), 100.1);
  EXPECT_TRUE(lessee.valid(100 + LeaseOptions{}.ttl_s - 0.5));
  EXPECT_FALSE(lessee.valid(100 + LeaseOptions{}.ttl_s - 0.25));
  EXPECT_FALSE(lessee.grant(job(1, 1, 1), 106));
  // A late answer to an early question renews nothing beyond that question's time.
  lessee.handle_lessor_message(offer(4, 1, 100), 107);
  EXPECT_FALSE(lessee.grant(job(1, 1, 1), 107));
  EXPECT_EQ(lessee.counters().not_valid, 2u);
}

TEST_F(LesseeTest, RefundsTakeEffectOnceAndInOrder) {
  lessee.handle_lessor_message(offer(4, 1, 100), 100.1);
  lessee.grant(job(1, 4, 1), 100.2);
  auto message = offer(4, 1, 100);
  message.refunds = {{1, 1, 2}};
  lessee.handle_lessor_message(message, 100.3);
  lessee.handle_lessor_message(message, 100.4);
  EXPECT_EQ(lessee.promised(), cpus(2));
  message.refunds = {{3, 1, 2}};  // number 2 is missing
  lessee.handle_lessor_message(message, 100.5);
  EXPECT_EQ(lessee.promised(), cpus(2));
  message.refunds = {{2, 1, 2}, {3, 9, 1}};
  lessee.handle_lessor_message(message, 100.6);
  EXPECT_EQ(lessee.promised(), Amount{});
  EXPECT_EQ(lessee.outstanding(), 0u);
}

TEST_F(LesseeTest, GivesIdleCapacityBackAndNeverTakesItBySameRevision) {
  lessee.handle_lessor_message(offer(8, 1, 100), 100.1);
  lessee.grant(job(1, 2, 1), 100.2);
  auto recall = offer(8, 1, 100);
  recall.parts[0].keep = cpus(1);
  EXPECT_TRUE(lessee.handle_lessor_message(recall, 100.3));
  EXPECT_EQ(lessee.held(), cpus(2));  // what is promised stays
  lessee.handle_lessor_message(offer(8, 1, 100), 100.4);
  EXPECT_EQ(lessee.held(), cpus(2));
  lessee.handle_lessor_message(offer(6, 2, 100), 100.5);
  EXPECT_EQ(lessee.held(), cpus(6));
  lessee.tick(100.5 + LeaseOptions{}.idle_return_s + 0.1);
  EXPECT_EQ(lessee.held(), cpus(2));
}

TEST_F(LesseeTest, ResendsAllGrantsToANewLessorIncarnationAndDropsThemWithItsLease) {
  lessee.handle_lessor_message(offer(8, 1, 100), 100.1);
  lessee.grant(job(1, 2, 1), 100.2);
  ASSERT_TRUE(lessee.new_grants());
  EXPECT_FALSE(lessee.new_grants());
  auto message = offer(8, 1, 100);
  message.grants_taken = 1;
  lessee.handle_lessor_message(message, 100.3);
  EXPECT_TRUE(lessee.renewal(100.4).grants.empty());
  message.lessor_incarnation = 11;
  message.grants_taken = 0;
  EXPECT_TRUE(lessee.handle_lessor_message(message, 100.5));
  ASSERT_EQ(lessee.renewal(100.6).grants.size(), 1u);
  EXPECT_EQ(lessee.renewal(100.6).grants[0].number, 1u);
  message.epoch = 12;
  EXPECT_TRUE(lessee.handle_lessor_message(message, 100.7));
  EXPECT_EQ(lessee.outstanding(), 0u);
  EXPECT_FALSE(lessee.handle_lessor_message(offer(8, 5, 100), 100.8));  // a word about the former lease
  EXPECT_EQ(lessee.epoch(), 12u);
}

// A leader that becomes a follower again must not take a late answer from before for a lease.
TEST_F(LesseeTest, AnswersToProbesFromBeforeAResetRenewNothing) {
  lessee.handle_lessor_message(offer(8, 1, 100), 100.1);
  lessee.reset(101);
  lessee.handle_lessor_message(offer(8, 1, 100.5), 101.5);
  EXPECT_FALSE(lessee.valid(101.6));
}

// ---------------------------------------------------------------- lessor

class LessorTest : public ::testing::Test {
 protected:
  LessorTest() : settings(make_settings()), lessor(settings, LeaseOptions{}, ledgers()) {}

  static protocol::Settings make_settings() {
    protocol::Settings s;
    s.member = "m-0";
    s.teams.push_back({"red", 8, 16, 0, 0});
    return s;
  }
  Lessor::LeaderAccounts ledgers() {
    return {[this](protocol::JobId id) { return views.contains(id) ? views.at(id) : JobView{}; },
            [this](const std::string&) { return used; }};
  }
  void begin(const std::vector<StoredLease>& records = {}) {
    lessor.begin(kTerm, now);
    EXPECT_TRUE(lessor.needs_loading());
    lessor.on_loading_started();
    lessor.on_records_loaded(records, now);
  }
  LesseeMessage hello() {
    LesseeMessage message;
    message.probe = ++probes;
    return message;
  }
  // What the lessee says next, by the last answer.
  LesseeMessage say(double demand = 0) {
    LesseeMessage message;
    message.lessor_incarnation = reply.lessor_incarnation;
    message.epoch = reply.epoch;
    message.probe = ++probes;
    message.with_parts = true;
    HeldPart part{"red", 0, {}, cpus(demand)};
    if (!reply.parts.empty()) {
      part.revision = reply.parts[0].revision;
      part.size = reply.parts[0].size;
    }
    message.parts.push_back(part);
    return message;
  }
  bool send_to_lessor(const LesseeMessage& message, const std::string& member = "m-1",
                      std::uint64_t incarnation = kIncarnation) {
    const auto answer = lessor.handle_lessee_message(member, incarnation, message, now);
    if (answer) reply = *answer;
    return answer.has_value();
  }
  // A lease of m-1, grown by demand and on record.
  void lease(double demand) {
    send_to_lessor(hello());
    send_to_lessor(say(demand));
    now += 1.1;
    lessor.tick(now);
    for (const auto& write : lessor.take_writes(now)) lessor.written(write.key, ++mod_revision);
    send_to_lessor(say(demand));
  }
  static StoredLease stored(const LeaseRecord& record) {
    return {lease_key(record.member, 0), 5, as_read(encode_lease(record))};
  }

  double now = 100;
  Amount used;
  std::map<protocol::JobId, JobView> views;
  std::uint64_t mod_revision = 50, probes = 0;
  LessorMessage reply;
  protocol::Settings settings;
  Lessor lessor;
};

TEST_F(LessorTest, PlacesNothingBeforeTheRecordsAreRead) {
  lessor.begin(kTerm, now);
  EXPECT_FALSE(lessor.permits(job(1, 1, 1), 1, 0, 0, 0));
  EXPECT_FALSE(send_to_lessor(hello()));
  lessor.on_records_loaded({}, now);
  EXPECT_TRUE(lessor.permits(job(1, 1, 1), 1, 0, 0, 0));
}

TEST_F(LessorTest, OffersAPartOnlyOnceItIsOnRecord) {
  begin();
  send_to_lessor(hello());
  send_to_lessor(say(4));
  now += 1.1;
  lessor.tick(now);
  const auto writes = lessor.take_writes(now);
  ASSERT_EQ(writes.size(), 1u);
  send_to_lessor(say(4));
  EXPECT_TRUE(reply.parts.empty());
  EXPECT_FALSE(lessor.permits(job(1, 16, 1, true), 16, 0, 0, 0));  // it counts as taken already
  lessor.written(writes[0].key, 51);
  send_to_lessor(say(4));
  ASSERT_EQ(reply.parts.size(), 1u);
  EXPECT_EQ(reply.parts[0].size, cpus(4));
}

TEST_F(LessorTest, LeasesAtMostItsShareAndWhatIsFree) {
  begin();
  lease(100);
  EXPECT_LE(lessor.ledger().leased("red").cpus, cpus(8).cpus);
  used = cpus(16);
  const auto before = lessor.ledger().leased("red");
  lease(100);
  EXPECT_EQ(lessor.ledger().leased("red"), before);
}

TEST_F(LessorTest, AGrantedJobUsesItsPartAndOthersTheRest) {
  begin();
  lease(8);
  const auto part = lessor.ledger().leased("red");
  ASSERT_EQ(part, cpus(8));
  auto message = say(8);
  message.grants.push_back({1, 1, "red", 8, cpus(1)});
  views[1] = {JobView::State::kLive, 8, 0};
  send_to_lessor(message);
  EXPECT_TRUE(lessor.permits(job(2, 8, 1, true), 8, 0, 0, 0));
  EXPECT_FALSE(lessor.permits(job(2, 9, 1, true), 9, 0, 0, 0));
  EXPECT_TRUE(lessor.permits(job(1, 8, 1, true), 8, 8, 0, 0));
  lessor.charged(job(1, 8, 1, true), 8);
  EXPECT_TRUE(lessor.exposure().is_zero());
  EXPECT_EQ(lessor.audit(), "");
}

TEST_F(LessorTest, RefusesGrantsThatNoPartCovers) {
  begin();
  lease(8);
  auto message = say(8);
  message.grants.push_back({1, 1, "red", 9, cpus(1)});
  message.grants.push_back({2, 2, "blue", 1, cpus(1)});
  message.grants.push_back({3, 3, "red", 8, cpus(1)});
  send_to_lessor(message);
  message.probe = ++probes;
  send_to_lessor(message);  // repeated: taken already
  EXPECT_EQ(lessor.counters().grants_refused, 2u);
  EXPECT_EQ(lessor.counters().grants_taken, 1u);
  EXPECT_EQ(reply.refunds.size(), 2u);
  EXPECT_EQ(reply.grants_taken, 3u);
}

TEST_F(LessorTest, AnUnrenewedLeaseIsCountedUntilItIsSurelyOver) {
  begin();
  lease(8);
  const double answered = now;
  now = answered + LeaseOptions{}.ttl_s;
  lessor.tick(now);
  EXPECT_FALSE(lessor.permits(job(1, 16, 1, true), 16, 0, 0, 0));
  now = answered + LeaseOptions{}.ttl_s * (1 + c::kClockDrift) + c::kLeaseMarginS + 0.01;
  lessor.tick(now);
  EXPECT_TRUE(lessor.permits(job(1, 16, 1, true), 16, 0, 0, 0));
  EXPECT_EQ(lessor.counters().leases_expired, 1u);
}

// A late copy once closed a lease that its holder went on granting from.
TEST_F(LessorTest, LateCopiesChangeNothing) {
  begin();
  const auto first = hello();
  send_to_lessor(first);
  lease(8);
  const auto before = lessor.ledger().leased("red");
  EXPECT_FALSE(send_to_lessor(first));
  EXPECT_EQ(lessor.ledger().leased("red"), before);
  EXPECT_TRUE(lessor.ledger().leases().at("m-1").synchronized);
}

TEST_F(LessorTest, ANewProcessEndsTheLeaseOfTheOneBefore) {
  begin();
  lease(8);
  const auto old_epoch = reply.epoch;
  auto late = say(8);
  late.grants.push_back({1, 1, "red", 8, cpus(1)});
  reply = {};
  EXPECT_TRUE(send_to_lessor(hello(), "m-1", kIncarnation + 1));
  EXPECT_GT(reply.epoch, old_epoch);
  EXPECT_TRUE(lessor.exposure().is_zero());
  EXPECT_FALSE(send_to_lessor(late));  // a grant of the former process, still on its way
  EXPECT_EQ(lessor.counters().grants_taken, 0u);
}

TEST_F(LessorTest, RecordsCountInFullUntilTheirLeasesWouldBeOver) {
  begin({stored({"m-1", (2u << c::kAttemptCounterBits) | 1, kIncarnation, {{"red", cpus(10), 7}}})});
  EXPECT_FALSE(lessor.permits(job(1, 7, 1, true), 7, 0, 0, 0));
  EXPECT_TRUE(lessor.permits(job(1, 6, 1, true), 6, 0, 0, 0));
  now += LeaseOptions{}.ttl_s + 1;
  lessor.tick(now);
  EXPECT_TRUE(lessor.permits(job(1, 16, 1, true), 16, 0, 0, 0));
}

TEST_F(LessorTest, RecordsThatMakeNoSenseCountAsAllTaken) {
  auto future = stored({"m-1", (9u << c::kAttemptCounterBits) | 1, kIncarnation, {{"red", cpus(1), 7}}});
  auto moved = stored({"m-2", (2u << c::kAttemptCounterBits) | 1, kIncarnation, {{"red", cpus(1), 7}}});
  moved.key = lease_key("m-1", 0);
  const std::vector<StoredLease> bad{{"q/m-1/0", 5, boost::json::parse("{\"member\":3}")},
                                     future,
                                     moved,
                                     {"q/m-1/x", 5, as_read(encode_lease({"m-1", 1, 1, {}}))}};
  for (const auto& record : bad) {
    begin({record});
    EXPECT_FALSE(lessor.permits(job(1, 1, 1), 1, 0, 0, 0));
    now += LeaseOptions{}.ttl_s + 1;
    lessor.tick(now);
    EXPECT_TRUE(lessor.permits(job(1, 1, 1), 1, 0, 0, 0));
    const auto writes = lessor.take_writes(now);
    ASSERT_EQ(writes.size(), 1u);  // it is deleted then
    EXPECT_FALSE(writes[0].value);
  }
  EXPECT_EQ(lessor.counters().bad_records, 4u);
}

TEST_F(LessorTest, LeasesOfUnknownTeamsAndMembersAreHarmless) {
  begin({stored({"m-9", (2u << c::kAttemptCounterBits) | 1, kIncarnation, {{"gone", cpus(500), 7}}})});
  lessor.tick(now + 1);
  EXPECT_TRUE(lessor.permits(job(1, 16, 1, true), 16, 0, 0, 0));
  EXPECT_EQ(lessor.audit(), "");
}

TEST_F(LessorTest, PartsBeyondALoweredLimitAreRecalled) {
  begin({stored({"m-1", (2u << c::kAttemptCounterBits) | 1, kIncarnation, {{"red", cpus(20), 7}}})});
  auto message = hello();
  message.epoch = (2u << c::kAttemptCounterBits) | 1;
  send_to_lessor(message);
  send_to_lessor(say(0));
  ASSERT_EQ(reply.parts.size(), 1u);
  now += 0.3;
  lessor.tick(now);
  const auto messages = lessor.take_messages();
  ASSERT_EQ(messages.size(), 1u);
  EXPECT_EQ(messages[0].second.parts[0].keep, cpus(16));
  auto given = say(0);
  given.parts[0].size = cpus(16);
  send_to_lessor(given);
  now += 0.3;
  lessor.tick(now);
  EXPECT_TRUE(lessor.take_messages().empty());
}

TEST_F(LessorTest, AWideGangGetsIdlePartsBackAndNobodyOvertakesIt) {
  begin();
  lease(8);
  EXPECT_FALSE(lessor.permits(job(5, 16, 1, true), 16, 0, 0, 0));
  EXPECT_FALSE(lessor.permits(job(6, 1, 1), 1, 0, 0, 0));  // reserved for the gang
  now += 0.3;
  lessor.tick(now);
  const auto messages = lessor.take_messages();
  ASSERT_EQ(messages.size(), 1u);
  ASSERT_EQ(messages[0].second.parts.size(), 1u);
  EXPECT_TRUE(messages[0].second.parts[0].keep.is_zero());
  auto given = say(0);
  given.parts[0].size = {};
  send_to_lessor(given);
  EXPECT_TRUE(lessor.permits(job(5, 16, 1, true), 16, 0, 0, 0));
}

// Otherwise what one lessee gives back for a gang is leased to the next one.
TEST_F(LessorTest, NoLeaseGrowsWhileSomebodyClaims) {
  begin();
  lease(2);
  const auto before = lessor.ledger().leased("red");
  ASSERT_FALSE(before.is_zero());
  EXPECT_FALSE(lessor.permits(job(5, 16, 1, true), 16, 0, 0, 0));
  now += 1.1;
  send_to_lessor(say(8));
  lessor.tick(now);
  EXPECT_EQ(lessor.ledger().leased("red"), before);
}

TEST_F(LessorTest, GrantsThatDoNotStartAreRevokedForOthers) {
  begin();
  lease(8);
  auto message = say(8);
  message.grants.push_back({1, 1, "red", 8, cpus(1)});
  views[1] = {JobView::State::kLive, 8, 0};
  send_to_lessor(message);
  for (int i = 0; i < 11; ++i) {
    EXPECT_FALSE(lessor.permits(job(5, 16, 1, true), 16, 0, 0, 0));
    now += 1;
    send_to_lessor(say(0));
    lessor.tick(now);
  }
  EXPECT_EQ(lessor.counters().revoked_tasks, 8u);
  EXPECT_EQ(lessor.ledger().find_grant(1), nullptr);
}

TEST_F(LessorTest, RefundsOnceTheJobIsOffItsMachines) {
  begin();
  lease(8);
  auto message = say(8);
  message.grants.push_back({1, 1, "red", 4, cpus(1)});
  views[1] = {JobView::State::kLive, 4, 0};
  send_to_lessor(message);
  lessor.charged(job(1, 4, 1), 4);
  views[1] = {JobView::State::kOver, 0, 4};
  now += 0.3;
  lessor.tick(now);
  EXPECT_NE(lessor.ledger().find_grant(1), nullptr);
  lessor.refunded(job(1, 4, 1), 4);
  now += 0.3;
  lessor.tick(now);
  now += 0.3;
  lessor.tick(now);
  EXPECT_EQ(lessor.ledger().find_grant(1), nullptr);
  EXPECT_EQ(lessor.counters().refunds, 1u);
}

TEST_F(LessorTest, AChangedRecordStopsPlacingUntilAllAreReadAgain) {
  begin();
  send_to_lessor(hello());
  send_to_lessor(say(4));
  now += 1.1;
  lessor.tick(now);
  const auto writes = lessor.take_writes(now);
  ASSERT_EQ(writes.size(), 1u);
  lessor.not_written(writes[0].key, true);
  EXPECT_TRUE(lessor.needs_loading());
  EXPECT_FALSE(lessor.permits(job(1, 1, 1), 1, 0, 0, 0));
  lessor.on_loading_started();
  lessor.on_records_loaded({}, now);
  const auto before = reply.lessor_incarnation;
  send_to_lessor(say(4));
  EXPECT_GT(reply.lessor_incarnation, before);  // grants are told anew
}

TEST_F(LessorTest, PartsOfManyTeamsAreSpreadOverSlices) {
  settings.value_kb = 2;
  for (int i = 0; i < 200; ++i) settings.teams.push_back({"team-" + std::to_string(i), 8, 16, 0, 0});
  begin();
  send_to_lessor(hello());
  auto message = say(0);
  for (int i = 0; i < 200; ++i) message.parts.push_back({"team-" + std::to_string(i), 0, {}, cpus(4)});
  send_to_lessor(message);
  std::size_t parts = 0;
  for (int round = 0; round < 40; ++round) {
    now += 1.1;
    send_to_lessor(say(0));
    lessor.tick(now);
    for (const auto& write : lessor.take_writes(now)) {
      EXPECT_LT(boost::json::serialize(*write.value).size(), settings.value_bytes() - c::kValueSlackBytes);
      lessor.written(write.key, ++mod_revision);
    }
  }
  for (const auto& [team, part] : lessor.ledger().leases().at("m-1").parts) parts += part.durable ? 1 : 0;
  EXPECT_EQ(parts, 200u);
}

// ---------------------------------------------------------------- allotment and claims

TEST(Allotter, MeetsDemandInProportionWithinBudget) {
  TeamBudget budget{cpus(10), cpus(40), cpus(40), {}, 0.5};
  const auto growth = allot(budget, {{"a", {{}, {}, cpus(30)}}, {"b", {{}, {}, cpus(10)}}});
  EXPECT_EQ(growth.at("a").cpus, 3 * growth.at("b").cpus);
  EXPECT_LE((growth.at("a") + growth.at("b")).cpus, cpus(20).cpus);
  budget.available = {};
  EXPECT_TRUE(allot(budget, {{"a", {{}, {}, cpus(30)}}}).empty());
}

TEST(Allotter, DoesNotFollowSmallChanges) {
  const TeamBudget budget{cpus(100), cpus(400), cpus(400), {}, 0.5};
  EXPECT_TRUE(allot(budget, {{"a", {cpus(80), cpus(80), cpus(5)}}}).empty());
  EXPECT_FALSE(allot(budget, {{"a", {cpus(80), cpus(80), cpus(10)}}}).empty());
  EXPECT_TRUE(allot(budget, {{"a", {cpus(80), cpus(20), cpus(40)}}}).empty());
}

TEST(Claims, TheOldestGangGoesFirst) {
  Claims claims;
  claims.record_claim("red", 7, cpus(10), true, 1);
  claims.record_claim("red", 3, cpus(12), true, 2);
  claims.record_claim("red", 9, cpus(1), false, 0);
  EXPECT_TRUE(claims.reserved_before("red", 7).is_zero());
  EXPECT_EQ(claims.reserved_before("red", 3), cpus(10));
  EXPECT_EQ(claims.reserved_before("blue", 3), Amount{});
  claims.record_claim("red", 3, cpus(12), true, 4);
  claims.drop_stale(1 + c::kClaimStaleS + 0.1);
  EXPECT_TRUE(claims.reserved_before("red", 3).is_zero());
  claims.drop_claim("red", 3);
  EXPECT_TRUE(claims.empty("red"));
}

}  // namespace
}  // namespace robinford::quota
