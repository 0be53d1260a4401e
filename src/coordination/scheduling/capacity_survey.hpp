/// @file
/// Sums over the fleet's capacity, so that a heartbeat need not look at every machine.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "coordination/controller_context.hpp"
#include "coordination/scheduling/arrival_history.hpp"
#include "coordination/scheduling/queue_order.hpp"

namespace robinford::coordination {

/// Knows how much capacity the fleet has, and whether waiting arrays should leave a machine to others.
/// Counted anew at most every `kSurveyEveryS`; in between only placed array tasks are subtracted.
class CapacitySurvey {
 public:
  /// The references must outlive the survey.
  CapacitySurvey(ControllerContext& context, const ArrivalHistory& arrivals)
      : context_(context), arrivals_(arrivals) {}

  /// The next `refresh_if_due` counts. The sums stay until then.
  void expire() { next_refresh_ = 0; }
  /// `queues`: the arrays with tasks to place, by team.
  void refresh_if_due(const QueueOrder::Queues& queues);
  void array_task_placed(const protocol::JobSpec& spec) { array_demand_cpus_ -= spec.cpus; }

  /// Of all machines that are up or booting.
  double supply_cpus() const { return supply_cpus_; }
  /// Of unplaced array tasks, each team's up to its limit.
  double array_demand_cpus() const { return array_demand_cpus_; }
  /// Whether machines that arrays should fill before this one have free capacity for all unplaced array
  /// tasks. They send heartbeats before long, too.
  bool arrays_fit_preferred_machines(const bookkeeping::Machine& machine) const;

 private:
  // In the order in which arrays fill machines.
  enum class CapacityClass : std::uint8_t {
    kSpot,          // cheapest
    kOrdinary,      // of no use to gangs, or with a gang already
    kKeptForGangs,  // free for a gang that takes most of it
  };
  static constexpr std::size_t kClasses = 3;
  CapacityClass class_of(const bookkeeping::Machine& machine) const;
  void count(const QueueOrder::Queues& queues);

  ControllerContext& context_;
  const ArrivalHistory& arrivals_;
  double next_refresh_ = 0;
  double supply_cpus_ = 0;
  double array_demand_cpus_ = 0;
  std::array<double, kClasses> preferred_free_cpus_{};  // by class: free on machines of the classes before it
};

}  // namespace robinford::coordination
