/// @file
/// The fleet of the leader: reviews scale-out and scale-in, and keeps the cloud's answers coming.
#pragma once

#include "coordination/controller_context.hpp"
#include "coordination/election/election.hpp"
#include "coordination/fleet/cloud_client.hpp"
#include "coordination/fleet/scale_in.hpp"
#include "coordination/fleet/scale_out.hpp"
#include "coordination/fleet/zone_health.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {

/// Wires the parts of the package, in the order in which they depend on one another: ZoneHealth, CloudClient,
/// ScaleOut, ScaleIn. Does nothing unless this controller leads.
class Fleet {
 public:
  /// The arguments have to outlive it.
  Fleet(ControllerContext& context, Election& election, Scheduler& scheduler);
  /// This controller was elected.
  void begin();
  /// It does not lead any more.
  void end();
  /// Reviews the fleet when that is due, and sends the cloud call that is due.
  void tick();

 private:
  void review();
  void provision(const PoolCounts& missing);

  ControllerContext& context_;
  Election& election_;
  Scheduler& scheduler_;
  ZoneHealth zones_;
  CloudClient cloud_;
  ScaleOut scale_out_;
  ScaleIn scale_in_;
  double next_review_ = 0;
  double next_log_ = 0;
};

}  // namespace robinford::coordination
