/// @file
/// Batches messages to the other controllers into frames.
#pragma once

#include <map>
#include <string>

#include "coordination/controller_context.hpp"
#include "coordination/election/election.hpp"
#include "protocol/peer_codec.hpp"

namespace robinford::coordination {

/// Owns one unsent frame for each other controller. Messages are sent together, usually in one frame per
/// tick, because the cost of a packet exceeds that of its bytes. A frame that reaches `kPeerBatchBytes` and a
/// frame with a new announcement of a cancellation are sent immediately.
class PeerFrames {
 public:
  PeerFrames(ControllerContext& context, const Election& election) : context_(context), election_(election) {}

  /// Adds this member, its incarnation and its term to the message, and appends it to the frame for `member`.
  void send(const std::string& member, protocol::PeerMessage message);
  /// Moves the member's frame into the outbox; an empty frame is not sent.
  void flush(const std::string& member);
  /// Discards the member's unsent frame, since the link to it is down.
  void discard(const std::string& member) { unsent_[member].clear(); }

 private:
  ControllerContext& context_;
  const Election& election_;
  std::map<std::string, std::string> unsent_;  ///< encoded messages, by member
};

}  // namespace robinford::coordination
