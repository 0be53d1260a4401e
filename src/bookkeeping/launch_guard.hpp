/// @file
/// A second check of launches, beside the leader's own account of the teams' limits.
#pragma once

#include <cstdint>

#include "protocol/messages.hpp"

namespace robinford::bookkeeping {

/// Asked before each placement, and informed of each charge. The lessor of quota leases implements it, so
/// that the leader does not use what other controllers were leased. Section "Quota leases" of docs/design.md.
class LaunchGuard {
 public:
  virtual ~LaunchGuard() = default;
  /// Whether so many more tasks of the job may be placed, when its team uses this much already and
  /// `kept_cpus` are promised to other jobs of the team.
  virtual bool permits(const protocol::JobSpec& spec, std::uint32_t tasks, double used_cpus, double used_gpus,
                       double kept_cpus) = 0;
  /// Whether the job was promised capacity before the leader looked at it.
  virtual bool granted(protocol::JobId job) const = 0;
  /// Tasks of the job were placed.
  virtual void charged(const protocol::JobSpec& spec, std::uint32_t tasks) = 0;
  /// Tasks of the job were placed, and have left.
  virtual void refunded(const protocol::JobSpec& spec, std::uint32_t tasks) = 0;
};

}  // namespace robinford::bookkeeping
