/// @file
/// Manages the leader's fleet: reviews scale-out and scale-in, and sends the cloud calls that are due.
#pragma once

#include "coordination/controller_context.hpp"
#include "coordination/election/election.hpp"
#include "coordination/fleet/cloud_client.hpp"
#include "coordination/fleet/scale_in.hpp"
#include "coordination/fleet/scale_out.hpp"
#include "coordination/fleet/zone_health.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {

/// Owns the parts of this package, declared in the order in which they depend on one another: ZoneHealth,
/// CloudClient, ScaleOut, ScaleIn. Reviews nothing and makes no cloud call unless
/// this controller leads and has loaded the ledger.
class Fleet {
 public:
  /// The arguments must outlive this object.
  Fleet(ControllerContext& context, Election& election, Scheduler& scheduler);
  /// Starts a term after this controller was elected.
  void begin();
  /// Ends the term when this controller no longer leads.
  void end();
  /// Reviews the fleet if a review is due, and sends the cloud call that is due. A degraded leader only
  /// returns machines that may still run cancelled work.
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
  double next_review_ = 0;  ///< steady time
  double next_log_ = 0;     ///< steady time
};

}  // namespace robinford::coordination
