/// @file
/// Caches the last heartbeats that this controller forwarded and that the leader has accepted.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "protocol/messages.hpp"

namespace robinford::coordination {

/// Holds the last forwarded heartbeat of each machine that a leader answered with 200. A later heartbeat with
/// the same contents can then be forwarded as a short reference to the earlier one.
class ForwardedHeartbeats {
 public:
  /// Caches the heartbeats of at most `capacity` machines.
  explicit ForwardedHeartbeats(std::size_t capacity) : capacity_(capacity) {}

  /// Returns the sequence number of an earlier heartbeat that `leader` has accepted and that this one repeats
  /// under a higher sequence number; the fencing token of this one must be the term of that answer. Empty if
  /// the heartbeat has to be forwarded in full.
  std::optional<std::uint64_t> unchanged_since(const std::string& leader,
                                               const protocol::Heartbeat& heartbeat) const;
  /// Stores a heartbeat that the leader of the term has answered with 200, unless the cache is full and does
  /// not contain the machine.
  void remember(const std::string& leader, std::uint64_t term, const protocol::Heartbeat& heartbeat);
  /// Removes the machine's cached heartbeat. Called after the leader refused a heartbeat of the machine:
  /// what the leader has stored of the machine may then differ from the cached heartbeat.
  void forget(const std::string& machine) { last_.erase(machine); }

 private:
  struct Last {
    std::string leader;
    std::uint64_t term = 0;
    std::uint64_t agent_epoch = 0;
    std::uint64_t seq = 0;
    std::string state;  ///< the other contents, from protocol::heartbeat_state
  };
  std::size_t capacity_;
  std::map<std::string, Last> last_;  ///< by machine
};

}  // namespace robinford::coordination
