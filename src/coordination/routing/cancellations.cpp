#include "coordination/routing/cancellations.hpp"

#include <algorithm>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;
using protocol::JobId;
using protocol::PeerKind;
using protocol::PeerMessage;

namespace {
// A probe is the steady moment of its sending; the asking process reads it back from the echo.
std::uint64_t probe_time(double now) { return static_cast<std::uint64_t>(std::max(0.0, now * 1000)); }
double probe_sent_at(std::uint64_t probe) { return static_cast<double>(probe) / 1000; }
}  // namespace

Cancellations::Cancellations(const protocol::Settings& settings) {
  const double apart =
      (settings.cancel_s - settings.lease_s) * (1 - 2 * c::kClockDrift) - c::kCancellationMarginS;
  strict_ = apart < c::kLeastAnswerS;
  answer_s_ = strict_ ? c::kStrictAnswerS : std::min(apart, c::kDegradedBoundS);
  clock_error_s_ = settings.clock_error_ms / 1000;
  for (const auto& peer : settings.peers) peers_[peer.member];
}

bool Cancellations::announce(JobId id) {
  if (!in_log_.emplace(id, announced() + 1).second) return false;
  log_.push_back(id);
  if (log_.size() > c::kAnnouncedKept) {
    in_log_.erase(log_.front());
    log_.pop_front();
    ++first_kept_;
  }
  return true;
}

std::optional<PeerMessage> Cancellations::unacknowledged(const std::string& member) const {
  const auto found = peers_.find(member);
  if (found == peers_.end() || found->second.acknowledged >= announced()) return std::nullopt;
  PeerMessage message;
  message.kind = PeerKind::kCancellationsAnnounced;
  message.first = std::max(found->second.acknowledged + 1, first_kept_);
  const auto begin = log_.begin() + static_cast<std::ptrdiff_t>(message.first - first_kept_);
  const auto count = std::min<std::size_t>(c::kAnnouncedBatch, static_cast<std::size_t>(log_.end() - begin));
  message.jobs.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
  return message;
}

bool Cancellations::acknowledged_by_all(JobId id, double now) {
  if (started_ < 0) started_ = now;
  const auto number = in_log_.find(id);
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    return (number != in_log_.end() && peer.acknowledged >= number->second) ||
           now - std::max(peer.echoed_at, started_) >= c::kInMemoryStateFreshS + c::kLeaseMarginS;
  });
}

bool Cancellations::current(double now) const {
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    return now < entry.second.known_at + c::kInMemoryStateFreshS;
  });
}

void Cancellations::sign(const std::string& member, double now, PeerMessage& status) {
  if (started_ < 0) started_ = now;
  auto& peer = peers_.at(member);
  if (peer.probe != 0) peer.echoed_at = now;
  status.probe = probe_time(now);
  status.echo = peer.probe;
  status.echo_incarnation = peer.incarnation;
  status.announced = announced();
  status.taken = peer.taken;
}

// A late message of an earlier process of that member proves nothing. One back within the clock's error may
// seem to have started before the one it follows: that costs its chain, and nothing else.
bool Cancellations::late(const PeerMessage& message) const {
  const auto found = peers_.find(message.member);
  const auto started = [](std::uint64_t incarnation) {
    return static_cast<double>(incarnation >> c::kIncarnationBits) / 1000;
  };
  return found == peers_.end() ||
         started(message.incarnation) < started(found->second.incarnation) - 2 * clock_error_s_;
}

Cancellations::Peer& Cancellations::peer_of(const PeerMessage& message) {
  Peer& peer = peers_.at(message.member);
  if (peer.incarnation != message.incarnation) {
    // What its earlier process told in its last moments is not known from it: the state service has to show
    // it.
    const double known_at = peer.known_at, echoed_at = peer.echoed_at;
    peer = Peer{};
    peer.echoed_at = echoed_at;
    peer.incarnation = message.incarnation;
    peer.known_at = known_at;
  }
  return peer;
}

void Cancellations::take_announced(const PeerMessage& message) {
  if (late(message)) return;
  Peer& peer = peer_of(message);
  if (message.first <= peer.taken + 1)
    peer.taken = std::max(peer.taken, message.first + message.jobs.size() - 1);
}

void Cancellations::take_status(const PeerMessage& status, std::uint64_t own_incarnation) {
  if (late(status)) return;
  Peer& peer = peer_of(status);
  peer.count = std::max(peer.count, status.announced);
  peer.probe = std::max(peer.probe, status.probe);
  if (status.echo_incarnation == own_incarnation) {
    peer.acknowledged = std::max(peer.acknowledged, std::min(status.taken, announced()));
    if (peer.whole && peer.taken >= status.announced)
      peer.known_at = std::max(peer.known_at, probe_sent_at(status.echo));
  }
  // Whoever is elected reads all that is durable: until then there is nothing to catch up with.
  if (!leading_) peer.taken = std::max(peer.taken, peer.count);
}

void Cancellations::elected() {
  leading_ = true;
  read_at_ = state_known_ = -1e9;
  requested_.reset();
  read_.reset();
  for (auto& [member, peer] : peers_) {
    peer.whole = false;
    peer.known_at = -1e9;
  }
}

void Cancellations::ended() {
  leading_ = false;
  requested_.reset();
  read_.reset();
}

void Cancellations::change_log_requested(double now) {
  requested_ = Snapshot{now, {}};
  for (const auto& [member, peer] : peers_) requested_->counts[member] = {peer.incarnation, peer.count};
}

void Cancellations::change_log_read(double renewed) {
  if (!requested_) return;
  read_at_ = std::max(read_at_, requested_->at);
  // An older one that still waits for a renewal stays: reads that follow one another closely would else keep
  // replacing it.
  if (!read_) read_ = std::move(requested_);
  requested_.reset();
  state_known_ = std::max(state_known_, std::min(read_at_, renewed));
}

void Cancellations::renewed(double sent) {
  state_known_ = std::max(state_known_, std::min(read_at_, sent));
  // The leader key was ours when the change-log entries were read: nobody else can have made a cancellation
  // durable without one. What a member had told before that stands in what was read.
  if (!read_ || sent < read_->at) return;
  for (const auto& [member, announced] : read_->counts) {
    Peer& peer = peers_.at(member);
    if (peer.incarnation != announced.first || peer.incarnation == 0) continue;
    peer.taken = std::max(peer.taken, announced.second);
    peer.whole = true;
  }
  read_.reset();
}

double Cancellations::known_up_to(double now) const {
  double by_members = now;
  for (const auto& [member, peer] : peers_) by_members = std::min(by_members, peer.known_at);
  return std::max(state_known_, by_members);
}

}  // namespace robinford::coordination
