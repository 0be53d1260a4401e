/// @file
/// Frames to the other controllers, filled message by message.
#pragma once

#include <map>
#include <string>

#include "coordination/controller_context.hpp"
#include "coordination/election/election.hpp"
#include "protocol/peer_codec.hpp"

namespace robinford::coordination {

/// Owns one unsent frame for each other controller. Messages travel together, one frame a tick, because each
/// packet costs more than the bytes in it; a frame of `kPeerBatchBytes` or more leaves at once.
class PeerFrames {
 public:
  PeerFrames(ControllerContext& context, const Election& election) : context_(context), election_(election) {}

  /// Signs the message with this process and its term, and appends it to the member's frame.
  void send(const std::string& member, protocol::PeerMessage message);
  /// Moves the member's frame into the outbox; an empty frame is not sent.
  void flush(const std::string& member);
  /// Drops what the member's link can't carry any more.
  void discard(const std::string& member) { unsent_[member].clear(); }

 private:
  ControllerContext& context_;
  const Election& election_;
  std::map<std::string, std::string> unsent_;  ///< encoded messages, by member
};

}  // namespace robinford::coordination
