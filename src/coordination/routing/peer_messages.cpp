/// @file
/// Handlers of messages from other controllers, and the messages that the controller sends to them.
#include <utility>

#include "constants.hpp"
#include "coordination/controller.hpp"

namespace robinford::coordination {
namespace c = constants;
using protocol::PeerKind;
using protocol::PeerMessage;

Controller::FrameOutcome Controller::on_message(const PeerMessage& message) {
  if (!peers_.contains(message.member)) return FrameOutcome::kMalformed;
  switch (message.kind) {
    case PeerKind::kStatus:
      on_status(message);
      break;
    case PeerKind::kForward:
      router_.on_forwarded_request(message);
      break;
    case PeerKind::kHeartbeat:
    case PeerKind::kUnchangedHeartbeat:
      router_.on_forwarded_heartbeat(message);
      break;
    case PeerKind::kCommands:
      router_.on_commands(message);
      break;
    case PeerKind::kAnswer:
      router_.on_forward_answer(message);
      break;
    case PeerKind::kJobChanged:
      on_job_changed(message);
      break;
    case PeerKind::kCancellationsAnnounced:
      on_cancellations_announced(message);
      break;
    case PeerKind::kQuota:
      return on_quota_message(message);
    case PeerKind::kProbe:
      direct_calls_.execute_call(message);
      break;
    case PeerKind::kProbeResult:
      direct_calls_.on_peer_result(message);
      break;
  }
  return FrameOutcome::kAccepted;
}

void Controller::on_status(const PeerMessage& status) {
  if (peers_.apply_status(status, context_.now.steady) == PeerTable::StatusOutcome::kOutdated) return;
  versions_.observe(status.member, status.incarnation);
  election_.on_status(status);
  context_.cancellations.apply_peer_status(status, context_.incarnation);
  router_.retry_parked_heartbeats();
}

void Controller::on_job_changed(const PeerMessage& message) {
  if (scheduler_.ledger_loaded()) scheduler_.read_job(message.job);
}

void Controller::on_cancellations_announced(const PeerMessage& message) {
  for (const auto job : message.jobs) scheduler_.on_cancelled_elsewhere(job);
  context_.cancellations.apply_announcements(message);
}

Controller::FrameOutcome Controller::on_quota_message(const PeerMessage& message) {
  return quota_leases_.on_peer_message(message.member, message.incarnation, message.body)
             ? FrameOutcome::kAccepted
             : FrameOutcome::kMalformed;
}

void Controller::send_quota_message(const std::string& member, std::string body) {
  PeerMessage message;
  message.kind = PeerKind::kQuota;
  message.body = std::move(body);
  frames_.send(member, std::move(message));
}

void Controller::notify_leader_of_job(protocol::JobId id) {
  const std::string leader = router_.leader();
  if (leader.empty() || leader == context_.settings.member) return;
  PeerMessage message;
  message.kind = PeerKind::kJobChanged;
  message.job = id;
  frames_.send(leader, std::move(message));
}

void Controller::broadcast_status() {
  next_status_broadcast_ = context_.now.steady + c::kStatusIntervalS;
  for (const auto& [member, peer] : peers_.all()) {
    if (!peer.linked) continue;
    PeerMessage status;
    status.kind = PeerKind::kStatus;
    status.leading = election_.role() == Role::kLeading || election_.role() == Role::kDegraded;
    status.ready = scheduler_.knows_all_jobs();
    status.state_ok = context_.state.reachable(context_.now.steady);
    if (auto announced = context_.cancellations.unacknowledged(member))
      frames_.send(member, std::move(*announced));
    context_.cancellations.fill_status(member, context_.now.steady, status);
    frames_.send(member, std::move(status));
  }
}

void Controller::flush_frames() {
  for (const auto& [member, peer] : peers_.all()) frames_.flush(member);
}

}  // namespace robinford::coordination
