/// @file
/// Decides which machines are drained and which are returned to the cloud.
#pragma once

#include "coordination/controller_context.hpp"
#include "coordination/fleet/capacity_pool.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {

/// Decides on scale-in: sets `Machine::draining` and moves machines to the state kReturning. CloudClient
/// makes the calls that return them.
class ScaleIn {
 public:
  /// The arguments must outlive this object.
  ScaleIn(ControllerContext& context, const Scheduler& scheduler);

  /// Drains the most expensive machines while there is more capacity than the arrays need: they take no new
  /// array tasks, so that they become idle and can be returned. Free spare machines for gangs are not
  /// drained.
  void drain_surplus(double array_cores_needed);
  /// Moves machines to the state kReturning that failed, did not boot, have been unresponsive for too long,
  /// are cordoned (once they are empty, if they have shown this leader's fencing token), or are drained and
  /// have been idle for too long. Of the latter, as many of each pool stay as waiting gangs will use.
  void mark_for_return(PoolCounts kept_for_waiting_gangs);
  /// Removes machines from the ledger that were returned long ago, or that no source has shown for long.
  void remove_stale_machines();

 private:
  /// Properties of the whole fleet, computed once per pass.
  struct FleetView {
    bool network_fault = false;  ///< so many machines are unresponsive that the network is the likelier cause
    /// So few machines are unreconciled that those whose probes fail repeatedly may be returned.
    bool few_unreconciled = false;
    bool gangs_arrive = false;
    bool arrays_arrive = false;
  };
  FleetView view_fleet() const;
  const char* return_reason(const bookkeeping::Machine& machine, const FleetView& view) const;
  double idle_limit_s(const bookkeeping::Machine& machine, const FleetView& view) const;
  bool is_stale(const bookkeeping::Machine& machine) const;

  ControllerContext& context_;
  const Scheduler& scheduler_;
};

}  // namespace robinford::coordination
