/// @file
/// Assigns tiers to arrays when not all of them can end by their due times.
#pragma once

#include "coordination/controller_context.hpp"
#include "coordination/scheduling/queue_order.hpp"
#include "coordination/scheduling/run_times.hpp"

namespace robinford::coordination {

/// Sets `Job::tier` of the active arrays of all teams in the settings. A team whose arrays need more cores
/// than its quota and the fleet can be expected to provide cannot end all of them in time. Its arrays are
/// added in the order of their due times minus a part of their tasks' run time; whenever one would be late,
/// the largest one added so far is moved to the next tier, which keeps the number of late jobs small. The
/// arrays moved are then added in the same way, allowed one and a half times their total time (from
/// submission to due time). Those that would be late even then get the last tier.
///
/// `supply_cpus`: cpus of all machines that are up or booting. The tiers affect only the order of placement,
/// not its safety.
void assign_array_tiers(ControllerContext& context, const RunTimes& run_times, const QueueOrder& order,
                        double supply_cpus);

}  // namespace robinford::coordination
