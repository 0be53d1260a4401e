/// @file
/// Which machines take no new work, and which are returned to the cloud.
#pragma once

#include "coordination/controller_context.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {

/// Decides on scale-in: sets `Machine::draining` and moves machines to the state kReturning. The calls that
/// return them are made by CloudClient.
class ScaleIn {
 public:
  /// The arguments have to outlive it.
  ScaleIn(ControllerContext& context, const Scheduler& scheduler);

  /// More capacity than the arrays need: the dearest machines take no new array tasks, so that they become
  /// idle and can be returned.
  void drain_surplus(double array_cores_needed);
  /// Marks machines that failed, are lost or are idle for longer than pays.
  void mark_for_return();
  /// Removes machines from the ledger that nothing has shown for long.
  void remove_stale_machines();

 private:
  /// What one pass over the fleet shows about all of it.
  struct FleetView {
    bool network_fault = false;  ///< so many machines are unresponsive that the network is the likelier cause
    bool few_unreconciled = false;  ///< few enough to be given up while jobs wait for proof of what they run
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
