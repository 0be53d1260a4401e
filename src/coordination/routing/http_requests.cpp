/// @file
/// Implementation of HttpRequests.
#include "coordination/routing/http_requests.hpp"

#include <utility>

#include "constants.hpp"
#include "protocol/names.hpp"
#include "protocol/task_list.hpp"

namespace robinford::coordination {
namespace c = constants;
namespace n = names;

namespace {
std::string without_query(const std::string& target) { return target.substr(0, target.find('?')); }
}  // namespace

HttpRequests::Handled HttpRequests::handle(const protocol::HttpRequest& request) {
  const std::string path = without_query(request.target);
  const auto route = parse_route(request.method, path);
  if (!route) {
    refuse_route(request, route.error());
    // After an unknown path or a wrong method on the readiness path the caller still finishes the step, as
    // earlier versions did: this keeps the times at which the state writer sends its writes, which can be
    // observed from outside.
    return route.error() == RouteError::kUnknownPath || path == n::kPathReady ? Handled::kDone
                                                                              : Handled::kRefused;
  }
  switch (route->target) {
    case RequestTarget::kReadiness:
      reply_readiness(request);
      break;
    case RequestTarget::kMetrics:
      reply_metrics(request);
      break;
    case RequestTarget::kHeartbeat:
      return handle_heartbeat(request);
    case RequestTarget::kPoll:
      return handle_user_request(request, path, PendingRequest::Kind::kPoll);
    case RequestTarget::kSubmission:
    case RequestTarget::kCancellation:
      return handle_user_request(request, path, PendingRequest::Kind::kChange);
  }
  return Handled::kDone;
}

void HttpRequests::reply(const protocol::HttpRequest& request, int status, std::string body) {
  context_.out.replies.push_back({request.token, status, 0, std::move(body), false});
}

void HttpRequests::refuse(const protocol::HttpRequest& request, int status, const std::string& reason) {
  const int retry_after_s = status == 503 ? c::kRetryAfterS : 0;
  context_.out.replies.push_back({request.token, status, retry_after_s, protocol::error_json(reason), false});
}

void HttpRequests::refuse_route(const protocol::HttpRequest& request, RouteError error) {
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

void HttpRequests::reply_readiness(const protocol::HttpRequest& request) {
  if (can_serve())
    reply(request, 200, "{}");
  else
    refuse(request, 503, "not ready");
}

void HttpRequests::set_write_gauges() {
  Metrics& metrics = context_.metrics;
  const auto& counters = context_.writer.counters();
  const auto transactions = [&metrics](const char* outcome, std::uint64_t count) {
    metrics.gauge_labelled("state_transactions", "outcome", outcome, static_cast<double>(count));
  };
  transactions("committed", counters.committed);
  transactions("condition_failed", counters.condition_failed);
  transactions("not_carried_out", counters.not_carried_out);
  transactions("unresolved", counters.unresolved);
  transactions("malformed", counters.malformed);
  metrics.gauge("state_changes_committed", static_cast<double>(counters.changes_committed));
  metrics.gauge("write_units_expired", static_cast<double>(counters.units_expired));
  const auto queues = context_.writer.queue_status();
  for (std::size_t i = 0; i < queues.size(); ++i) {
    const std::string priority = to_text(static_cast<bookkeeping::WritePriority>(i));
    metrics.gauge_labelled("write_queue_units", "priority", priority,
                           static_cast<double>(queues.at(i).units));
    metrics.gauge_labelled("write_queue_oldest_seconds", "priority", priority, queues.at(i).oldest_s);
    metrics.gauge_labelled("write_units_conflicted", "priority", priority,
                           static_cast<double>(counters.units_conflicted.at(i)));
  }
}

void HttpRequests::reply_metrics(const protocol::HttpRequest& request) {
  Metrics& metrics = context_.metrics;
  metrics.gauge("term", static_cast<double>(election_.term()));
  metrics.gauge("leading", election_.valid() ? 1 : 0);
  metrics.gauge("jobs_live", static_cast<double>(context_.jobs.all().size()));
  metrics.gauge("machines_known", static_cast<double>(context_.machines.all().size()));
  metrics.gauge("state_rejected", static_cast<double>(context_.state.rejected()));
  metrics.gauge("state_throttled", static_cast<double>(context_.state.throttled()));
  metrics.gauge("state_pace", context_.state.pace());
  metrics.gauge("requests_waiting", static_cast<double>(router_.pending_count()));
  set_write_gauges();
  quota_leases_.set_gauges();
  context_.out.replies.push_back({request.token, 200, 0, metrics.page(), true});
}

HttpRequests::Handled HttpRequests::handle_heartbeat(const protocol::HttpRequest& request) {
  auto heartbeat = protocol::read_heartbeat(request.body);
  if (!heartbeat) {
    refuse(request, 400, "malformed report");
    return Handled::kRefused;
  }
  if (scheduler_.phase() == LeaderPhase::kServing) {
    const std::string follower = router_.redirect_for_heartbeat();
    if (!follower.empty()) {
      reply(request, 421, protocol::redirect_json(follower));
      return Handled::kRefused;
    }
  }
  router_.accept_heartbeat(request.token, std::move(*heartbeat));
  return Handled::kDone;
}

HttpRequests::Handled HttpRequests::handle_user_request(const protocol::HttpRequest& request,
                                                        const std::string& path, PendingRequest::Kind kind) {
  if (router_.accept_user_request(request, path, kind) == RequestRouter::Admission::kTooMany) {
    context_.metrics.count("requests_shed");
    refuse(request, 503, "too many requests");
    return Handled::kRefused;
  }
  return Handled::kDone;
}

// A controller that is not terminating reports that it is not ready only if it can neither serve requests nor
// forward them to a ready leader, while another controller reaches the state service and so could serve them.
bool HttpRequests::can_serve() const {
  const double now = context_.now.steady;
  if (terminating_) return false;
  if (scheduler_.knows_all_jobs() || context_.state.reachable(now)) return true;
  return peers_.has_ready_leader(now) || !peers_.any_reaches_state(now);
}

}  // namespace robinford::coordination
