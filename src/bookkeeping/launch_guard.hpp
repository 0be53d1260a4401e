// A second opinion on launches beside the leader's own account of the teams' limits.
#pragma once

#include <cstdint>

#include "protocol/messages.hpp"

namespace robinford::bookkeeping {

class LaunchGuard {
 public:
  virtual ~LaunchGuard() = default;
  // Whether so many more tasks of the job may be placed, when its team uses this much already and `kept` cpus
  // are spoken for by others of the team.
  virtual bool permits(const protocol::JobSpec& spec, std::uint32_t tasks, double used_cpus, double used_gpus,
                       double kept_cpus) = 0;
  // Whether the job was promised capacity before the leader looked at it.
  virtual bool granted(protocol::JobId job) const = 0;
  // Tasks of the job that were placed, or whose place is free again.
  virtual void charged(const protocol::JobSpec& spec, std::uint32_t tasks) = 0;
  virtual void refunded(const protocol::JobSpec& spec, std::uint32_t tasks) = 0;
};

}  // namespace robinford::bookkeeping
