/// @file
/// Implementation of PeerFrames.
#include "coordination/routing/peer_frames.hpp"

#include <utility>

#include "constants.hpp"

namespace robinford::coordination {

void PeerFrames::send(const std::string& member, protocol::PeerMessage message) {
  message.member = context_.settings.member;
  message.incarnation = context_.incarnation;
  message.term = election_.term();
  std::string& frame = unsent_[member];
  protocol::put_message(frame, message);
  if (frame.size() >= constants::kPeerBatchBytes) flush(member);
}

void PeerFrames::flush(const std::string& member) {
  std::string& frame = unsent_[member];
  if (frame.empty()) return;
  context_.out.sends.push_back({member, std::exchange(frame, {})});
}

}  // namespace robinford::coordination
