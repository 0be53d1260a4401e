/// @file
/// Decides where a request is answered: by this controller, by the leader, or once there is a leader.
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

/// Statuses by which a controller declines a request.
/// @{
constexpr int kNotLeading = 421;  ///< this controller can't act as the leader; the sender must use another
constexpr int kFullHeartbeatRequired = 409;  ///< to a peer: the leader needs the heartbeat in full
/// @}

/// Owns the pending requests and answers each of them exactly once, at the latest when its deadline passes. A
/// leader with a valid lease answers every request that reaches it, a degraded one at least the heartbeats.
/// Any other controller forwards requests to the leader. Without a leader that can serve them, or if the
/// leader does not answer in time, users' requests are served here from the records in the state service.
/// Heartbeats wait for a leader. Requests beyond the limits on waiting requests are refused with 503. A
/// forwarded request is served only by a leader and never forwarded again, because with a chain of forwards
/// it would be unclear which controller answers.
class RequestRouter {
 public:
  /// Whether a user's request was added to the pending requests.
  enum class Admission : std::uint8_t { kAdmitted, kTooMany };

  /// The components that the router uses; all of them outlive the router.
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
  /// Starts the request keys at a random number.
  explicit RequestRouter(const Parts& parts);

  // ---- requests by HTTP ----
  /// Routes a submission, poll or cancellation; `path` is its target without the query. On kTooMany the
  /// request was not added, and the caller must answer it.
  Admission accept_user_request(const protocol::HttpRequest& request, const std::string& path,
                                PendingRequest::Kind kind);
  void accept_heartbeat(std::uint64_t token, protocol::Heartbeat heartbeat);
  /// Counts a heartbeat and returns the follower that the worker should use instead, if this leader has
  /// received more heartbeats in the current window of one second than it accepts directly. Returns an empty
  /// string if this controller accepts the heartbeat, also if no follower can take it. Must be called
  /// once for each heartbeat that arrives by HTTP while the scheduler is serving.
  std::string redirect_for_heartbeat();

  // ---- messages of other controllers ----
  /// Handles a user's request (kForward).
  void on_forwarded_request(const protocol::PeerMessage& message);
  /// Handles a worker's heartbeat (kHeartbeat or kUnchangedHeartbeat).
  void on_forwarded_heartbeat(const protocol::PeerMessage& message);
  /// Handles the leader's answer to a forwarded user's request (kAnswer).
  void on_forward_answer(const protocol::PeerMessage& message);
  /// Handles the leader's answer to a forwarded heartbeat (kCommands).
  void on_commands(const protocol::PeerMessage& message);

  // ---- events ----
  /// Serves users' requests that the leader did not answer in time, and answers requests whose deadline has
  /// passed with 503.
  void resolve_overdue();
  /// Routes the parked heartbeats again if a leader is known.
  void retry_parked_heartbeats();
  /// Routes again the requests that were forwarded to `member`, since the link over which `member` would
  /// answer them is down.
  void on_link_down(const std::string& member);
  /// Sends the scheduler's answer to a heartbeat; `term` is the fencing token of the commands.
  void answer_heartbeat(RequestKey key, int status, std::vector<protocol::Command> commands,
                        std::uint64_t term);

  /// Returns the member that leads as far as this controller knows; empty if no leader is known.
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
  void apply_reported_final_state(const std::string& job_body);

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
  std::size_t heartbeats_in_window_ = 0;  ///< received by HTTP in the current window of one second
};

}  // namespace robinford::coordination
