/// @file
/// What each job can run on. Placement, preemption, claims, scale-out and scale-in all decide by these rules,
/// so that capacity that a job cannot use never counts as capacity for it. docs/design.md, section
/// "Eligibility".
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "coordination/controller_context.hpp"
#include "coordination/scheduling/machine_kind.hpp"
#include "coordination/scheduling/placement.hpp"

namespace robinford::coordination {

/// Why no task of a job may be placed on a machine now.
enum class Obstacle : std::uint8_t {
  kNone,
  kUnavailable,     ///< the machine takes no work (see `takes_work`)
  kKind,            ///< its type, zone or price model is not allowed
  kAvoided,         ///< a task of the job failed there recently
  kEarlierAttempt,  ///< gangs: it may list an earlier attempt, beside which it refuses a new one
  kReserved,        ///< its capacity was freed for another gang
  kClaimed,         ///< gangs: it is set aside for a gang that has waited longer
  kResources,       ///< it has too little free capacity for one task
  kPolicyLimit,     ///< the policy's limits on jobs or tasks per machine are reached
};
/// The obstacle in log lines.
const char* to_text(Obstacle obstacle);

/// Names of machines set aside for waiting gangs in the current placement round.
using ClaimedMachines = std::set<std::string>;

/// Whether the worker may list an earlier, directly launched attempt of the gang.
bool may_list_earlier_attempt(const bookkeeping::Job& gang, const bookkeeping::Machine& machine);

/// Whether the job must not use this machine, although it may use others of the same kind.
Obstacle exclusion_from(const bookkeeping::Job& job, const bookkeeping::Machine& machine, double now);

/// The first obstacle that does not depend on how much capacity of the machine is free.
Obstacle machine_obstacle(const ControllerContext& context, const bookkeeping::Job& job,
                          const bookkeeping::Machine& machine, const ClaimedMachines& claimed);

/// The first obstacle to placing one task of the job on the machine with `free` resources.
Obstacle task_obstacle(ControllerContext& context, const bookkeeping::Job& job,
                       const bookkeeping::Machine& machine, const Resources& free,
                       const ClaimedMachines& claimed);

/// Tasks of the job that one machine with `free` resources holds within the policy's limit on tasks per job.
std::uint32_t task_slots(const protocol::Policy& policy, const protocol::JobSpec& spec,
                         const Resources& free);

/// Names of the machines in the ledger from which the job is excluded (`exclusion_from`). Visits only
/// machines on which the job failed or was launched, not the whole ledger.
std::set<std::string> excluded_machines(ControllerContext& context, bookkeeping::Job& job);

/// How many tasks of a gang each zone may still take, under `one_zone` and `spread`, while tasks are
/// assigned.
class ZoneAllowance {
 public:
  /// `only_zone`: the zone of a gang with `one_zone`; empty for any zone.
  explicit ZoneAllowance(const protocol::JobSpec& spec, std::string only_zone = {});
  std::uint32_t left(const std::string& zone) const;
  /// Assigns tasks to the zone; `tasks` must not exceed `left(zone)`.
  void take(const std::string& zone, std::uint32_t tasks) { taken_[zone] += tasks; }

 private:
  std::uint32_t most_per_zone_;
  std::string only_zone_;
  std::map<std::string, std::uint32_t> taken_;
};

/// Capacity for tasks of one gang, by zone.
using SlotsByZone = std::map<std::string, std::uint32_t>;

/// How many tasks of a gang fit into these slots at the same time, under `one_zone` and `spread`.
std::uint32_t placeable_tasks(const protocol::JobSpec& spec, const SlotsByZone& slots);

/// The zone with the most slots, for a gang with `one_zone`; empty if no zone has any.
std::string zone_with_most_slots(const SlotsByZone& slots);

}  // namespace robinford::coordination
