/// @file
/// Totals over the capacity of all machines, so that a heartbeat does not have to visit every machine.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "coordination/controller_context.hpp"
#include "coordination/scheduling/arrival_history.hpp"
#include "coordination/scheduling/queue_order.hpp"

namespace robinford::coordination {

/// Totals of fleet capacity and array demand, from which it is decided whether arrays should leave a machine
/// free. Recomputed at most every `kCapacitySurveyIntervalS`; in between, only the demand of placed array
/// tasks is subtracted.
class CapacitySurvey {
 public:
  /// The references must outlive the object.
  CapacitySurvey(ControllerContext& context, const ArrivalHistory& arrivals)
      : context_(context), arrivals_(arrivals) {}

  /// Makes the next `refresh_if_due` recompute the totals. They keep their values until then.
  void expire() { next_refresh_ = 0; }
  /// Recomputes the totals if they are due. `queues`: the arrays with tasks to place, by team.
  void refresh_if_due(const QueueOrder::Queues& queues);
  void array_task_placed(const protocol::JobSpec& spec) { array_demand_cpus_ -= spec.cpus; }

  /// Cpus of all machines that are up or booting.
  double supply_cpus() const { return supply_cpus_; }
  /// Cpus of all unplaced array tasks, for each team at most its remaining quota.
  double array_demand_cpus() const { return array_demand_cpus_; }
  /// Whether the machines of classes that arrays should fill before this one have more free cpus than all
  /// unplaced array tasks need. Arrays can then leave this machine free, since the others send their
  /// heartbeats soon, too.
  bool arrays_fit_preferred_machines(const bookkeeping::Machine& machine) const;

 private:
  // Listed in the order in which arrays should fill machines.
  enum class CapacityClass : std::uint8_t {
    kSpot,          // spot machines, the cheapest
    kOrdinary,      // not kept for gangs, or already with a gang
    kKeptForGangs,  // without a gang, and kept for gangs (see `ArrivalHistory::kept_for_gangs`)
  };
  static constexpr std::size_t kClasses = 3;
  CapacityClass class_of(const bookkeeping::Machine& machine) const;
  void count(const QueueOrder::Queues& queues);

  ControllerContext& context_;
  const ArrivalHistory& arrivals_;
  double next_refresh_ = 0;
  double supply_cpus_ = 0;
  double array_demand_cpus_ = 0;
  // By class: free cpus on machines of all preceding classes that take work and are not draining.
  std::array<double, kClasses> preferred_free_cpus_{};
};

}  // namespace robinford::coordination
