/// @file
/// Implementation of PeerTable.
#include "coordination/routing/peer_table.hpp"

#include <algorithm>
#include <vector>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;

namespace {
/// Returns the next follower in round-robin order; empty if there is none.
std::string next_round_robin(const std::vector<const std::string*>& followers, std::size_t& position) {
  if (followers.empty()) return {};
  return *followers[position++ % followers.size()];
}
}  // namespace

PeerTable::PeerTable(const protocol::Settings& settings) {
  for (const auto& peer : settings.peers) peers_[peer.member];
}

void PeerTable::mark_link_down(const std::string& member) {
  Peer& peer = peers_[member];
  peer.linked = false;
  peer.last_contact = kNever;
}

PeerTable::StatusOutcome PeerTable::apply_status(const protocol::PeerMessage& status, double now) {
  Peer& peer = peers_.at(status.member);
  // A lower incarnation together with a lower term shows a delayed status of an earlier process, which must
  // not overwrite that of its successor.
  if (status.incarnation < peer.incarnation && status.term < peer.term) return StatusOutcome::kOutdated;
  peer.incarnation = status.incarnation;
  peer.term = status.term;
  peer.leading = status.leading;
  peer.ready = status.ready;
  peer.state_ok = status.state_ok;
  peer.last_contact = now;
  return StatusOutcome::kApplied;
}

std::string PeerTable::leader(double now) const {
  std::string best;
  std::uint64_t best_term = 0;
  for (const auto& [member, peer] : peers_) {
    if (!peer.linked || !peer.leading || seconds_since_contact(peer, now) > c::kPeerStatusFreshS ||
        peer.term < best_term)
      continue;
    best = member;
    best_term = peer.term;
  }
  return best;
}

bool PeerTable::any_in_contact(double now) const {
  return std::any_of(peers_.begin(), peers_.end(), [now](const auto& entry) {
    return seconds_since_contact(entry.second, now) < c::kPeerStatusFreshS;
  });
}

bool PeerTable::has_ready_leader(double now) const {
  return std::any_of(peers_.begin(), peers_.end(), [now](const auto& entry) {
    const Peer& peer = entry.second;
    return seconds_since_contact(peer, now) <= c::kPeerStatusFreshS && peer.linked && peer.leading &&
           peer.ready;
  });
}

bool PeerTable::any_reaches_state(double now) const {
  return std::any_of(peers_.begin(), peers_.end(), [now](const auto& entry) {
    return seconds_since_contact(entry.second, now) <= c::kPeerStatusFreshS && entry.second.state_ok;
  });
}

bool PeerTable::is_fresh_follower(const Peer& peer, double now) {
  return peer.linked && !peer.leading && seconds_since_contact(peer, now) < c::kPeerStatusFreshS;
}

std::string PeerTable::next_heartbeat_follower(double now) {
  std::vector<const std::string*> followers;
  for (const auto& [member, peer] : peers_)
    if (is_fresh_follower(peer, now) && peer.state_ok) followers.push_back(&member);
  return next_round_robin(followers, next_follower_);
}

std::string PeerTable::next_direct_call_follower(double now) {
  std::vector<const std::string*> followers;
  for (const auto& [member, peer] : peers_)
    if (is_fresh_follower(peer, now)) followers.push_back(&member);
  return next_round_robin(followers, next_follower_);
}

}  // namespace robinford::coordination
