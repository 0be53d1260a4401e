// Amounts of a machine that tasks take and give back.
#pragma once

#include <algorithm>
#include <cstdint>

#include "constants.hpp"
#include "protocol/messages.hpp"

namespace robinford::bookkeeping {

struct Resources {
  double cpus = 0, gpus = 0, memory_gb = 0;

  bool fits(const protocol::JobSpec& spec, std::uint32_t tasks = 1) const {
    return cpus + constants::kAmountRounding >= spec.cpus * tasks &&
           gpus + constants::kAmountRounding >= spec.gpus * tasks &&
           memory_gb + constants::kAmountRounding >= spec.memory_gb * tasks;
  }
  std::uint32_t tasks_of(const protocol::JobSpec& spec) const {
    double most = constants::kPiecesMax;
    const auto limit = [&](double have, double need) {
      if (need > 0) most = std::min(most, std::max(0.0, have + constants::kAmountRounding) / need);
    };
    limit(cpus, spec.cpus);
    limit(gpus, spec.gpus);
    limit(memory_gb, spec.memory_gb);
    return static_cast<std::uint32_t>(most);
  }
  void take(const protocol::JobSpec& spec, std::uint32_t tasks = 1) {
    cpus -= spec.cpus * tasks;
    gpus -= spec.gpus * tasks;
    memory_gb -= spec.memory_gb * tasks;
  }
  void give(const protocol::JobSpec& spec, std::uint32_t tasks = 1) {
    cpus += spec.cpus * tasks;
    gpus += spec.gpus * tasks;
    memory_gb += spec.memory_gb * tasks;
  }
};

}  // namespace robinford::bookkeeping
