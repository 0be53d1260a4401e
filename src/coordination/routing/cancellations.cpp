/// @file
/// Implementation of Cancellations.
#include "coordination/routing/cancellations.hpp"

#include <algorithm>
#include <utility>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;
using protocol::JobId;
using protocol::PeerKind;
using protocol::PeerMessage;

namespace {

constexpr double kMsPerS = 1000;

/// A probe is the time of its sending, by the steady clock in ms; the probing process reads it back from the
/// echo.
std::uint64_t probe_at(double now) { return static_cast<std::uint64_t>(std::max(0.0, now * kMsPerS)); }
double probe_sent_at(std::uint64_t probe) { return static_cast<double>(probe) / kMsPerS; }

/// When a process started, by its own wall clock, in seconds since 1970.
double started_by_wall_clock(std::uint64_t incarnation) {
  return static_cast<double>(incarnation >> c::kIncarnationRandomBits) / kMsPerS;
}

}  // namespace

Cancellations::Cancellations(const protocol::Settings& settings) {
  const double spare_s =
      (settings.cancel_s - settings.lease_s) * (1 - 2 * c::kClockDrift) - c::kCancellationMarginS;
  strict_ = spare_s < c::kDegradedAnswerMinS;
  answer_s_ = strict_ ? c::kStrictAnswerMaxS : std::min(spare_s, c::kDegradedAnswerMaxS);
  clock_error_s_ = settings.clock_error_ms / kMsPerS;
  for (const auto& peer : settings.peers) peers_[peer.member];
}

// ---------------------------------------------------------------- announcements of this controller

bool Cancellations::announce(JobId id) { return log_.append(id).has_value(); }

std::optional<PeerMessage> Cancellations::unacknowledged(const std::string& member) const {
  const auto found = peers_.find(member);
  if (found == peers_.end() || found->second.acknowledged >= announced()) return std::nullopt;
  auto batch = log_.batch_after(found->second.acknowledged);
  PeerMessage message;
  message.kind = PeerKind::kCancellationsAnnounced;
  message.first = batch.first;
  message.jobs = std::move(batch.jobs);
  return message;
}

bool Cancellations::acknowledged_by_all(JobId id, double now) {
  note_start(now);
  const auto number = log_.number_of(id);
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    if (number && peer.acknowledged >= *number) return true;
    const double vouched_at = std::max(peer.vouched_at, *started_at_);
    return now - vouched_at >= c::kInMemoryStateFreshS + c::kLeaseMarginS;
  });
}

void Cancellations::sign(const std::string& member, double now, PeerMessage& status) {
  note_start(now);
  Peer& peer = peers_.at(member);
  if (peer.probe != 0) peer.vouched_at = now;
  status.probe = probe_at(now);
  status.echo = peer.probe;
  status.echo_incarnation = peer.incarnation;
  status.announced = announced();
  status.taken = peer.known;
}

void Cancellations::note_start(double now) {
  if (!started_at_) started_at_ = now;
}

// ---------------------------------------------------------------- announcements of others

// A late message of an earlier process of that member proves nothing. A process that is back within the
// clock's error may seem to have started before the one that it follows: that costs its chain, and nothing
// else.
bool Cancellations::is_late(const PeerMessage& message) const {
  const auto found = peers_.find(message.member);
  if (found == peers_.end()) return true;
  return started_by_wall_clock(message.incarnation) <
         started_by_wall_clock(found->second.incarnation) - 2 * clock_error_s_;
}

Cancellations::Peer& Cancellations::peer_of(const PeerMessage& message) {
  Peer& peer = peers_.at(message.member);
  if (peer.incarnation == message.incarnation) return peer;
  // What its earlier process announced in its last moments is not known from the new one: the state service
  // has to show it. So the times stay, and the chain begins anew.
  Peer successor;
  successor.incarnation = message.incarnation;
  successor.known_at = peer.known_at;
  successor.vouched_at = peer.vouched_at;
  peer = successor;
  return peer;
}

void Cancellations::take_announced(const PeerMessage& message) {
  if (is_late(message)) return;
  Peer& peer = peer_of(message);
  // A message beyond the next number shows a gap: what is missing comes with a later status.
  if (message.first <= peer.known + 1)
    peer.known = std::max(peer.known, message.first + message.jobs.size() - 1);
}

void Cancellations::take_status(const PeerMessage& status, std::uint64_t own_incarnation) {
  if (is_late(status)) return;
  Peer& peer = peer_of(status);
  peer.announced = std::max(peer.announced, status.announced);
  peer.probe = std::max(peer.probe, status.probe);
  if (status.echo_incarnation == own_incarnation) {
    peer.acknowledged = std::max(peer.acknowledged, std::min(status.taken, announced()));
    if (peer.without_gap && peer.known >= status.announced)
      peer.known_at = std::max(peer.known_at, probe_sent_at(status.echo));
  }
  // Whoever is elected reads all that is durable: until then there is nothing to catch up with.
  if (!leading_) peer.known = std::max(peer.known, peer.announced);
}

// ---------------------------------------------------------------- proofs by the state service

void Cancellations::elected() {
  leading_ = true;
  read_at_ = kNever;
  state_proof_ = kNever;
  reading_.reset();
  unconfirmed_.reset();
  for (auto& [member, peer] : peers_) {
    peer.without_gap = false;
    peer.known_at = kNever;
  }
}

void Cancellations::ended() {
  leading_ = false;
  reading_.reset();
  unconfirmed_.reset();
}

void Cancellations::change_log_requested(double now) {
  reading_ = Snapshot{now, {}};
  for (const auto& [member, peer] : peers_) reading_->counts[member] = {peer.incarnation, peer.announced};
}

void Cancellations::change_log_read(double renewed) {
  if (!reading_) return;
  read_at_ = std::max(read_at_, reading_->at);
  // An older one that still waits for a renewal stays: reads that follow one another closely would otherwise
  // keep replacing it.
  if (!unconfirmed_) unconfirmed_ = std::move(reading_);
  reading_.reset();
  advance_state_proof(renewed);
}

void Cancellations::advance_state_proof(double renewed) {
  state_proof_ = std::max(state_proof_, std::min(read_at_, renewed));
}

void Cancellations::renewed(double sent) {
  advance_state_proof(sent);
  // The leader key was ours when the change-log entries were read: nobody else can have made a cancellation
  // durable without one. What a member had announced before that stands in what was read.
  if (!unconfirmed_ || sent < unconfirmed_->at) return;
  for (const auto& [member, at_read] : unconfirmed_->counts) {
    Peer& peer = peers_.at(member);
    if (peer.incarnation != at_read.incarnation || peer.incarnation == 0) continue;
    peer.known = std::max(peer.known, at_read.count);
    peer.without_gap = true;
  }
  unconfirmed_.reset();
}

// ---------------------------------------------------------------- what is known

double Cancellations::known_up_to(double now) const {
  double proved_by_members = now;
  for (const auto& [member, peer] : peers_) proved_by_members = std::min(proved_by_members, peer.known_at);
  return std::max(state_proof_, proved_by_members);
}

bool Cancellations::current(double now) const {
  return std::all_of(peers_.begin(), peers_.end(), [now](const auto& entry) {
    return now < entry.second.known_at + c::kInMemoryStateFreshS;
  });
}

}  // namespace robinford::coordination
