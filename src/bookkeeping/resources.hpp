/// @file
/// Resource amounts of a machine.
#pragma once

#include <algorithm>
#include <cstdint>

#include "constants.hpp"
#include "protocol/messages.hpp"

namespace robinford::bookkeeping {

/// Free or total resources of a machine. Free ones may become negative, since take() does not check that the
/// tasks fit. Comparisons tolerate constants::kAmountRounding, because rounding errors of repeated additions
/// and subtractions accumulate.
struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  /// Whether `tasks` more tasks of the job fit.
  bool fits(const protocol::JobSpec& spec, std::uint32_t tasks = 1) const {
    return cpus + constants::kAmountRounding >= spec.cpus * tasks &&
           gpus + constants::kAmountRounding >= spec.gpus * tasks &&
           memory_gb + constants::kAmountRounding >= spec.memory_gb * tasks;
  }

  /// Number of tasks of the job that fit, at most constants::kTasksPerJobMax.
  std::uint32_t tasks_that_fit(const protocol::JobSpec& spec) const {
    double most = constants::kTasksPerJobMax;
    const auto limit = [&](double have, double need) {
      if (need > 0) most = std::min(most, std::max(0.0, have + constants::kAmountRounding) / need);
    };
    limit(cpus, spec.cpus);
    limit(gpus, spec.gpus);
    limit(memory_gb, spec.memory_gb);
    return static_cast<std::uint32_t>(most);
  }

  /// Subtracts what `tasks` tasks of the job need, without checking that they fit.
  void take(const protocol::JobSpec& spec, std::uint32_t tasks = 1) {
    cpus -= spec.cpus * tasks;
    gpus -= spec.gpus * tasks;
    memory_gb -= spec.memory_gb * tasks;
  }

  /// Adds back what `tasks` tasks of the job need.
  void give(const protocol::JobSpec& spec, std::uint32_t tasks = 1) {
    cpus += spec.cpus * tasks;
    gpus += spec.gpus * tasks;
    memory_gb += spec.memory_gb * tasks;
  }
};

}  // namespace robinford::bookkeeping
