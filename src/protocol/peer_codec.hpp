// The varint codec that controllers speak among themselves.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/messages.hpp"

namespace robinford::protocol {

enum class PeerKind : std::uint8_t {
  kStatus = 1,
  kForward = 2,  // a user's request
  kAnswer = 3,   // its answer
  kJobChanged = 4,
  kHeartbeat = 5,                // a worker's heartbeat in full
  kUnchangedHeartbeat = 6,       // a worker's heartbeat that changes nothing since the one named
  kCommands = 7,                 // the answer to either
  kProbe = 8,                    // put a direct probe to a worker for me
  kProbeResult = 9,              // what it said
  kCancellationsAnnounced = 10,  // cancellations that the sender's users were told of
  kQuota = 11,                   // of quota leases; its body has a codec of its own
};

// One message; which fields carry meaning depends on the kind.
struct PeerMessage {
  PeerKind kind = PeerKind::kStatus;
  std::string member;             // sender
  std::uint64_t incarnation = 0;  // sender's process, drawn at its start
  std::uint64_t term = 0;         // highest term the sender knows
  // kStatus
  bool leading = false;     // the sender holds a valid lease for `term`
  bool ready = false;       // a leader that has its ledger loaded
  bool state_ok = false;    // the state service answered the sender lately
  std::uint64_t probe = 0;  // the moment of sending, for the receiver to echo
  std::uint64_t echo = 0,
                echo_incarnation = 0;  // the receiver's last probe, and the process that asked it
  std::uint64_t announced = 0;         // cancellations that the sender's process has told users of, up to now
  std::uint64_t taken = 0;  // of the receiver's (of the process named above), those that the sender knows
  // kCancellationsAnnounced: the number of the first, and the jobs
  std::uint64_t first = 0;
  std::vector<std::uint64_t> jobs;
  // kForward and kAnswer; of kQuota the body
  std::uint64_t request = 0;
  std::string method, target, body;
  std::uint64_t status = 0, retry_after_s = 0;
  // kJobChanged: a job that the sender wrote into the ledger itself
  std::uint64_t job = 0;
  // kHeartbeat, kProbeResult: what the worker says. kUnchangedHeartbeat: only its machine, agent epoch, count
  // and token.
  Heartbeat heartbeat;
  std::uint64_t base_seq = 0;  // kUnchangedHeartbeat: the heartbeat that this one equals
  // kCommands, kProbe. Of kProbe the worker's address is `target`, and the agent epoch for which the commands
  // hold `base_seq`.
  std::vector<Command> commands;
};

void put_varint(std::string& out, std::uint64_t value);
// Takes a varint off the front; nothing (and `in` untouched) when it is cut short, too long or not minimal.
std::optional<std::uint64_t> take_varint(std::string_view& in);

std::string encode(const PeerMessage& message);
std::optional<PeerMessage> decode(std::string_view message);

// All that a heartbeat says beside its count, as bytes that can be compared.
std::string heartbeat_state(const Heartbeat& heartbeat);

// A frame is any number of messages, each behind its length.
void put_message(std::string& frame, const PeerMessage& message);
// Nothing when any message of the frame makes no sense.
std::optional<std::vector<PeerMessage>> decode_frame(std::string_view frame);

}  // namespace robinford::protocol
