/// @file
/// The last heartbeats that the leader has, of the machines that send their heartbeats to this controller.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "protocol/messages.hpp"

namespace robinford::coordination {

/// Owns the last heartbeat of each machine that a leader answered with 200. A heartbeat that changes nothing
/// can then be forwarded as a few bytes that name the earlier one.
class ForwardedHeartbeats {
 public:
  /// Keeps the heartbeats of at most `capacity` machines.
  explicit ForwardedHeartbeats(std::size_t capacity) : capacity_(capacity) {}

  /// The sequence number of a heartbeat that `leader` knows and that this one equals but for its own
  /// number; nothing if it has to be forwarded in full.
  std::optional<std::uint64_t> unchanged_since(const std::string& leader,
                                               const protocol::Heartbeat& heartbeat) const;
  /// The leader of the term answered the heartbeat with 200.
  void remember(const std::string& leader, std::uint64_t term, const protocol::Heartbeat& heartbeat);
  /// The leader refused the machine's heartbeat: it may not know it.
  void forget(const std::string& machine) { last_.erase(machine); }

 private:
  struct Last {
    std::string leader;
    std::uint64_t term = 0;
    std::uint64_t agent_epoch = 0;
    std::uint64_t seq = 0;
    std::string state;  ///< all else that it said: protocol::heartbeat_state
  };
  std::size_t capacity_;
  std::map<std::string, Last> last_;  ///< by machine
};

}  // namespace robinford::coordination
