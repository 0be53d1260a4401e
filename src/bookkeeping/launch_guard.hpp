/// @file
/// Interface for a second check of launches, in addition to the leader's own accounts of team limits.
#pragma once

#include <cstdint>

#include "protocol/messages.hpp"

namespace robinford::bookkeeping {

/// Consulted before each placement and notified of each charge. The lessor of quota leases implements it, so
/// that the leader does not use quota that is leased to other controllers. Section "Quota leases" of
/// docs/design.md.
class LaunchGuard {
 public:
  virtual ~LaunchGuard() = default;
  /// Whether `tasks` more tasks of the job may be placed, given the current usage of its team and `kept_cpus`
  /// promised to other jobs of the team.
  virtual bool permits(const protocol::JobSpec& spec, std::uint32_t tasks, double used_cpus, double used_gpus,
                       double kept_cpus) = 0;
  /// Whether the job holds a grant of quota that another controller made from its lease.
  virtual bool granted(protocol::JobId job) const = 0;
  /// Called when tasks of the job are placed, or capacity is reserved for them.
  virtual void charged(const protocol::JobSpec& spec, std::uint32_t tasks) = 0;
  /// Called when placed tasks of the job are gone, or their reservations are released.
  virtual void refunded(const protocol::JobSpec& spec, std::uint32_t tasks) = 0;
};

}  // namespace robinford::bookkeeping
