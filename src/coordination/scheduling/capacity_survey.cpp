/// @file
/// Implements CapacitySurvey.
#include "coordination/scheduling/capacity_survey.hpp"

#include <algorithm>
#include <map>
#include <string>

#include "constants.hpp"
#include "coordination/scheduling/placement.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Machine;
using bookkeeping::MachineState;

CapacitySurvey::CapacityClass CapacitySurvey::class_of(const Machine& machine) const {
  if (machine.spot) return CapacityClass::kSpot;
  return arrivals_.kept_for_gangs(machine) && !has_gang(machine) ? CapacityClass::kKeptForGangs
                                                                 : CapacityClass::kOrdinary;
}

bool CapacitySurvey::arrays_fit_preferred_machines(const Machine& machine) const {
  return preferred_free_cpus_.at(static_cast<std::size_t>(class_of(machine))) > array_demand_cpus_;
}

void CapacitySurvey::refresh_if_due(const QueueOrder::Queues& queues) {
  if (context_.now.steady < next_refresh_) return;
  next_refresh_ = context_.now.steady + c::kCapacitySurveyIntervalS;
  count(queues);
}

void CapacitySurvey::count(const QueueOrder::Queues& queues) {
  supply_cpus_ = 0;
  preferred_free_cpus_.fill(0);
  for (auto& [name, machine] : context_.machines.all()) {
    if (machine.state == MachineState::kUp || machine.state == MachineState::kBooting)
      supply_cpus_ += machine.cpus;
    if (!takes_work(context_, machine) || machine.draining) continue;
    const double free_cpus = std::max(0.0, available_resources(context_, machine).cpus);
    for (auto later = static_cast<std::size_t>(class_of(machine)) + 1; later < kClasses; ++later)
      preferred_free_cpus_.at(later) += free_cpus;
  }
  array_demand_cpus_ = 0;
  for (const auto& [team, queue] : queues) {
    double cpus = 0;
    for (const auto* job : queue) cpus += job->unplaced() * job->spec.cpus;
    array_demand_cpus_ += std::min(cpus, context_.quota.left(team));
  }
}

}  // namespace robinford::coordination
