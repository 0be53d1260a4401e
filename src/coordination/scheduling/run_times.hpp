// How long tasks run: the owners' estimates, corrected by what completions showed. Nothing of safety depends
// on it.
#pragma once

#include <map>
#include <string>

#include "bookkeeping/job_ledger.hpp"

namespace robinford::coordination {

class RunTimes {
 public:
  // A job came, with its owner's estimate.
  void estimated(const protocol::JobSpec& spec);
  // A task of the job ran for so long to its end.
  void completed(bookkeeping::Job& job, double ran);
  // Expected run time of a task, in s. The job's own completions count above all.
  double expected(const bookkeeping::Job& job) const;
  double expected(const protocol::JobSpec& spec) const;

 private:
  // What completions tell of a class, in natural logarithms: its run times, and how far the owners' estimates
  // are off.
  struct ClassTimes {
    double run = 0, run_spread = 0, error = 0, error_spread = 0;
    int count = 0;
    double estimates = 0;  // mean of the owners' estimates, also in logarithms
    int estimated = 0;
  };
  std::map<std::string, ClassTimes> classes_;
};

}  // namespace robinford::coordination
