#include "coordination/fleet/fleet.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;

Fleet::Fleet(ControllerContext& context, Election& election, Scheduler& scheduler)
    : context_(context),
      election_(election),
      scheduler_(scheduler),
      zones_(context),
      cloud_(context, election, scheduler),
      scale_out_(context, scheduler, cloud_, zones_),
      scale_in_(context, scheduler) {}

void Fleet::begin() {
  cloud_.begin_term();
  zones_.clear();
  next_review_ = 0;
}

void Fleet::end() { cloud_.end_term(); }

void Fleet::tick() {
  cloud_.refill_budget();
  const LeaderPhase phase = scheduler_.phase();
  if (!election_.owns_fencing_token() || phase == LeaderPhase::kNone || phase == LeaderPhase::kLoading)
    return;
  // A degraded leader returns only machines that may still run cancelled work, since users were promised that
  // this work ends.
  if (!election_.valid()) return cloud_.return_machines(ReturnScope::kCancelledWorkOnly);
  if (context_.now.steady >= next_review_) {
    next_review_ = context_.now.steady + c::kFleetReviewIntervalS;
    if (phase == LeaderPhase::kServing && !context_.types.empty()) review();
  }
  cloud_.send_due_call();
}

void Fleet::review() {
  zones_.update(scheduler_.serving_since());
  const PoolCounts missing = scale_out_.plan();
  if (context_.now.steady >= next_log_ && spdlog::should_log(spdlog::level::debug)) {
    next_log_ = context_.now.steady + c::kFleetLogIntervalS;
    scale_out_.log_figures();
  }
  provision(missing);
  scale_in_.drain_surplus(scale_out_.array_cores_needed());
  scale_in_.mark_for_return(scale_out_.kept_for_waiting_gangs());
  cloud_.return_machines(ReturnScope::kAll);
  scale_in_.remove_stale_machines();
}

// Queues several requests at once for a large shortage, but none for a pool with a request that has no final
// answer yet.
void Fleet::provision(const PoolCounts& missing) {
  for (const auto& [pool, count] : missing)
    if (!cloud_.has_request(pool))
      cloud_.provision(pool,
                       std::min(count, c::kProvisionRequestMachinesMax * c::kProvisionRequestsInFlightMax));
}

}  // namespace robinford::coordination
