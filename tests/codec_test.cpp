// The codec between controllers: round trips, and bytes that nobody sane would send.
#include <gtest/gtest.h>

#include <limits>
#include <random>

#include "protocol/peer_codec.hpp"

namespace robinford::protocol {
namespace {

TEST(Varint, RoundTripsAndHasOneForm) {
  for (const std::uint64_t value : {std::uint64_t{0}, std::uint64_t{127}, std::uint64_t{128}, std::uint64_t{300},
                                    std::numeric_limits<std::uint64_t>::max()}) {
    std::string bytes;
    put_varint(bytes, value);
    std::string_view in(bytes);
    EXPECT_EQ(take_varint(in), value);
    EXPECT_TRUE(in.empty());
  }
  for (const std::string& bad : {std::string("\x80", 1), std::string("\x80\x00", 2), std::string(11, '\xff')}) {
    std::string_view in(bad);
    EXPECT_FALSE(take_varint(in)) << bad.size();
    EXPECT_EQ(in.size(), bad.size());
  }
}

PeerMessage sample(PeerKind kind) {
  PeerMessage m;
  m.kind = kind;
  m.member = "herder-1";
  m.incarnation = 0xfedcba9876543210;
  m.term = 41;
  m.leading = m.state_ok = kind == PeerKind::kStatus;
  if (kind == PeerKind::kForward) m.method = "POST", m.target = "/x", m.body = std::string("{\"a\":\0}", 7), m.request = 9;
  if (kind == PeerKind::kAnswer) m.status = 503, m.retry_after_s = 2, m.body = "{}", m.request = 9;
  if (kind == PeerKind::kNudge) m.job = 412;
  return m;
}

TEST(PeerCodec, RoundTripsEveryKind) {
  for (const auto kind : {PeerKind::kStatus, PeerKind::kForward, PeerKind::kAnswer, PeerKind::kNudge}) {
    const auto message = sample(kind);
    const auto back = decode(encode(message));
    ASSERT_TRUE(back);
    EXPECT_EQ(encode(*back), encode(message));
    EXPECT_EQ(back->member, message.member);
    EXPECT_EQ(back->body, message.body);
    EXPECT_EQ(back->job, message.job);
    EXPECT_EQ(back->leading, message.leading);
  }
}

TEST(PeerCodec, RefusesCutAndLengthenedFrames) {
  for (const auto kind : {PeerKind::kStatus, PeerKind::kForward, PeerKind::kAnswer, PeerKind::kNudge}) {
    const std::string whole = encode(sample(kind));
    for (std::size_t size = 0; size < whole.size(); ++size) EXPECT_FALSE(decode(whole.substr(0, size))) << size;
    EXPECT_FALSE(decode(whole + "x"));
  }
}

TEST(PeerCodec, SurvivesHostileBytes) {
  std::mt19937_64 random(7);
  const std::string whole = encode(sample(PeerKind::kForward));
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = whole;
    for (int flips = 1 + static_cast<int>(random() % 4); flips > 0; --flips) bytes[random() % bytes.size()] = static_cast<char>(random());
    if (const auto message = decode(bytes)) {
      EXPECT_EQ(encode(*message), bytes);
    }
  }
}

}  // namespace
}  // namespace robinford::protocol
