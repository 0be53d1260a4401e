/// @file
/// Predicts how long tasks run.
#pragma once

#include <map>
#include <string>

#include "bookkeeping/job_ledger.hpp"

namespace robinford::coordination {

/// Predicts run times from the owners' estimates, corrected by completions of the same class of jobs. It is
/// kept across terms of leadership. The predictions affect only the order of placement and the size of the
/// fleet, not safety.
class RunTimes {
 public:
  /// Records the owner's estimate, if there is one, of a job that became eligible.
  void record_estimate(const protocol::JobSpec& spec);
  /// Records that a task of the job succeeded after running for `ran_s` seconds. Only the first
  /// `kLearnTasksPerJobMax` completions of a job with an estimate count for its class.
  void record_completion(bookkeeping::Job& job, double ran_s);
  /// Expected run time of a task of the job, in s: the mean of the job's own completions once there are
  /// `kLearnCompletionsMin` of them, before that as for its specification.
  double expected(const bookkeeping::Job& job) const;
  /// Expected run time of a task, in s, from the owner's estimate and the estimates and completions of the
  /// job's class.
  double expected(const protocol::JobSpec& spec) const;

 private:
  // Moving averages and variances for one class of jobs, of natural logarithms: of the run time, and of the
  // ratio of run time to estimate (the error of the estimate).
  struct ClassTimes {
    double log_run_mean = 0;
    double log_run_variance = 0;
    double log_error_mean = 0;
    double log_error_variance = 0;
    int completion_count = 0;
    double log_estimate_mean = 0;  // mean of the logarithms of the owners' estimates, each with equal weight
    int estimate_count = 0;
  };
  std::map<std::string, ClassTimes> classes_;
};

}  // namespace robinford::coordination
