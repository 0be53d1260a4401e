/// @file
/// The fleet's free capacity in sums, so that heartbeats need not look at every machine.
#include <algorithm>

#include "constants.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::MachineState;

// Arrays fill spot machines first, then those no gang wants, then the rest.
int Scheduler::capacity_class(const Machine& machine) const {
  if (machine.spot) return 0;
  return kept_for_gangs(machine) && !has_gang(machine) ? 2 : 1;
}

// The fleet's capacity at a glance, so that no heartbeat has to look at all machines.
void Scheduler::survey() {
  next_survey_ = context_.now.steady + c::kSurveyEveryS;
  survey_ = {};
  for (auto& [name, machine] : context_.machines.all()) {
    if (machine.state == MachineState::kUp || machine.state == MachineState::kBooting)
      survey_.supply += machine.cpus;
    if (!takes_work(context_, machine) || machine.draining) continue;
    const double free = std::max(0.0, free_resources(context_, machine).cpus);
    for (int above = capacity_class(machine) + 1; above <= 2; ++above) survey_.better[above] += free;
  }
  std::map<std::string, double> teams;
  for (const auto& [name, queue] : queues_)
    for (const Job* job : queue) teams[name] += job->unplaced() * job->spec.cpus;
  for (const auto& [name, cpus] : teams) survey_.array_demand += std::min(cpus, context_.quota.left(name));
}

}  // namespace robinford::coordination
