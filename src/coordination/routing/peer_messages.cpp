// Messages between controllers, and direct calls that one makes for another.
#include <utility>

#include "constants.hpp"
#include "coordination/controller.hpp"
#include "protocol/names.hpp"

namespace robinford::coordination {
namespace c = constants;
namespace n = names;
using protocol::PeerKind;
using protocol::PeerMessage;

bool Controller::take(const PeerMessage& message) {
  const auto found = peers_.find(message.member);
  if (found == peers_.end()) return false;
  PeerView& peer = found->second;
  const double now = context_.now.steady;
  switch (message.kind) {
    case PeerKind::kStatus: {
      // A late status of an earlier process must not undo what its successor said.
      if (peer.incarnation != message.incarnation && peer.incarnation > message.incarnation &&
          message.term < peer.term)
        break;
      peer.incarnation = message.incarnation;
      peer.term = message.term;
      peer.leading = message.leading;
      peer.ready = message.ready;
      peer.state_ok = message.state_ok;
      peer.last_contact = now;
      versions_.observe(message.member, message.incarnation);
      election_.on_status(message);
      context_.cancellations.take_status(message, context_.incarnation);
      unpark();
      break;
    }
    case PeerKind::kForward: {
      Waiting waiting;
      waiting.method = message.method;
      waiting.target = message.target;
      waiting.body = message.body;
      waiting.poll = message.method == "GET";
      waiting.from_peer = true;
      waiting.origin = message.member;
      waiting.origin_request = message.request;
      waiting.deadline = now + c::kForwardTimeoutS;
      const auto key = add(std::move(waiting));
      // Only a leader serves what others forward; a chain of forwards would hide who answers.
      if (scheduler_.knows_all_jobs())
        serve(key);
      else
        answer(key, 421, 0, "");
      break;
    }
    case PeerKind::kHeartbeat:
    case PeerKind::kUnchangedHeartbeat: {
      Waiting waiting;
      waiting.is_heartbeat = waiting.from_peer = true;
      waiting.origin = message.member;
      waiting.origin_request = message.request;
      waiting.deadline = now + c::kParkS;
      const auto key = add(std::move(waiting));
      if (scheduler_.phase() == LeaderPhase::kNone)
        answer_heartbeat(key, 421, {}, 0);
      else if (message.kind == PeerKind::kHeartbeat)
        scheduler_.heartbeat(key, message.heartbeat);
      else if (!scheduler_.unchanged_heartbeat(key, message.heartbeat.machine, message.heartbeat.agent_epoch,
                                               message.heartbeat.seq, message.heartbeat.fencing_token,
                                               message.base_seq))
        answer_heartbeat(key, 409, {}, 0);
      break;
    }
    case PeerKind::kCommands: {
      const auto waiting = waiting_.find(message.request);
      if (waiting == waiting_.end() || waiting->second.state != Waiting::State::kForwarded ||
          waiting->second.at != message.member || !waiting->second.is_heartbeat)
        break;
      if (message.status == 421) {
        peer.leading = false;
        route(message.request);
      } else if (message.status == 409) {
        // The leader's in-memory state stands on another heartbeat than we thought.
        waiting->second.in_full = true;
        route(message.request);
      } else {
        const auto& heartbeat = waiting->second.heartbeat;
        if (message.status != 200)
          last_heartbeats_.erase(heartbeat.machine);
        else if (last_heartbeats_.size() < context_.per_machine(c::kLastHeartbeatsPerMb) ||
                 last_heartbeats_.contains(heartbeat.machine))
          last_heartbeats_[heartbeat.machine] = {message.member, message.term, heartbeat.agent_epoch,
                                                 heartbeat.seq, protocol::heartbeat_state(heartbeat)};
        answer_heartbeat(message.request, static_cast<int>(message.status), message.commands, message.term);
      }
      break;
    }
    case PeerKind::kAnswer: {
      const auto waiting = waiting_.find(message.request);
      if (waiting == waiting_.end() || waiting->second.state != Waiting::State::kForwarded ||
          waiting->second.at != message.member || waiting->second.is_heartbeat)
        break;
      if (message.status == 421) {
        peer.leading = false;
        route(message.request);
        break;
      }
      // Final answers are durable, so they may be kept and given here from now on.
      if (message.status == 200 && waiting->second.target != n::kPathJobs)
        if (const auto value = protocol::parse_json(message.body); value && value->is_object()) {
          const auto& object = value->get_object();
          const auto* id = object.if_contains(n::kJobId);
          const auto* state = object.if_contains(n::kState);
          if (id != nullptr && state != nullptr && id->is_string() && state->is_string()) {
            const auto job =
                protocol::parse_job_id(std::string_view(id->get_string().data(), id->get_string().size()));
            if (job && state->get_string() == n::kStateDone)
              context_.jobs.remember_final(*job, bookkeeping::FinalState::kDone);
            if (job && state->get_string() == n::kStateCancelled) {
              scheduler_.on_cancelled_elsewhere(*job);
              announce_cancellation(*job);  // the leader may tell, and here it does
            }
          }
        }
      answer(message.request, static_cast<int>(message.status), static_cast<int>(message.retry_after_s),
             message.body);
      break;
    }
    case PeerKind::kJobChanged:
      if (scheduler_.knows_all_jobs()) scheduler_.read_job(message.job);
      break;
    case PeerKind::kCancellationsAnnounced:
      for (const auto job : message.jobs) scheduler_.on_cancelled_elsewhere(job);
      context_.cancellations.take_announced(message);
      break;
    case PeerKind::kQuota:
      return quota_leases_.take(message.member, message.incarnation, message.body);
    case PeerKind::kProbe:
      carry_out_probe(message);
      break;
    case PeerKind::kProbeResult:
      if (delegated_.erase(message.request) > 0)
        scheduler_.direct_answer(message.request, static_cast<int>(message.status),
                                 message.status != 0 ? &message.heartbeat : nullptr);
      break;
  }
  return true;
}

// Direct calls cost a connection each, so the other controllers make them in turn; alone, the leader does.
void Controller::direct(const DirectCall& call) {
  PeerMessage probe;
  probe.kind = PeerKind::kProbe;
  probe.request = call.id;
  probe.target = call.addr;
  probe.base_seq = call.agent_epoch;
  probe.commands = call.commands;
  probe.term = election_.term();
  std::vector<const std::string*> fresh;
  for (const auto& [member, peer] : peers_)
    if (peer.up && !peer.leading && context_.now.steady - peer.last_contact < c::kPeerFreshS)
      fresh.push_back(&member);
  if (!fresh.empty()) {
    delegated_[call.id] = context_.now.steady + c::kDelegateS;
    return send(*fresh[next_peer_++ % fresh.size()], std::move(probe));
  }
  carry_out_probe(probe);
}

// The probe is our own, or another controller's, which then gets the answer.
void Controller::carry_out_probe(const PeerMessage& probe) {
  const auto finish = [this, member = probe.member, id = probe.request](
                          int status, const protocol::Heartbeat* heartbeat) {
    if (member.empty()) return scheduler_.direct_answer(id, status, heartbeat);
    PeerMessage message;
    message.kind = PeerKind::kProbeResult;
    message.request = id;
    message.status = heartbeat != nullptr ? static_cast<std::uint64_t>(status) : 0;
    if (heartbeat != nullptr) message.heartbeat = *heartbeat;
    send(member, std::move(message));
  };
  if (!probe.member.empty() &&
      peer_probes_ >= static_cast<std::size_t>(context_.settings.max_connections / c::kDirectSocketPart))
    return finish(0, nullptr);
  ++peer_probes_;
  context_.calls.send(
      {0, protocol::Service::kWorker, probe.target, "POST", n::kPathCommands,
       protocol::commands_json(probe.term, probe.commands, probe.base_seq), c::kDirectTimeoutS, false},
      [this, finish](const protocol::CallResult& result) {
        --peer_probes_;
        if (result.status != 200 && result.status != 409) return finish(0, nullptr);
        const auto heartbeat = protocol::parse_heartbeat(result.body);
        finish(result.status, heartbeat ? &*heartbeat : nullptr);
      });
}

void Controller::send(const std::string& member, PeerMessage message) {
  message.member = context_.settings.member;
  message.incarnation = context_.incarnation;
  message.term = election_.term();
  auto& batch = batches_[member];
  protocol::put_message(batch, message);
  if (batch.size() >= c::kBatchBytes) flush(member);
}

// Messages travel together, one frame a tick: each packet costs more than the bytes in it.
void Controller::flush(const std::string& member) {
  auto& batch = batches_[member];
  if (batch.empty()) return;
  context_.out.sends.push_back({member, std::exchange(batch, {})});
}

void Controller::broadcast() {
  next_status_broadcast_ = context_.now.steady + c::kStatusIntervalS;
  for (const auto& [member, peer] : peers_) {
    if (!peer.up) continue;
    PeerMessage message;
    message.kind = PeerKind::kStatus;
    message.leading = election_.role() == Role::kLeading || election_.role() == Role::kDegraded;
    message.ready = scheduler_.knows_all_jobs();
    message.state_ok = context_.state.reachable(context_.now.steady);
    if (auto announced = context_.cancellations.unacknowledged(member)) send(member, std::move(*announced));
    context_.cancellations.sign(member, context_.now.steady, message);
    send(member, std::move(message));
  }
}

}  // namespace robinford::coordination
