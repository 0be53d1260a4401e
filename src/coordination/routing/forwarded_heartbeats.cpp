/// @file
/// Implementation of ForwardedHeartbeats.
#include "coordination/routing/forwarded_heartbeats.hpp"

#include "protocol/peer_codec.hpp"

namespace robinford::coordination {

std::optional<std::uint64_t> ForwardedHeartbeats::unchanged_since(
    const std::string& leader, const protocol::Heartbeat& heartbeat) const {
  const auto found = last_.find(heartbeat.machine);
  if (found == last_.end()) return std::nullopt;
  const Last& last = found->second;
  if (last.leader != leader || last.term != heartbeat.fencing_token ||
      last.agent_epoch != heartbeat.agent_epoch || last.seq >= heartbeat.seq ||
      last.state != protocol::heartbeat_state(heartbeat))
    return std::nullopt;
  return last.seq;
}

void ForwardedHeartbeats::remember(const std::string& leader, std::uint64_t term,
                                   const protocol::Heartbeat& heartbeat) {
  if (last_.size() >= capacity_ && !last_.contains(heartbeat.machine)) return;
  last_[heartbeat.machine] = {leader, term, heartbeat.agent_epoch, heartbeat.seq,
                              protocol::heartbeat_state(heartbeat)};
}

}  // namespace robinford::coordination
