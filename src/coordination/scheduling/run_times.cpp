/// @file
/// Implements RunTimes.
#include "coordination/scheduling/run_times.hpp"

#include <algorithm>
#include <cmath>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Job;

void RunTimes::record_estimate(const protocol::JobSpec& spec) {
  if (spec.estimate_s <= 0) return;
  auto& times = classes_[spec.job_class];
  times.log_estimate_mean += (std::log(spec.estimate_s) - times.log_estimate_mean) / ++times.estimate_count;
}

void RunTimes::record_completion(Job& job, double ran_s) {
  job.run_time_sum_s += ran_s;
  ++job.run_time_count;
  // Only the first completions of each job count, so that a large array does not outweigh all other jobs of
  // its class.
  if (job.spec.estimate_s <= 0 || job.run_time_count > c::kLearnTasksPerJobMax) return;
  auto& times = classes_[job.spec.job_class];
  const double weight = std::max(c::kLearnWeightMin, 1.0 / ++times.completion_count);
  const auto update_average = [&](double sample, double& mean, double& variance) {
    const double deviation = sample - mean;
    mean += weight * deviation;
    variance += weight * (deviation * deviation - variance);
  };
  update_average(std::log(std::max(ran_s, 0.1)), times.log_run_mean, times.log_run_variance);
  update_average(std::log(std::clamp(ran_s / job.spec.estimate_s, c::kLearnRatioMin, c::kLearnRatioMax)),
                 times.log_error_mean, times.log_error_variance);
}

double RunTimes::expected(const Job& job) const {
  return job.run_time_count >= c::kLearnCompletionsMin ? job.run_time_sum_s / job.run_time_count
                                                       : expected(job.spec);
}

double RunTimes::expected(const protocol::JobSpec& spec) const {
  const auto found = classes_.find(spec.job_class);
  const bool known = found != classes_.end() && found->second.completion_count >= c::kLearnCompletionsMin;
  if (spec.estimate_s <= 0) return known ? std::exp(found->second.log_run_mean) : c::kDefaultRunS;
  const double estimate = std::log(spec.estimate_s);
  if (!known) {
    // Until enough tasks of the class have completed, the estimate is averaged with the estimates of the
    // class, if there are enough of them, so that a single wrong estimate has less effect.
    if (found == classes_.end() || found->second.estimate_count < c::kLearnCompletionsMin)
      return spec.estimate_s;
    return std::exp(c::kEstimateWeight * estimate +
                    (1 - c::kEstimateWeight) * found->second.log_estimate_mean);
  }
  // The estimate is corrected by the mean error of its class, and weighted against the mean run time of the
  // class: the more the errors of the estimates vary, the less the estimate counts.
  const auto& times = found->second;
  const double trust =
      (times.log_run_variance + 0.01) / (times.log_run_variance + times.log_error_variance + 0.02);
  return std::exp(trust * (estimate + times.log_error_mean) + (1 - trust) * times.log_run_mean);
}

}  // namespace robinford::coordination
