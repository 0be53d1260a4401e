/// @file
/// One controller of the cluster, without any I/O: docs/design.md.
#pragma once

#include <cstdint>
#include <string>

#include "coordination/controller_context.hpp"
#include "coordination/election/election.hpp"
#include "coordination/election/peer_versions.hpp"
#include "coordination/fleet/fleet.hpp"
#include "coordination/quota_leases.hpp"
#include "coordination/routing/direct_calls.hpp"
#include "coordination/routing/http_requests.hpp"
#include "coordination/routing/job_requests.hpp"
#include "coordination/routing/peer_frames.hpp"
#include "coordination/routing/peer_table.hpp"
#include "coordination/routing/request_router.hpp"
#include "coordination/scheduling/scheduler.hpp"
#include "protocol/peer_codec.hpp"

namespace robinford::coordination {

/// Owns the components of one controller and dispatches each event to the component that handles it. It does
/// no I/O and reads no clock: each event comes with a clock reading and puts the resulting actions into the
/// outbox, which the caller takes after each event. Not thread-safe.
class Controller {
 public:
  /// Result of processing a frame from another controller.
  enum class FrameOutcome : std::uint8_t {
    kAccepted,
    kMalformed,  ///< a part of the frame could not be decoded, or its sender is unknown
  };

  /// `incarnation` identifies this process among all processes of this member and increases with the start
  /// time. `seed` initializes the random number generator.
  Controller(const protocol::Settings& settings, const protocol::Policy& policy, std::uint64_t incarnation,
             std::uint64_t seed, const quota::LeaseOptions& lease_options = {});

  /// Runs the timers and sends the buffered frames to the other controllers. Must be called every few tens of
  /// milliseconds.
  void on_tick(const protocol::ClockReading& now);
  /// Handles a request of a worker or a user. The reply carries the request's token and is issued in this
  /// step or a later one.
  void on_request(const protocol::ClockReading& now, const protocol::HttpRequest& request);
  /// Handles the result of a call from an earlier outbox: a response or a failure.
  void on_result(const protocol::ClockReading& now, std::uint64_t call, const protocol::CallResult& result);
  /// Handles a change of the link to another controller.
  void on_link(const protocol::ClockReading& now, const std::string& member, bool up);
  /// Handles a frame from another controller. If a message in a decoded frame is rejected, the other messages
  /// of the frame still take effect.
  FrameOutcome on_frame(const protocol::ClockReading& now, const std::string& frame);
  /// Prepares for the end of the process: reports itself as not ready, resigns leadership and stops taking
  /// part in elections.
  void on_terminate(const protocol::ClockReading& now);

  /// Removes and returns the actions that were added since the last call.
  protocol::Outbox take_outbox();
  const Election& election() const { return election_; }
  const Scheduler& scheduler() const { return scheduler_; }
  Scheduler& scheduler() { return scheduler_; }
  ControllerContext& context() { return context_; }
  const QuotaLeases& quota_leases() const { return quota_leases_; }

 private:
  void begin_step(const protocol::ClockReading& now);
  void finish_step();
  // ---- changes of leadership ----
  void on_elected();
  void on_leadership_lost();
  void on_degraded(bool degraded);
  // ---- other controllers ----
  FrameOutcome on_message(const protocol::PeerMessage& message);
  void on_status(const protocol::PeerMessage& status);
  void on_job_changed(const protocol::PeerMessage& message);
  void on_cancellations_announced(const protocol::PeerMessage& message);
  FrameOutcome on_quota_message(const protocol::PeerMessage& message);
  void send_quota_message(const std::string& member, std::string body);
  void notify_leader_of_job(protocol::JobId id);
  void broadcast_status();
  void flush_frames();

  ControllerContext context_;
  PeerVersions versions_;
  Election election_;
  PeerTable peers_;
  PeerFrames frames_;
  QuotaLeases quota_leases_;
  Scheduler scheduler_;
  Fleet fleet_;
  JobRequests job_requests_;
  DirectCalls direct_calls_;
  RequestRouter router_;
  HttpRequests http_requests_;
  double next_status_broadcast_ = 0;  ///< steady s
  bool terminating_ = false;
};

}  // namespace robinford::coordination
