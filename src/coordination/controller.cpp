/// @file
/// The events of one controller: ticks, requests, call results, links and frames. Messages of other
/// controllers are in routing/peer_messages.cpp.
#include "coordination/controller.hpp"

#include <utility>

#include "constants.hpp"
#include "protocol/names.hpp"

namespace robinford::coordination {
namespace c = constants;

namespace {
std::string without_query(const std::string& target) { return target.substr(0, target.find('?')); }
}  // namespace

Controller::Controller(const protocol::Settings& settings, const protocol::Policy& policy,
                       std::uint64_t incarnation, std::uint64_t seed,
                       const quota::LeaseOptions& lease_options)
    : context_(settings, policy, incarnation, seed),
      versions_(context_),
      election_(context_, {[this] { on_elected(); }, [this] { on_leadership_lost(); },
                           [this](bool degraded) { on_degraded(degraded); }}),
      peers_(context_.settings),
      frames_(context_, election_),
      quota_leases_(context_, election_, versions_, lease_options,
                    [this](const std::string& member, std::string body) {
                      send_quota_message(member, std::move(body));
                    }),
      scheduler_(context_, election_, versions_,
                 {[this](RequestKey key, int status, std::vector<protocol::Command> commands) {
                    router_.answer_heartbeat(key, status, std::move(commands), election_.term());
                  },
                  [this](const DirectCall& call) { direct_calls_.start(call); }}),
      fleet_(context_, election_, scheduler_),
      job_requests_(context_, election_, scheduler_, versions_,
                    [this](protocol::JobId id) { notify_leader_of_job(id); }),
      direct_calls_(context_, election_, scheduler_, peers_, frames_),
      router_({context_, election_, scheduler_, versions_, quota_leases_, job_requests_, peers_, frames_}) {
  context_.job_over = [this](protocol::JobId id, bookkeeping::FinalState state) {
    job_requests_.job_over(id, state);
  };
  if (lease_options.enabled) versions_.offer_quota_leases();
}

void Controller::begin_step(const protocol::ClockReading& now) {
  context_.now = now;
  context_.state.tick(now.steady);
}

void Controller::finish_step() { context_.writer.pump(context_.now.steady); }

protocol::Outbox Controller::take_outbox() { return std::exchange(context_.out, {}); }

// ---------------------------------------------------------------- changes of leadership

void Controller::on_elected() {
  context_.state.set_leading(true);
  context_.metrics.count("elections_won");
  context_.cancellations.elected();
  quota_leases_.elected();
  fleet_.begin();
  scheduler_.begin();
  broadcast_status();
}

void Controller::on_leadership_lost() {
  context_.state.set_leading(false);
  context_.cancellations.ended();
  quota_leases_.lost();
  fleet_.end();
  job_requests_.end();
  scheduler_.end();
  broadcast_status();
}

void Controller::on_degraded(bool degraded) {
  context_.writer.set_paused(degraded);
  broadcast_status();
}

// ---------------------------------------------------------------- events

void Controller::on_tick(const protocol::ClockReading& now) {
  begin_step(now);
  if (!ending_) election_.tick();
  versions_.tick();
  scheduler_.tick();
  fleet_.tick();
  quota_leases_.tick(router_.leader());
  if (now.steady >= next_status_broadcast_) broadcast_status();
  router_.settle_overdue();
  direct_calls_.tick();
  router_.retry_parked();
  finish_step();
  flush_frames();
}

void Controller::on_result(const protocol::ClockReading& now, std::uint64_t call,
                           const protocol::CallResult& result) {
  begin_step(now);
  context_.calls.on_result(call, result);
  if (election_.role() == Role::kDiscovering && !ending_) election_.tick();
  finish_step();
}

void Controller::on_link(const protocol::ClockReading& now, const std::string& member, bool up) {
  begin_step(now);
  if (up) {
    peers_.link_up(member);
    broadcast_status();
  } else {
    peers_.link_down(member);
    frames_.discard(member);
    router_.on_link_down(member);
  }
  finish_step();
}

Controller::FrameOutcome Controller::on_frame(const protocol::ClockReading& now, const std::string& frame) {
  const auto messages = protocol::decode_frame(frame);
  if (!messages) return FrameOutcome::kMalformed;
  begin_step(now);
  FrameOutcome outcome = FrameOutcome::kTaken;
  for (const auto& message : *messages)
    if (on_message(message) == FrameOutcome::kMalformed) outcome = FrameOutcome::kMalformed;
  finish_step();
  return outcome;
}

void Controller::on_terminate(const protocol::ClockReading& now) {
  begin_step(now);
  ending_ = true;
  election_.resign();
  finish_step();
  flush_frames();
}

// ---------------------------------------------------------------- requests

void Controller::on_request(const protocol::ClockReading& now, const protocol::HttpRequest& request) {
  begin_step(now);
  const std::string path = without_query(request.target);
  const auto route = parse_route(request.method, path);
  if (!route) {
    refuse_route(request, route.error());
    // After all other refusals the state writer waits for the next event.
    if (route.error() == RouteError::kUnknownPath || path == names::kPathReady) finish_step();
    return;
  }
  switch (route->target) {
    case RequestTarget::kReadiness:
      reply_readiness(request);
      break;
    case RequestTarget::kMetrics:
      reply_metrics(request);
      break;
    case RequestTarget::kHeartbeat:
      handle_heartbeat(request);
      break;
    case RequestTarget::kPoll:
      handle_user_request(request, path, PendingRequest::Kind::kPoll);
      break;
    case RequestTarget::kSubmission:
    case RequestTarget::kCancellation:
      handle_user_request(request, path, PendingRequest::Kind::kChange);
      break;
  }
}

void Controller::reply(const protocol::HttpRequest& request, int status, std::string body) {
  context_.out.replies.push_back({request.token, status, 0, std::move(body), false});
}

void Controller::refuse(const protocol::HttpRequest& request, int status, const std::string& reason) {
  const int retry_after_s = status == 503 ? c::kRetryAfterS : 0;
  context_.out.replies.push_back({request.token, status, retry_after_s, protocol::error_json(reason), false});
}

void Controller::refuse_route(const protocol::HttpRequest& request, RouteError error) {
  switch (error) {
    case RouteError::kUnknownPath:
    case RouteError::kUnknownJobPath:
      return refuse(request, 404, "no such path");
    case RouteError::kMethodNotAllowed:
      return refuse(request, 405, "method not allowed");
    case RouteError::kNoSuchJob:
      return refuse(request, 404, "no such job");
  }
}

void Controller::reply_readiness(const protocol::HttpRequest& request) {
  if (can_serve())
    reply(request, 200, "{}");
  else
    refuse(request, 503, "not ready");
  finish_step();
}

void Controller::reply_metrics(const protocol::HttpRequest& request) {
  Metrics& metrics = context_.metrics;
  metrics.gauge("term", static_cast<double>(election_.term()));
  metrics.gauge("leading", election_.valid() ? 1 : 0);
  metrics.gauge("jobs_live", static_cast<double>(context_.jobs.all().size()));
  metrics.gauge("machines_known", static_cast<double>(context_.machines.all().size()));
  metrics.gauge("state_rejected", static_cast<double>(context_.state.rejected()));
  metrics.gauge("state_throttled", static_cast<double>(context_.state.throttled()));
  metrics.gauge("state_pace", context_.state.pace());
  metrics.gauge("requests_waiting", static_cast<double>(router_.pending_count()));
  quota_leases_.set_gauges();
  context_.out.replies.push_back({request.token, 200, 0, metrics.page(), true});
  finish_step();
}

void Controller::handle_heartbeat(const protocol::HttpRequest& request) {
  auto heartbeat = protocol::parse_heartbeat(request.body);
  if (!heartbeat) return refuse(request, 400, "malformed report");
  if (scheduler_.phase() == LeaderPhase::kServing) {
    const std::string follower = router_.redirect_for_heartbeat();
    if (!follower.empty()) return reply(request, 421, protocol::redirect_json(follower));
  }
  router_.accept_heartbeat(request.token, std::move(*heartbeat));
  finish_step();
}

void Controller::handle_user_request(const protocol::HttpRequest& request, const std::string& path,
                                     PendingRequest::Kind kind) {
  if (router_.accept_user_request(request, path, kind) == RequestRouter::Admission::kTooMany) {
    context_.metrics.count("requests_shed");
    return refuse(request, 503, "too many requests");
  }
  finish_step();
}

// Not ready only when this controller can serve nobody and another one says that it could.
bool Controller::can_serve() const {
  const double now = context_.now.steady;
  if (ending_) return false;
  if (scheduler_.knows_all_jobs() || context_.state.reachable(now)) return true;
  return peers_.has_ready_leader(now) || !peers_.any_reaches_state(now);
}

}  // namespace robinford::coordination
