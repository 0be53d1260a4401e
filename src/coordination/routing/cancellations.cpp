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

/// A probe is the time at which it was sent, in ms of the sender's steady clock. The sender decodes the time
/// from the echo.
std::uint64_t encode_probe(double now) { return static_cast<std::uint64_t>(std::max(0.0, now * kMsPerS)); }
double decode_probe_time(std::uint64_t probe) { return static_cast<double>(probe) / kMsPerS; }

/// Returns the start time of a process by its own wall clock, in seconds since 1970.
double start_time_s(std::uint64_t incarnation) {
  return static_cast<double>(incarnation >> c::kIncarnationRandomBits) / kMsPerS;
}

}  // namespace

Cancellations::Cancellations(const protocol::Settings& settings) {
  const double spare_s =
      (settings.cancel_s - settings.lease_s) * (1 - 2 * c::kClockDrift) - c::kCancellationMarginS;
  only_leader_announces_ = spare_s < c::kDegradedAnswerMinS;
  heartbeat_answer_window_s_ =
      only_leader_announces_ ? c::kStrictAnswerMaxS : std::min(spare_s, c::kDegradedAnswerMaxS);
  clock_error_s_ = settings.clock_error_ms / kMsPerS;
  for (const auto& peer : settings.peers) peers_[peer.member];
}

// ---------------------------------------------------------------- announcements of this controller

bool Cancellations::record_announcement(JobId id) { return log_.append(id).has_value(); }

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
  set_started_at_once(now);
  const auto number = log_.entry_number(id);
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    if (number && peer.acknowledged >= *number) return true;
    const double last_echo_sent_at = std::max(peer.last_echo_sent_at, *started_at_);
    return now - last_echo_sent_at >= c::kInMemoryStateFreshS + c::kLeaseMarginS;
  });
}

void Cancellations::fill_status(const std::string& member, double now, PeerMessage& status) {
  set_started_at_once(now);
  Peer& peer = peers_.at(member);
  if (peer.probe != 0) peer.last_echo_sent_at = now;
  status.probe = encode_probe(now);
  status.echo = peer.probe;
  status.echo_incarnation = peer.incarnation;
  status.announced = announced();
  status.taken = peer.known;
}

void Cancellations::set_started_at_once(double now) {
  if (!started_at_) started_at_ = now;
}

// ---------------------------------------------------------------- announcements of others

// A delayed message of an earlier process says nothing about the member's current process. Start times that
// differ by less than twice the clock error can't be ordered, so such a message is accepted. At worst that
// resets the counters and `announcements_contiguous`. The member's later statuses and, on a leader, a
// confirmed read of the change log restore them.
bool Cancellations::is_from_earlier_process(const PeerMessage& message) const {
  const auto found = peers_.find(message.member);
  if (found == peers_.end()) return true;
  return start_time_s(message.incarnation) < start_time_s(found->second.incarnation) - 2 * clock_error_s_;
}

Cancellations::Peer& Cancellations::peer_for_process(const PeerMessage& message) {
  Peer& peer = peers_.at(message.member);
  if (peer.incarnation == message.incarnation) return peer;
  // The new process does not report what the earlier one announced last; only a read of the change log shows
  // that. So the times are kept, while the counters and `announcements_contiguous` are reset.
  Peer successor;
  successor.incarnation = message.incarnation;
  successor.known_at = peer.known_at;
  successor.last_echo_sent_at = peer.last_echo_sent_at;
  peer = successor;
  return peer;
}

void Cancellations::apply_announcements(const PeerMessage& message) {
  if (is_from_earlier_process(message)) return;
  Peer& peer = peer_for_process(message);
  // A first number beyond the next expected one means that announcements are missing. The sender repeats them
  // with a later status, as long as they are unacknowledged and still in its log.
  if (message.first <= peer.known + 1)
    peer.known = std::max(peer.known, message.first + message.jobs.size() - 1);
}

void Cancellations::apply_peer_status(const PeerMessage& status, std::uint64_t own_incarnation) {
  if (is_from_earlier_process(status)) return;
  Peer& peer = peer_for_process(status);
  peer.announced = std::max(peer.announced, status.announced);
  peer.probe = std::max(peer.probe, status.probe);
  if (status.echo_incarnation == own_incarnation) {
    peer.acknowledged = std::max(peer.acknowledged, std::min(status.taken, announced()));
    if (peer.announcements_contiguous && peer.known >= status.announced)
      peer.known_at = std::max(peer.known_at, decode_probe_time(status.echo));
  }
  // An elected leader reads all durable cancellations, so while this controller does not lead, it need not
  // track missing announcements.
  if (!leading_) peer.known = std::max(peer.known, peer.announced);
}

// ---------------------------------------------------------------- confirmation by the state service

void Cancellations::begin_leadership() {
  leading_ = true;
  last_read_started_at_ = kNever;
  confirmed_up_to_ = kNever;
  open_read_.reset();
  unconfirmed_read_.reset();
  for (auto& [member, peer] : peers_) {
    peer.announcements_contiguous = false;
    peer.known_at = kNever;
  }
}

void Cancellations::end_leadership() {
  leading_ = false;
  open_read_.reset();
  unconfirmed_read_.reset();
}

void Cancellations::on_change_log_read_started(double now) {
  open_read_ = Snapshot{now, {}};
  for (const auto& [member, peer] : peers_) open_read_->counts[member] = {peer.incarnation, peer.announced};
}

void Cancellations::on_change_log_read_finished(double renewed) {
  if (!open_read_) return;
  last_read_started_at_ = std::max(last_read_started_at_, open_read_->at);
  // An older read that still awaits a renewal is kept: otherwise reads in quick succession would keep
  // replacing it, and none would ever be confirmed.
  if (!unconfirmed_read_) unconfirmed_read_ = std::move(open_read_);
  open_read_.reset();
  advance_confirmed_time(renewed);
}

void Cancellations::advance_confirmed_time(double renewed) {
  confirmed_up_to_ = std::max(confirmed_up_to_, std::min(last_read_started_at_, renewed));
}

void Cancellations::on_leader_key_renewed(double sent) {
  advance_confirmed_time(sent);
  if (!unconfirmed_read_ || sent < unconfirmed_read_->at) return;
  // This renewal was sent after the read began, so this process held the leader key then. Only a leader
  // cancels an accepted job without a change-log entry. So each cancellation that a member had announced
  // before the read has an entry, which this or an earlier read or the watch included, or was already durable
  // when this leader loaded the records, or was made by this leader itself.
  for (const auto& [member, at_read] : unconfirmed_read_->counts) {
    Peer& peer = peers_.at(member);
    if (peer.incarnation != at_read.incarnation || peer.incarnation == 0) continue;
    peer.known = std::max(peer.known, at_read.count);
    peer.announcements_contiguous = true;
  }
  unconfirmed_read_.reset();
}

// ---------------------------------------------------------------- queries

double Cancellations::known_up_to(double now) const {
  double proved_by_members = now;
  for (const auto& [member, peer] : peers_) proved_by_members = std::min(proved_by_members, peer.known_at);
  return std::max(confirmed_up_to_, proved_by_members);
}

bool Cancellations::is_in_memory_state_current(double now) const {
  return std::all_of(peers_.begin(), peers_.end(), [now](const auto& entry) {
    return now < entry.second.known_at + c::kInMemoryStateFreshS;
  });
}

}  // namespace robinford::coordination
