/// @file
/// Handlers of messages between controllers about requests: requests forwarded to this controller as leader,
/// and the leader's answers to requests that this controller forwarded.
#include <optional>
#include <string_view>
#include <utility>

#include "constants.hpp"
#include "coordination/routing/request_router.hpp"
#include "protocol/names.hpp"

namespace robinford::coordination {
namespace c = constants;
namespace n = names;
using protocol::PeerKind;
using protocol::PeerMessage;

namespace {

/// A job's state as it is reported to users.
struct ReportedState {
  protocol::JobId job = 0;
  std::string state;
};

std::optional<std::string> string_field(const boost::json::object& object, std::string_view name) {
  const auto* field = object.if_contains(name);
  if (field == nullptr || !field->is_string()) return std::nullopt;
  return std::string(field->get_string());
}

std::optional<ReportedState> parse_reported_state(const std::string& body) {
  const auto value = protocol::parse_json(body);
  if (!value || !value->is_object()) return std::nullopt;
  const auto id = string_field(value->get_object(), n::kJobId);
  const auto state = string_field(value->get_object(), n::kState);
  if (!id || !state) return std::nullopt;
  const auto job = protocol::parse_job_id(*id);
  if (!job) return std::nullopt;
  return ReportedState{*job, *state};
}

}  // namespace

void RequestRouter::on_forwarded_request(const PeerMessage& message) {
  PendingRequest request;
  request.kind = message.method == "GET" ? PendingRequest::Kind::kPoll : PendingRequest::Kind::kChange;
  request.method = message.method;
  request.target = message.target;
  request.body = message.body;
  request.peer = PendingRequest::PeerOrigin{message.member, message.request};
  request.deadline = context_.now.steady + c::kForwardTimeoutS;
  const RequestKey key = pending_.add(std::move(request));
  if (scheduler_.knows_all_jobs())
    serve(key);
  else
    answer(key, kNotLeading, 0, "");
}

void RequestRouter::on_forwarded_heartbeat(const PeerMessage& message) {
  PendingRequest request;
  request.kind = PendingRequest::Kind::kHeartbeat;
  request.peer = PendingRequest::PeerOrigin{message.member, message.request};
  request.deadline = context_.now.steady + c::kHeartbeatParkTimeoutS;
  const RequestKey key = pending_.add(std::move(request));
  const protocol::Heartbeat& heartbeat = message.heartbeat;
  if (scheduler_.phase() == LeaderPhase::kNone) return refuse_heartbeat(key, kNotLeading);
  if (message.kind == PeerKind::kHeartbeat) return scheduler_.heartbeat(key, heartbeat);
  if (!scheduler_.unchanged_heartbeat(key, heartbeat.machine, heartbeat.agent_epoch, heartbeat.seq,
                                      heartbeat.fencing_token, message.base_seq))
    refuse_heartbeat(key, kFullHeartbeatRequired);
}

void RequestRouter::on_commands(const PeerMessage& message) {
  const PendingRequest* request = pending_.find_forwarded(message.request, message.member);
  if (request == nullptr || !request->is_heartbeat()) return;
  if (message.status == kNotLeading) {
    peers_.mark_not_leading(message.member);
    return route(message.request);
  }
  if (message.status == kFullHeartbeatRequired) {
    // The leader can't apply the short reference: its last heartbeat of the machine is not the one referred
    // to, or the state of the machine in its ledger calls for a full heartbeat.
    pending_.require_full_heartbeat(message.request);
    return route(message.request);
  }
  if (message.status == 200)
    forwarded_heartbeats_.remember(message.member, message.term, request->heartbeat);
  else
    forwarded_heartbeats_.forget(request->heartbeat.machine);
  answer_heartbeat(message.request, static_cast<int>(message.status), message.commands, message.term);
}

void RequestRouter::on_forward_answer(const PeerMessage& message) {
  const PendingRequest* request = pending_.find_forwarded(message.request, message.member);
  if (request == nullptr || request->is_heartbeat()) return;
  if (message.status == kNotLeading) {
    peers_.mark_not_leading(message.member);
    return route(message.request);
  }
  if (message.status == 200 && request->target != n::kPathJobs) apply_reported_final_state(message.body);
  answer(message.request, static_cast<int>(message.status), static_cast<int>(message.retry_after_s),
         message.body);
}

// Final states are durable, so this controller may cache them and answer later polls itself.
void RequestRouter::apply_reported_final_state(const std::string& job_body) {
  const auto reported = parse_reported_state(job_body);
  if (!reported) return;
  if (reported->state == n::kStateDone)
    context_.jobs.remember_final(reported->job, bookkeeping::FinalState::kDone);
  if (reported->state == n::kStateCancelled) {
    scheduler_.on_cancelled_elsewhere(reported->job);
    // The leader announced the cancellation before it answered. This controller now reports it to a user
    // as well, so it has to announce it, too.
    announce_cancellation(reported->job);
  }
}

}  // namespace robinford::coordination
