/// @file
/// Handles the HTTP requests of workers and users.
#pragma once

#include <cstdint>
#include <string>

#include "coordination/controller_context.hpp"
#include "coordination/election/election.hpp"
#include "coordination/quota_leases.hpp"
#include "coordination/routing/peer_table.hpp"
#include "coordination/routing/request_route.hpp"
#include "coordination/routing/request_router.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {

/// Checks HTTP requests and passes them to the router. Readiness, metrics and refusals are answered
/// immediately. Its only state is whether this process is terminating.
class HttpRequests {
 public:
  /// Whether the caller has to finish the step, in which the state writer sends its due writes.
  enum class Handled : std::uint8_t {
    kDone,
    kRefused,  ///< answered immediately; the state writer runs when a later event finishes its step
  };

  HttpRequests(ControllerContext& context, const Election& election, const Scheduler& scheduler,
               QuotaLeases& quota_leases, const PeerTable& peers, RequestRouter& router)
      : context_(context),
        election_(election),
        scheduler_(scheduler),
        quota_leases_(quota_leases),
        peers_(peers),
        router_(router) {}

  /// Answers the request in this step or passes it to the router.
  Handled handle(const protocol::HttpRequest& request);
  /// Makes the process report that it is not ready, because it is terminating.
  void stop_serving() { terminating_ = true; }

 private:
  void reply(const protocol::HttpRequest& request, int status, std::string body);
  void refuse(const protocol::HttpRequest& request, int status, const std::string& reason);
  void refuse_route(const protocol::HttpRequest& request, RouteError error);
  void reply_readiness(const protocol::HttpRequest& request);
  void set_write_gauges();
  void reply_metrics(const protocol::HttpRequest& request);
  Handled handle_heartbeat(const protocol::HttpRequest& request);
  Handled handle_user_request(const protocol::HttpRequest& request, const std::string& path,
                              PendingRequest::Kind kind);
  bool can_serve() const;

  ControllerContext& context_;
  const Election& election_;
  const Scheduler& scheduler_;
  QuotaLeases& quota_leases_;
  const PeerTable& peers_;
  RequestRouter& router_;
  bool terminating_ = false;
};

}  // namespace robinford::coordination
