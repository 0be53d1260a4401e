// The varint codec that controllers speak among themselves.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace robinford::protocol {

enum class PeerKind : std::uint8_t { kStatus = 1, kForward = 2, kAnswer = 3, kNudge = 4 };

// One message; which fields carry meaning depends on the kind.
struct PeerMessage {
  PeerKind kind = PeerKind::kStatus;
  std::string member;             // sender
  std::uint64_t incarnation = 0;  // sender's process, drawn at its start
  std::uint64_t term = 0;         // highest term the sender knows
  // kStatus
  bool leading = false;   // the sender holds a valid lease for `term`
  bool ready = false;     // a leader that has its ledger loaded
  bool state_ok = false;  // the state service answered the sender lately
  // kForward and kAnswer
  std::uint64_t request = 0;
  std::string method, target, body;
  std::uint64_t status = 0, retry_after_s = 0;
  // kNudge: a job that the sender wrote into the ledger itself
  std::uint64_t job = 0;
};

void put_varint(std::string& out, std::uint64_t value);
// Takes a varint off the front; nothing (and `in` untouched) when it is cut short, too long or not minimal.
std::optional<std::uint64_t> take_varint(std::string_view& in);

std::string encode(const PeerMessage& message);
std::optional<PeerMessage> decode(std::string_view frame);

}  // namespace robinford::protocol
