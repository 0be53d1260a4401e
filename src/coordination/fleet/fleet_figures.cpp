#include "coordination/fleet/fleet_figures.hpp"

#include <algorithm>
#include <cmath>

namespace robinford::coordination {
using bookkeeping::Machine;

double array_cores(const Machine& machine) { return std::max(0.0, machine.cpus - machine.gang_cpus); }

double price_per_core(const ControllerContext& context, const Machine& machine) {
  const auto found = context.types.find(machine.type);
  if (found == context.types.end()) return 0.0;
  const double price = machine.spot ? found->second.spot_price : found->second.price;
  return price / std::max(1.0, machine.cpus);
}

double shortest_boot_s(const ControllerContext& context) {
  double boot_s = 0;
  for (const auto& [name, type] : context.types)
    if (boot_s == 0 || type.boot_s < boot_s) boot_s = type.boot_s;
  return boot_s;
}

int spare_gang_machines(const ControllerContext& context, const Scheduler& scheduler) {
  if (context.policy.spare_machines >= 0) return context.policy.spare_machines;
  double longest_boot_s = 0;
  for (const auto& [name, type] : context.types) longest_boot_s = std::max(longest_boot_s, type.boot_s);
  return static_cast<int>(std::lround(scheduler.gang_rate() * longest_boot_s));
}

bool is_empty(const Machine& machine) {
  return machine.tasks.empty() && machine.reservations.empty() && machine.unknown_tasks.empty() &&
         !machine.unreconciled;
}

}  // namespace robinford::coordination
