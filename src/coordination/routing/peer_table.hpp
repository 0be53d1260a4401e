/// @file
/// What this controller knows of the other controllers: links, last status, and who of them leads or helps.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "protocol/peer_codec.hpp"
#include "protocol/settings.hpp"

namespace robinford::coordination {

/// Owns the last known state of each other controller. All times are seconds of the steady clock. A peer is
/// fresh while its last status is no older than `kPeerFreshS`; an older status proves nothing.
class PeerTable {
 public:
  /// One other controller, by its last status.
  struct Peer {
    bool linked = false;  ///< our link to it is up
    std::uint64_t incarnation = 0;
    std::uint64_t term = 0;
    bool leading = false;
    bool ready = false;     ///< it leads, and has its ledger loaded
    bool state_ok = false;  ///< the state service answered it lately
    double last_contact = kNever;
  };
  /// What became of a status.
  enum class StatusOutcome : std::uint8_t {
    kApplied,
    kOutdated,  ///< it is of an earlier process than the one known
  };

  explicit PeerTable(const protocol::Settings& settings);

  const std::map<std::string, Peer>& all() const { return peers_; }
  bool contains(const std::string& member) const { return peers_.contains(member); }
  /// The member is one of the peers that `leader()` named.
  bool is_ready(const std::string& member) const { return peers_.at(member).ready; }

  void link_up(const std::string& member) { peers_[member].linked = true; }
  /// Also forgets the last contact: the member has to prove again that it is there.
  void link_down(const std::string& member);
  /// Applies a status of a known member.
  StatusOutcome apply_status(const protocol::PeerMessage& status, double now);
  /// The member answered that it does not lead; its next status may say otherwise.
  void mark_not_leading(const std::string& member) { peers_.at(member).leading = false; }

  /// The fresh, linked peer that leads with the highest term; empty if there is none.
  std::string leader(double now) const;
  /// Whether any peer is fresh, linked or not.
  bool any_in_contact(double now) const;
  /// Whether a linked leader serves users at present.
  bool has_ready_leader(double now) const;
  /// Whether any fresh peer reaches the state service, and so could serve users.
  bool any_reaches_state(double now) const;
  /// The next follower, in turn, that workers may send their heartbeats to; empty if there is none.
  std::string next_heartbeat_follower(double now);
  /// The next follower, in turn, that may make a direct call for this leader; empty if there is none.
  std::string next_direct_call_follower(double now);

 private:
  static constexpr double kNever = -1e9;
  /// Seconds since the last contact with the peer.
  static double seconds_since_contact(const Peer& peer, double now) { return now - peer.last_contact; }
  static bool is_fresh_follower(const Peer& peer, double now);

  std::map<std::string, Peer> peers_;
  std::size_t next_follower_ = 0;  ///< position in the turn, shared by both uses of followers
};

}  // namespace robinford::coordination
