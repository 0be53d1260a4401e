/// @file
/// Reports jobs whose final state is not durable yet.
#pragma once

#include <cstddef>
#include <cstdint>

#include "bookkeeping/job.hpp"
#include "coordination/metrics.hpp"

namespace robinford::coordination {

/// Counts, in each sweep over the ledger, the jobs whose final state is being written, and warns about the
/// one that has waited longest: until it is durable, users get no answer about the job. Times are steady s.
class FinalStateWatch {
 public:
  /// Starts a sweep.
  void begin_sweep(double now);
  /// Visits a job of the ledger; the job must exist until end_sweep().
  void visit(const bookkeeping::Job& job);
  /// Ends the sweep: sets the gauges and, if the oldest job is overdue, logs a warning, at most once per
  /// constants::kOverdueWarningIntervalS.
  void end_sweep(std::uint64_t term, Metrics& metrics);

 private:
  void warn(std::uint64_t term) const;

  double now_ = 0;
  double last_warning_at_ = -1e9;
  std::size_t waiting_ = 0;
  const bookkeeping::Job* oldest_ = nullptr;
};

}  // namespace robinford::coordination
