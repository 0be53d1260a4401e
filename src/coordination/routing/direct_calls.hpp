/// @file
/// Direct calls to workers, made by this controller or by another one for it: docs/design.md, "Direct
/// launches".
#pragma once

#include <cstdint>
#include <map>

#include "coordination/controller_context.hpp"
#include "coordination/election/election.hpp"
#include "coordination/routing/peer_frames.hpp"
#include "coordination/routing/peer_table.hpp"
#include "coordination/scheduling/scheduler.hpp"
#include "protocol/peer_codec.hpp"

namespace robinford::coordination {

/// Owns the direct calls that other controllers make for this leader, and counts those that this controller
/// has open. Each call costs a connection, so a leader has its followers make them in turn, and makes them
/// itself only when there is none. The scheduler hears of each call once, with status 0 if no answer came.
class DirectCalls {
 public:
  DirectCalls(ControllerContext& context, const Election& election, Scheduler& scheduler, PeerTable& peers,
              PeerFrames& frames);

  /// Makes the call for this leader, here or through a follower.
  void start(const DirectCall& call);
  /// Another controller asks for a call, by a message of kind kProbe.
  void execute_call(const protocol::PeerMessage& probe);
  /// A follower answered a call, by a message of kind kProbeResult.
  void on_peer_result(const protocol::PeerMessage& result);
  /// Reports the calls that followers did not answer in time.
  void tick();

 private:
  /// What a worker answered to a call; null heartbeat: nothing that can be used.
  void finish(const std::string& requester, std::uint64_t id, int status,
              const protocol::Heartbeat* heartbeat);

  ControllerContext& context_;
  const Election& election_;
  Scheduler& scheduler_;
  PeerTable& peers_;
  PeerFrames& frames_;
  std::map<std::uint64_t, double> delegated_;  ///< steady deadlines of the followers' calls, by call
  std::size_t open_calls_ = 0;                 ///< that this controller makes itself
};

}  // namespace robinford::coordination
