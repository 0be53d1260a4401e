/// @file
/// Tracks the other controllers: their links and last status, which of them leads, and which followers can
/// take work from the leader.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "protocol/peer_codec.hpp"
#include "protocol/settings.hpp"

namespace robinford::coordination {

/// Owns the last known state of each other controller. All times are seconds of the steady clock. A peer is
/// fresh while its last status is no older than `kPeerStatusFreshS`; an older status is not relied on.
class PeerTable {
 public:
  /// State of one other controller according to its last status.
  struct Peer {
    bool linked = false;  ///< this controller's link to it is up
    std::uint64_t incarnation = 0;
    std::uint64_t term = 0;
    bool leading = false;
    bool ready = false;     ///< it leads and has loaded its ledger
    bool state_ok = false;  ///< it recently got an answer from the state service
    double last_contact = kNever;
  };
  /// Result of processing a status.
  enum class StatusOutcome : std::uint8_t {
    kApplied,
    kOutdated,  ///< its incarnation and its term are both lower than the ones known
  };

  explicit PeerTable(const protocol::Settings& settings);

  const std::map<std::string, Peer>& all() const { return peers_; }
  bool contains(const std::string& member) const { return peers_.contains(member); }
  /// Returns whether the last status of `member`, which must be a known peer, said that it is ready.
  bool is_ready(const std::string& member) const { return peers_.at(member).ready; }

  void mark_link_up(const std::string& member) { peers_[member].linked = true; }
  /// Marks the link as down and clears the time of last contact, so that the peer is not fresh before its
  /// next status.
  void mark_link_down(const std::string& member);
  /// Stores the status of a known member.
  StatusOutcome apply_status(const protocol::PeerMessage& status, double now);
  /// Records that the member refused a request because it does not lead; its next status may change this.
  void mark_not_leading(const std::string& member) { peers_.at(member).leading = false; }

  /// Returns the fresh, linked peer that leads with the highest term; empty if there is none.
  std::string leader(double now) const;
  /// Returns whether any peer is fresh, no matter whether this controller's link to it is up.
  bool any_in_contact(double now) const;
  /// Returns whether a fresh, linked peer leads and is ready to serve users.
  bool has_ready_leader(double now) const;
  /// Returns whether any fresh peer reaches the state service and so could serve users.
  bool any_reaches_state(double now) const;
  /// Returns the next follower, in round-robin order, that workers may send heartbeats to: it is fresh,
  /// linked and reaches the state service. Empty if there is none.
  std::string next_heartbeat_follower(double now);
  /// Returns the next fresh, linked follower, in round-robin order, for a direct call of this leader; empty
  /// if there is none.
  std::string next_direct_call_follower(double now);

 private:
  static constexpr double kNever = -1e9;
  /// Returns the seconds since the last status of the peer; very large if there was none, or none since
  /// the link to it went down.
  static double seconds_since_contact(const Peer& peer, double now) { return now - peer.last_contact; }
  static bool is_fresh_follower(const Peer& peer, double now);

  std::map<std::string, Peer> peers_;
  std::size_t next_follower_ = 0;  ///< round-robin position, shared by heartbeats and direct calls
};

}  // namespace robinford::coordination
