/// @file
/// Where a request is answered: here, by the leader, or after a leader has appeared.
#pragma once

#include <string>
#include <vector>

#include "coordination/controller_context.hpp"
#include "coordination/election/election.hpp"
#include "coordination/election/peer_versions.hpp"
#include "coordination/quota_leases.hpp"
#include "coordination/routing/forwarded_heartbeats.hpp"
#include "coordination/routing/job_requests.hpp"
#include "coordination/routing/peer_frames.hpp"
#include "coordination/routing/peer_table.hpp"
#include "coordination/routing/pending_requests.hpp"
#include "coordination/scheduling/scheduler.hpp"
#include "protocol/peer_codec.hpp"

namespace robinford::coordination {

/// Statuses by which a controller declines a request, besides those that its sender gets in the end.
/// @{
constexpr int kNotLeading = 421;  ///< it does not lead, and no leader can be reached: to be sent elsewhere
constexpr int kFullHeartbeatRequired =
    409;  ///< to another controller: the heartbeat that this one refers to is not known
/// @}

/// Owns the pending requests, and gives each exactly one answer before its deadline. A leader answers all
/// that reach it. Any other controller forwards to the leader; users' requests that no leader takes are
/// settled here on the state service, and heartbeats wait for a leader. Only a leader serves what others
/// forward: a chain of forwards would hide who answers.
class RequestRouter {
 public:
  /// Whether a request of a user may wait for an answer here.
  enum class Admission : std::uint8_t { kAdmitted, kTooMany };

  /// The parts that a request passes through; all outlive the router.
  struct Parts {
    ControllerContext& context;
    Election& election;
    Scheduler& scheduler;
    const PeerVersions& versions;
    QuotaLeases& quota_leases;
    JobRequests& job_requests;
    PeerTable& peers;
    PeerFrames& frames;
  };
  /// Draws the first request key from the context's random numbers.
  explicit RequestRouter(const Parts& parts);

  // ---- requests by HTTP ----
  /// A submission, poll or cancellation; `path` is its target without a query. kTooMany: it waits for no
  /// answer, and the caller gives one.
  Admission accept_user_request(const protocol::HttpRequest& request, const std::string& path,
                                PendingRequest::Kind kind);
  void accept_heartbeat(std::uint64_t token, protocol::Heartbeat heartbeat);
  /// The follower that a worker shall turn to, because this leader takes too many heartbeats itself; empty if
  /// this controller takes it. To be called once for each heartbeat.
  std::string redirect_for_heartbeat();

  // ---- messages of other controllers ----
  /// kForward: a user's request. kHeartbeat, kUnchangedHeartbeat: a worker's heartbeat.
  void on_forwarded_request(const protocol::PeerMessage& message);
  void on_forwarded_heartbeat(const protocol::PeerMessage& message);
  /// kAnswer, kCommands: what the leader answers to what was forwarded.
  void on_forward_answer(const protocol::PeerMessage& message);
  void on_commands(const protocol::PeerMessage& message);

  // ---- events ----
  /// Answers or settles what waited too long.
  void resolve_overdue();
  /// Routes the parked heartbeats if there is a leader by now.
  void retry_parked_heartbeats();
  /// Routes again what was forwarded to the member: it is not answered over this link any more.
  void on_link_down(const std::string& member);
  /// The scheduler's answer to a heartbeat; `term` is the fencing token that the commands carry.
  void answer_heartbeat(RequestKey key, int status, std::vector<protocol::Command> commands,
                        std::uint64_t term);

  /// The member that leads, as far as is known here; empty for none.
  std::string leader() const;
  std::size_t pending_count() const { return pending_.size(); }

 private:
  void route(RequestKey key);
  void park(RequestKey key);
  void serve(RequestKey key);
  void forward_user_request(RequestKey key, const std::string& leader);
  void forward_heartbeat(RequestKey key, const std::string& leader);
  bool leader_may_appear() const;
  void answer(RequestKey key, int status, int retry_after_s, std::string body);
  void answer_user(RequestKey key, const UserAnswer& answer);
  void refuse_heartbeat(RequestKey key, int status);
  void announce_cancellation(protocol::JobId id);
  void record_final_state(const std::string& job_body);

  ControllerContext& context_;
  Election& election_;
  Scheduler& scheduler_;
  const PeerVersions& versions_;
  QuotaLeases& quota_leases_;
  JobRequests& job_requests_;
  PeerTable& peers_;
  PeerFrames& frames_;
  PendingRequests pending_;
  ForwardedHeartbeats forwarded_heartbeats_;
  double heartbeat_window_began_ = 0;     ///< steady s
  std::size_t heartbeats_in_window_ = 0;  ///< that came by HTTP in the present second
};

}  // namespace robinford::coordination
