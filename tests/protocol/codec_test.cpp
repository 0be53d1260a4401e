// The codec between controllers: round trips, and bytes that nobody sane would send.
#include <gtest/gtest.h>

#include <iterator>
#include <limits>
#include <random>

#include "protocol/peer_codec.hpp"

namespace robinford::protocol {
namespace {

TEST(Varint, RoundTripsAndHasOneForm) {
  for (const std::uint64_t value : {std::uint64_t{0}, std::uint64_t{127}, std::uint64_t{128},
                                    std::uint64_t{300}, std::numeric_limits<std::uint64_t>::max()}) {
    std::string bytes;
    put_varint(bytes, value);
    std::string_view in(bytes);
    EXPECT_EQ(take_varint(in), value);
    EXPECT_TRUE(in.empty());
  }
  for (const std::string& bad :
       {std::string("\x80", 1), std::string("\x80\x00", 2), std::string(11, '\xff')}) {
    std::string_view in(bad);
    EXPECT_FALSE(take_varint(in)) << bad.size();
    EXPECT_EQ(in.size(), bad.size());
  }
}

constexpr PeerKind kKinds[] = {PeerKind::kStatus,
                               PeerKind::kForward,
                               PeerKind::kAnswer,
                               PeerKind::kCancellationsAnnounced,
                               PeerKind::kJobChanged,
                               PeerKind::kHeartbeat,
                               PeerKind::kUnchangedHeartbeat,
                               PeerKind::kCommands,
                               PeerKind::kProbe,
                               PeerKind::kProbeResult,
                               PeerKind::kQuota};

PeerMessage sample(PeerKind kind) {
  PeerMessage m;
  m.kind = kind;
  m.member = "herder-1";
  m.incarnation = 0xfedcba9876543210;
  m.term = 41;
  m.leading = m.state_ok = kind == PeerKind::kStatus;
  if (kind == PeerKind::kForward)
    m.method = "POST", m.target = "/x", m.body = std::string("{\"a\":\0}", 7), m.request = 9;
  if (kind == PeerKind::kAnswer) m.status = 503, m.retry_after_s = 2, m.body = "{}", m.request = 9;
  if (kind == PeerKind::kQuota) m.body = std::string("\x01\x00\xff", 3);
  if (kind == PeerKind::kJobChanged) m.job = 412;
  if (kind == PeerKind::kCancellationsAnnounced) m.first = 300, m.jobs = {412, 7, 100000};
  if (kind == PeerKind::kStatus)
    m.probe = 77777, m.echo = 700, m.echo_incarnation = 1u << 30, m.announced = 302, m.taken = 3;
  if (kind == PeerKind::kHeartbeat || kind == PeerKind::kUnchangedHeartbeat ||
      kind == PeerKind::kProbeResult) {
    m.request = 9, m.status = kind == PeerKind::kProbeResult ? 200 : 0;
    m.heartbeat.machine = "host-000231", m.heartbeat.agent_epoch = 3, m.heartbeat.seq = 700,
    m.heartbeat.fencing_token = 41;
    m.base_seq = kind == PeerKind::kUnchangedHeartbeat ? 699 : 0;
  }
  if (kind == PeerKind::kHeartbeat || kind == PeerKind::kProbeResult) {
    m.heartbeat.addr = "10.1.0.232:9000", m.heartbeat.type = "g8", m.heartbeat.zone = "a",
    m.heartbeat.spot = true, m.heartbeat.interruption_notice_s = 12.5;
    m.heartbeat.tasks = {{{412, 3}, 7, TaskPhase::kRunning, ExitReason::kNone, false},
                         {{412, 4}, 7, TaskPhase::kExited, ExitReason::kStopped, true}};
  }
  if (kind == PeerKind::kCommands || kind == PeerKind::kProbe) {
    m.request = 9, m.status = kind == PeerKind::kCommands ? 200 : 0;
    m.commands = {{Command::Op::kLaunch, {412, 3}, 7, 0},
                  {Command::Op::kStop, {412, 4}, 7, 2.25},
                  {Command::Op::kClear, {412, 5}, 6, 0}};
  }
  if (kind == PeerKind::kProbe) m.target = "10.1.0.232:9000", m.base_seq = 3;
  return m;
}

TEST(PeerCodec, RoundTripsEveryKind) {
  for (const auto kind : kKinds) {
    const auto message = sample(kind);
    const auto back = decode(encode(message));
    ASSERT_TRUE(back);
    EXPECT_EQ(encode(*back), encode(message));
    EXPECT_EQ(back->member, message.member);
    EXPECT_EQ(back->body, message.body);
    EXPECT_EQ(back->job, message.job);
    EXPECT_EQ(back->jobs, message.jobs);
    EXPECT_EQ(back->first, message.first);
    EXPECT_EQ(back->echo, message.echo);
    EXPECT_EQ(back->announced, message.announced);
    EXPECT_EQ(back->leading, message.leading);
    EXPECT_EQ(back->heartbeat.machine, message.heartbeat.machine);
    EXPECT_EQ(back->heartbeat.tasks.size(), message.heartbeat.tasks.size());
    EXPECT_EQ(heartbeat_state(back->heartbeat), heartbeat_state(message.heartbeat));
    EXPECT_EQ(back->commands.size(), message.commands.size());
  }
}

std::string hex(const std::string& bytes) {
  std::string text;
  for (const unsigned char byte : bytes) {
    text.push_back("0123456789abcdef"[byte >> 4]);
    text.push_back("0123456789abcdef"[byte & 15]);
  }
  return text;
}

// Recorded from the production version (845cdd3), which closes a link on anything else.
TEST(PeerCodec, SpeaksTheBytesOfTheProductionVersion) {
  const std::pair<PeerKind, const char*> recorded[] = {
      {PeerKind::kStatus, "0301086865726465722d3190e4d0b287d3aeeefe012905d1df04bc058080808004ae0203"},
      {PeerKind::kForward, "0302086865726465722d3190e4d0b287d3aeeefe01290904504f5354022f78077b2261223a007d"},
      {PeerKind::kAnswer, "0303086865726465722d3190e4d0b287d3aeeefe012909f70302027b7d"},
      {PeerKind::kCancellationsAnnounced, "030a086865726465722d3190e4d0b287d3aeeefe0129ac02039c0307a08d06"},
      {PeerKind::kJobChanged, "0304086865726465722d3190e4d0b287d3aeeefe01299c03"},
      {PeerKind::kHeartbeat,
       "0305086865726465722d3190e4d0b287d3aeeefe0129090b686f73742d30303032333103bc05290f31302e312e"
       "302e3233323a39303030026738016103d461029c030307029c0304079401"},
      {PeerKind::kUnchangedHeartbeat,
       "0306086865726465722d3190e4d0b287d3aeeefe0129090b686f73742d30303032333103bc0529bb05"},
      {PeerKind::kCommands,
       "0307086865726465722d3190e4d0b287d3aeeefe012909c80103009c030307019c030407ca11029c030506"},
      {PeerKind::kProbe,
       "0308086865726465722d3190e4d0b287d3aeeefe0129090f31302e312e302e3233323a393030300303009c0303"
       "07019c030407ca11029c030506"},
      {PeerKind::kProbeResult,
       "0309086865726465722d3190e4d0b287d3aeeefe012909c8010b686f73742d30303032333103bc05290f31302e"
       "312e302e3233323a39303030026738016103d461029c030307029c0304079401"}};
  for (const auto& [kind, bytes] : recorded) EXPECT_EQ(hex(encode(sample(kind))), bytes);
}

TEST(PeerCodec, RefusesCutAndLengthenedFrames) {
  for (const auto kind : kKinds) {
    const std::string whole = encode(sample(kind));
    for (std::size_t size = 0; size < whole.size(); ++size)
      EXPECT_FALSE(decode(whole.substr(0, size))) << size;
    EXPECT_FALSE(decode(whole + "x"));
  }
}

TEST(PeerCodec, SurvivesHostileBytes) {
  std::mt19937_64 random(7);
  for (int i = 0; i < 30000; ++i) {
    std::string bytes = encode(sample(kKinds[i % std::size(kKinds)]));
    for (int flips = 1 + static_cast<int>(random() % 4); flips > 0; --flips)
      bytes[random() % bytes.size()] = static_cast<char>(random());
    if (const auto message = decode(bytes)) {
      EXPECT_EQ(encode(*message), bytes);
    }
  }
}

TEST(PeerCodec, FramesHoldAnyNumberOfMessagesAndNothingElse) {
  std::string frame;
  for (const auto kind : kKinds) put_message(frame, sample(kind));
  const auto messages = decode_frame(frame);
  ASSERT_TRUE(messages);
  EXPECT_EQ(messages->size(), std::size(kKinds));
  EXPECT_FALSE(decode_frame(frame + "x"));
  EXPECT_FALSE(decode_frame(std::string_view(frame).substr(0, frame.size() - 1)));
  EXPECT_TRUE(decode_frame("")->empty());
}

}  // namespace
}  // namespace robinford::protocol
