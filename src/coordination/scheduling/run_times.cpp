/// @file
/// Implements RunTimes.
#include "coordination/scheduling/run_times.hpp"

#include <algorithm>
#include <cmath>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Job;

void RunTimes::estimated(const protocol::JobSpec& spec) {
  if (spec.estimate_s <= 0) return;
  auto& times = classes_[spec.job_class];
  times.estimates += (std::log(spec.estimate_s) - times.estimates) / ++times.estimated;
}

void RunTimes::completed(Job& job, double ran) {
  job.run_time_sum_s += ran;
  ++job.run_time_count;
  // A large array must not drown all other jobs of its class.
  if (job.spec.estimate_s <= 0 || job.run_time_count > c::kLearnTasksPerJobMax) return;
  auto& times = classes_[job.spec.job_class];
  const double weight = std::max(c::kLearnWeightMin, 1.0 / ++times.count);
  const auto follow = [&](double seen, double& mean, double& spread) {
    const double off = seen - mean;
    mean += weight * off;
    spread += weight * (off * off - spread);
  };
  follow(std::log(std::max(ran, 0.1)), times.run, times.run_spread);
  follow(std::log(std::clamp(ran / job.spec.estimate_s, c::kLearnRatioMin, c::kLearnRatioMax)), times.error,
         times.error_spread);
}

// The owner's estimate, put right by what the class is usually off by, and drawn towards the class's usual
// run time the more the estimates scatter.
double RunTimes::expected(const Job& job) const {
  return job.run_time_count >= c::kLearnCompletionsMin ? job.run_time_sum_s / job.run_time_count
                                                       : expected(job.spec);
}

double RunTimes::expected(const protocol::JobSpec& spec) const {
  const auto found = classes_.find(spec.job_class);
  const bool known = found != classes_.end() && found->second.count >= c::kLearnCompletionsMin;
  if (spec.estimate_s <= 0) return known ? std::exp(found->second.run) : c::kDefaultRunS;
  const double estimate = std::log(spec.estimate_s);
  if (!known) {
    // Before anything of the class has run, other owners' estimates temper one that is far off.
    if (found == classes_.end() || found->second.estimated < c::kLearnCompletionsMin) return spec.estimate_s;
    return std::exp(c::kEstimateWeight * estimate + (1 - c::kEstimateWeight) * found->second.estimates);
  }
  const auto& times = found->second;
  const double trust = (times.run_spread + 0.01) / (times.run_spread + times.error_spread + 0.02);
  return std::exp(trust * (estimate + times.error) + (1 - trust) * times.run);
}

}  // namespace robinford::coordination
