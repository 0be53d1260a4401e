/// @file
/// Which arrays step back when not all of them can be over in time.
#pragma once

#include "coordination/controller_context.hpp"
#include "coordination/scheduling/queue_order.hpp"
#include "coordination/scheduling/run_times.hpp"

namespace robinford::coordination {

/// Sets `Job::tier` of all active arrays. A team that asks for more than its limit can't have all jobs in
/// time: going through its arrays by due time, whenever one would be late the largest so far steps back, so
/// that the fewest jobs are late. Those that stepped back are sorted the same way once more, against one and
/// a half times the time they had; what is late even then gets the last tier.
///
/// `supply_cpus`: of all machines that are up or booting. Nothing of safety depends on the tiers.
void assign_array_tiers(ControllerContext& context, const RunTimes& run_times, const QueueOrder& order,
                        double supply_cpus);

}  // namespace robinford::coordination
