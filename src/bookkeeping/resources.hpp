/// @file
/// Amounts of a machine that tasks take and give back.
#pragma once

#include <algorithm>
#include <cstdint>

#include "constants.hpp"
#include "protocol/messages.hpp"

namespace robinford::bookkeeping {

/// Free amounts of one machine. They may fall below zero, since take() checks nothing. Comparisons allow for
/// constants::kAmountRounding, as many amounts were added and taken.
struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  /// Whether so many more tasks of the job fit.
  bool fits(const protocol::JobSpec& spec, std::uint32_t tasks = 1) const {
    return cpus + constants::kAmountRounding >= spec.cpus * tasks &&
           gpus + constants::kAmountRounding >= spec.gpus * tasks &&
           memory_gb + constants::kAmountRounding >= spec.memory_gb * tasks;
  }

  /// How many tasks of the job fit, at most constants::kTasksPerJobMax.
  std::uint32_t tasks_of(const protocol::JobSpec& spec) const {
    double most = constants::kTasksPerJobMax;
    const auto limit = [&](double have, double need) {
      if (need > 0) most = std::min(most, std::max(0.0, have + constants::kAmountRounding) / need);
    };
    limit(cpus, spec.cpus);
    limit(gpus, spec.gpus);
    limit(memory_gb, spec.memory_gb);
    return static_cast<std::uint32_t>(most);
  }

  /// Tasks of the job are placed. Whether they fit is not checked.
  void take(const protocol::JobSpec& spec, std::uint32_t tasks = 1) {
    cpus -= spec.cpus * tasks;
    gpus -= spec.gpus * tasks;
    memory_gb -= spec.memory_gb * tasks;
  }

  /// Tasks of the job have left.
  void give(const protocol::JobSpec& spec, std::uint32_t tasks = 1) {
    cpus += spec.cpus * tasks;
    gpus += spec.gpus * tasks;
    memory_gb += spec.memory_gb * tasks;
  }
};

}  // namespace robinford::bookkeeping
