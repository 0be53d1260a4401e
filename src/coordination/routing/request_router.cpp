/// @file
/// Routes requests and sends their answers. The handlers of other controllers' messages about requests are in
/// forwarded_requests.cpp.
#include "coordination/routing/request_router.hpp"

#include <utility>

#include "constants.hpp"
#include "coordination/routing/request_route.hpp"
#include "protocol/names.hpp"

namespace robinford::coordination {
namespace c = constants;
namespace n = names;
using protocol::PeerKind;
using protocol::PeerMessage;

namespace {
/// Returns the reason in the body of an answer that is an error; "other" if there is none.
std::string error_reason(const std::string& body) {
  const auto value = protocol::parse_json(body);
  if (!value || !value->is_object()) return "other";
  const auto* reason = value->get_object().if_contains("error");
  return reason != nullptr && reason->is_string() ? std::string(reason->get_string()) : "other";
}

/// Searches for the quoted field name, which is cheaper than parsing the description. No other field has this
/// name.
bool mentions_dependencies(const std::string& body) {
  return body.find(std::string("\"") + n::kDependencies + "\"") != std::string::npos;
}
}  // namespace

RequestRouter::RequestRouter(const Parts& parts)
    : context_(parts.context),
      election_(parts.election),
      scheduler_(parts.scheduler),
      versions_(parts.versions),
      quota_leases_(parts.quota_leases),
      job_requests_(parts.job_requests),
      peers_(parts.peers),
      frames_(parts.frames),
      pending_((context_.random() >> c::kRequestKeyShiftBits) + 1),
      forwarded_heartbeats_(context_.max_machine_entries(c::kLastHeartbeatsPerMb)) {}

// ---------------------------------------------------------------- requests by HTTP

RequestRouter::Admission RequestRouter::accept_user_request(const protocol::HttpRequest& request,
                                                            const std::string& path,
                                                            PendingRequest::Kind kind) {
  // Polls and changes have separate limits: with a common limit a flood of polls once caused submissions to
  // be refused.
  if (pending_.in_progress(kind) >= context_.max_entries(c::kUserRequestsPerMb)) return Admission::kTooMany;
  PendingRequest pending;
  pending.kind = kind;
  pending.method = request.method;
  pending.target = path;
  pending.body = request.body;
  pending.token = request.token;
  pending.deadline = context_.now.steady + c::kUserRequestTimeoutS;
  route(pending_.add(std::move(pending)));
  return Admission::kAdmitted;
}

void RequestRouter::accept_heartbeat(std::uint64_t token, protocol::Heartbeat heartbeat) {
  PendingRequest pending;
  pending.kind = PendingRequest::Kind::kHeartbeat;
  pending.heartbeat = std::move(heartbeat);
  pending.token = token;
  pending.deadline = context_.now.steady + c::kHeartbeatParkTimeoutS;
  route(pending_.add(std::move(pending)));
}

std::string RequestRouter::redirect_for_heartbeat() {
  const double now = context_.now.steady;
  if (now - heartbeat_window_began_ >= 1) {
    heartbeat_window_began_ = now;
    heartbeats_in_window_ = 0;
  }
  ++heartbeats_in_window_;
  const auto limit = static_cast<std::size_t>(context_.settings.cpu_share * c::kOwnHeartbeatRatePerCore);
  return heartbeats_in_window_ <= limit ? std::string() : peers_.next_heartbeat_follower(now);
}

// ---------------------------------------------------------------- routing

std::string RequestRouter::leader() const {
  return election_.role() == Role::kLeading ? context_.settings.member : peers_.leader(context_.now.steady);
}

// A controller that reaches neither the state service nor any peer can't become the leader or learn of one,
// so workers should use another controller.
bool RequestRouter::leader_may_appear() const {
  const double now = context_.now.steady;
  return context_.state.reachable(now) || peers_.any_in_contact(now);
}

void RequestRouter::route(RequestKey key) {
  const PendingRequest& request = pending_.at(key);
  const std::string leader = this->leader();
  if (request.peer || leader == context_.settings.member) return serve(key);
  if (request.is_heartbeat()) {
    if (scheduler_.phase() != LeaderPhase::kNone) return serve(key);
    return leader.empty() ? park(key) : forward_heartbeat(key, leader);
  }
  if (leader.empty() || !peers_.is_ready(leader)) return serve(key);
  // A leader of an older version ignores dependencies and would start the job too early.
  if (mentions_dependencies(request.body) && !versions_.understands_dependencies(leader)) return serve(key);
  forward_user_request(key, leader);
}

// Keeps the heartbeat until there is a leader or its deadline passes. The sooner a new leader has a heartbeat
// of every machine, the sooner it can place work.
void RequestRouter::park(RequestKey key) {
  if (!leader_may_appear()) return refuse_heartbeat(key, kNotLeading);
  if (pending_.parked() >= context_.max_machine_entries(c::kParkedHeartbeatsPerMb))
    return refuse_heartbeat(key, 503);
  pending_.park(key);
}

void RequestRouter::forward_heartbeat(RequestKey key, const std::string& leader) {
  if (pending_.forwarded() >= context_.max_machine_entries(c::kForwardedRequestsPerMb))
    return refuse_heartbeat(key, 503);
  const PendingRequest& request = pending_.at(key);
  pending_.forward(key, leader, request.deadline);
  PeerMessage message;
  message.kind = PeerKind::kHeartbeat;
  message.request = key;
  message.heartbeat = request.heartbeat;
  if (!request.full_heartbeat_required) {
    if (const auto base = forwarded_heartbeats_.unchanged_since(leader, request.heartbeat)) {
      message.kind = PeerKind::kUnchangedHeartbeat;
      message.base_seq = *base;
    }
  }
  frames_.send(leader, std::move(message));
}

void RequestRouter::forward_user_request(RequestKey key, const std::string& leader) {
  if (pending_.forwarded() >= context_.max_entries(c::kForwardedRequestsPerMb))
    return answer(key, 503, c::kRetryAfterS, protocol::error_json("too many requests"));
  const PendingRequest& request = pending_.at(key);
  if (request.target == n::kPathJobs) quota_leases_.grant_from_lease(leader, request.body);
  pending_.forward(key, leader, context_.now.steady + c::kForwardTimeoutS);
  PeerMessage message;
  message.kind = PeerKind::kForward;
  message.request = key;
  message.method = request.method;
  message.target = request.target;
  message.body = request.body;
  frames_.send(leader, std::move(message));
}

void RequestRouter::serve(RequestKey key) {
  pending_.mark_local(key);
  const PendingRequest& request = pending_.at(key);
  if (request.is_heartbeat()) return scheduler_.heartbeat(key, pending_.take_heartbeat(key));
  const auto route = parse_route(request.method, request.target);
  const auto reply = [this, key](const UserAnswer& user_answer) { answer_user(key, user_answer); };
  if (route.has_value()) {
    if (route->target == RequestTarget::kSubmission)
      return job_requests_.submit(request.body, {reply, request.deadline});
    if (route->target == RequestTarget::kCancellation)
      return job_requests_.cancel(route->job, {reply, request.deadline});
    if (route->target == RequestTarget::kPoll) return job_requests_.poll(route->job, reply);
  }
  // Only a request that another controller forwarded can have an invalid route: requests by HTTP were checked
  // on arrival.
  answer(key, 404, 0, protocol::error_json("no such job"));
}

// ---------------------------------------------------------------- events

void RequestRouter::resolve_overdue() {
  const double now = context_.now.steady;
  for (const auto key : pending_.overdue_keys(now)) {
    switch (pending_.overdue_reason(key, now)) {
      case PendingRequests::OverdueReason::kNo:
        break;  // answered while an earlier request of this loop was handled
      case PendingRequests::OverdueReason::kForward:
        serve(key);  // the leader did not answer in time
        break;
      case PendingRequests::OverdueReason::kAnswer:
        if (pending_.at(key).is_heartbeat())
          refuse_heartbeat(key, 503);
        else
          answer(key, 503, c::kRetryAfterS, protocol::error_json("no answer in time"));
        break;
    }
  }
}

void RequestRouter::retry_parked_heartbeats() {
  if (leader().empty()) return;
  for (const auto key : pending_.parked_keys()) route(key);
}

void RequestRouter::on_link_down(const std::string& member) {
  for (const auto key : pending_.keys_forwarded_to(member)) route(key);
}

// ---------------------------------------------------------------- answers

// Every cancellation that this controller itself reports passes through this function, in answers to users
// and to controllers that forwarded a user's request. The cancellation is announced to the other controllers
// before the answer. The leader's answers to forwarded requests do not pass through here: for a cancellation
// that they report, apply_reported_final_state makes the announcement.
void RequestRouter::answer_user(RequestKey key, const UserAnswer& reply) {
  if (!reply.cancelled) return answer(key, reply.status, reply.retry_after_s, reply.body);
  announce_cancellation(*reply.cancelled);
  if (!election_.may_announce_cancellation(*reply.cancelled)) {
    context_.metrics.count("cancellations_not_announced_yet");
    return answer(key, 503, c::kRetryAfterS,
                  protocol::error_json("it is withdrawn, and another controller has yet to hear of it"));
  }
  answer(key, reply.status, reply.retry_after_s, reply.body);
}

// Announces the cancellation to all other controllers before the user is answered. Otherwise the leader, or a
// controller about to lead, could still report an older state, and a controller that answers heartbeats could
// let the job's tasks run on. The announcement is sent again with each status to a peer until that peer
// acknowledges it, as long as the announcement log keeps it.
void RequestRouter::announce_cancellation(protocol::JobId id) {
  if (!context_.cancellations.record_announcement(id)) return;
  for (const auto& [member, peer] : peers_.all()) {
    PeerMessage message;
    message.kind = PeerKind::kCancellationsAnnounced;
    message.first = context_.cancellations.announced();
    message.jobs = {id};
    frames_.send(member, std::move(message));
    frames_.flush(member);
  }
}

void RequestRouter::answer(RequestKey key, int status, int retry_after_s, std::string body) {
  const auto request = pending_.remove(key);
  if (!request) return;  // answered earlier, when its deadline passed
  if (!request->peer) {
    if (status == 503) context_.metrics.count_labelled("users_unavailable", "reason", error_reason(body));
    context_.out.replies.push_back({request->token, status, retry_after_s, std::move(body), false});
    return;
  }
  PeerMessage message;
  message.kind = PeerKind::kAnswer;
  message.request = request->peer->request;
  message.status = static_cast<std::uint64_t>(status);
  message.retry_after_s = static_cast<std::uint64_t>(retry_after_s);
  message.body = std::move(body);
  frames_.send(request->peer->member, std::move(message));
}

void RequestRouter::answer_heartbeat(RequestKey key, int status, std::vector<protocol::Command> commands,
                                     std::uint64_t term) {
  const auto request = pending_.remove(key);
  if (!request) return;  // answered earlier, when its deadline passed
  if (!request->peer) {
    std::string body = status == 200 ? protocol::commands_json(term, commands) : "{}";
    context_.out.replies.push_back({request->token, status, 0, std::move(body), false});
    return;
  }
  PeerMessage message;
  message.kind = PeerKind::kCommands;
  message.request = request->peer->request;
  message.status = static_cast<std::uint64_t>(status);
  message.commands = std::move(commands);
  frames_.send(request->peer->member, std::move(message));
}

void RequestRouter::refuse_heartbeat(RequestKey key, int status) { answer_heartbeat(key, status, {}, 0); }

}  // namespace robinford::coordination
