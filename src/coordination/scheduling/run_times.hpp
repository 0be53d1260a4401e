/// @file
/// How long tasks run.
#pragma once

#include <map>
#include <string>

#include "bookkeeping/job_ledger.hpp"

namespace robinford::coordination {

/// Predicts run times from the owners' estimates, corrected by completions of the same class of jobs.
/// Outlives a term of leadership; nothing of safety depends on it.
class RunTimes {
 public:
  /// A job came, with its owner's estimate.
  void record_estimate(const protocol::JobSpec& spec);
  /// A task of the job ran for `ran` seconds to its end.
  void record_completion(bookkeeping::Job& job, double ran_s);
  /// Expected run time of a task, in s. The job's own completions count above all.
  double expected(const bookkeeping::Job& job) const;
  /// Expected run time of a task of a job that has not completed any, in s.
  double expected(const protocol::JobSpec& spec) const;

 private:
  // What completions tell of a class, in natural logarithms: its run times, and how far the owners' estimates
  // are off.
  struct ClassTimes {
    double log_run_mean = 0;
    double log_run_variance = 0;
    double log_error_mean = 0;
    double log_error_variance = 0;
    int completion_count = 0;
    double log_estimate_mean = 0;  // mean of the owners' estimates, also in logarithms
    int estimate_count = 0;
  };
  std::map<std::string, ClassTimes> classes_;
};

}  // namespace robinford::coordination
