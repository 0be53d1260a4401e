/// @file
/// Implements QueueOrder.
#include "coordination/scheduling/queue_order.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Job;
using bookkeeping::JobState;

Rank QueueOrder::rank(const Job& job, std::uint32_t tasks) const {
  Rank rank{!context_.quota.within_guarantee(job.spec, tasks),
            -static_cast<int>(job.priority()),
            job.tier,
            context_.quota.share_used(job.spec.team, context_.share_of(job.spec.team)),
            time_left(job),
            job.submitted_ms,
            job.spec.id};
  // Jobs that have waited for too long come first among jobs with equal `borrows` and `priority`, ordered by
  // submission instead of share. Otherwise jobs could starve, large ones most of all.
  const bool gang_overdue = job.spec.gang && context_.now.steady - job.known_at > c::kGangClaimAfterS;
  if (gang_overdue || waited_too_long(job)) {
    rank.tier = -1;
    rank.share = 0;
    rank.time_left_s = 0;
  }
  return rank;
}

bool QueueOrder::waited_too_long(const Job& job) const {
  return !job.spec.gang && job.first_started_at == 0 &&
         context_.now.steady - job.known_at > c::kArrayOverdueWaitS;
}

double QueueOrder::time_left(const Job& job) const {
  const auto wall_ms = static_cast<double>(context_.now.wall_ms);
  const double inherited = (job.inherited_due_ms - wall_ms) / 1000;
  if (job.spec.deadline_s) return std::min(inherited, (job.due_ms() - wall_ms) / 1000);
  const double age = std::max(0.0, (wall_ms - static_cast<double>(job.eligible_ms())) / 1000);
  for (const auto& objective : context_.settings.objectives)
    if (objective.kind == "finished" && objective.job_class == job.spec.job_class)
      return std::min(inherited, objective.within_s - age);
  return std::min(inherited, c::kDefaultAllowedRuns * run_times_.expected(job) + c::kDefaultRunS - age);
}

double QueueOrder::min_duration_s(const Job& job) const {
  double slowest = std::numeric_limits<double>::infinity();
  for (const auto& [name, type] : context_.types)
    if (type.fetch_gb_per_s > 0) slowest = std::min(slowest, type.fetch_gb_per_s);
  const double fetch_s = std::isfinite(slowest) ? job.spec.image_gb / slowest : 0;
  return run_times_.expected(job) + fetch_s + 2 * context_.settings.heartbeat_interval_s;
}

void QueueOrder::clear() {
  queues_.clear();
  changed_ = true;
  next_sort_ = 0;
}

void QueueOrder::sort() {
  next_sort_ = context_.now.steady + c::kQueueSortIntervalS;
  changed_ = false;
  queues_.clear();
  std::map<const Job*, Rank> ranks;
  for (auto& [id, job] : context_.jobs.all()) {
    job->queued = false;
    if (job->spec.gang || job->state != JobState::kActive || job->unplaced() == 0) continue;
    job->queued = true;
    queues_[job->spec.team].push_back(job.get());
    ranks.emplace(job.get(), rank(*job, 1));
  }
  // `share` is equal for all jobs of a team in the same tier, and `borrows` changes with each placement, so
  // neither is part of the key.
  const auto sort_key = [&](const Job* job) {
    const Rank& of_job = ranks.at(job);
    return std::tuple(of_job.priority, of_job.tier, of_job.time_left_s, of_job.submitted, of_job.id);
  };
  for (auto& [team, queue] : queues_)
    std::sort(queue.begin(), queue.end(),
              [&](const Job* left, const Job* right) { return sort_key(left) < sort_key(right); });
}

}  // namespace robinford::coordination
