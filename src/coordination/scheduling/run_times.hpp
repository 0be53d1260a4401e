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
  void estimated(const protocol::JobSpec& spec);
  /// A task of the job ran for `ran` seconds to its end.
  void completed(bookkeeping::Job& job, double ran);
  /// Expected run time of a task, in s. The job's own completions count above all.
  double expected(const bookkeeping::Job& job) const;
  /// Expected run time of a task of a job that has not completed any, in s.
  double expected(const protocol::JobSpec& spec) const;

 private:
  // What completions tell of a class, in natural logarithms: its run times, and how far the owners' estimates
  // are off.
  struct ClassTimes {
    double run = 0;
    double run_spread = 0;
    double error = 0;
    double error_spread = 0;
    int count = 0;
    double estimates = 0;  // mean of the owners' estimates, also in logarithms
    int estimated = 0;
  };
  std::map<std::string, ClassTimes> classes_;
};

}  // namespace robinford::coordination
