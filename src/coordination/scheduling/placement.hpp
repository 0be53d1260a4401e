/// @file
/// Which machines may run a task, and the mapping of a gang onto machines. docs/design.md, section "What was
/// kept".
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/controller_context.hpp"

namespace robinford::coordination {

using bookkeeping::Resources;

/// The machine's capacity minus all runs, reservations and unknown tasks on it. The result is cached in the
/// machine and recomputed after one of them has changed.
const Resources& available_resources(ControllerContext& context, bookkeeping::Machine& machine);
/// Computes the machine's free resources without the cache: its capacity minus all runs, reservations and
/// unknown tasks on it. Returns zero resources while a task of unknown size is on the machine.
Resources compute_available_resources(ControllerContext& context, const bookkeeping::Machine& machine);

/// Whether the job specification allows machines of this type, zone and price model (`spot`).
bool kind_allowed(const protocol::JobSpec& spec, const std::string& type, const std::string& zone, bool spot);

/// Whether tasks may be placed on the machine: it is up, has sent a recent heartbeat, is not cordoned, its
/// capacity is known, and the cloud has not announced its interruption.
bool takes_work(const ControllerContext& context, const bookkeeping::Machine& machine);

/// Whether gang tasks are placed on the machine, or capacity is reserved there for a gang.
inline bool has_gang(const bookkeeping::Machine& machine) {
  return machine.gang_tasks > 0 || !machine.reservations.empty();
}

/// Number of the job's tasks in each zone: runs, reservations, and unknown tasks (see `Placements`) of the
/// job.
struct ZoneCount {
  std::map<std::string, std::uint32_t> tasks;
  std::uint32_t unknown = 0;  // runs and reservations on machines not in the ledger: may be in any zone
};
ZoneCount count_tasks_by_zone(ControllerContext& context, const bookkeeping::Job& job,
                              const std::set<std::string>& unknown_task_machines);
/// Whether one more task in the zone complies with the zone rules of the job (`one_zone`, `spread`). Does not
/// add the task to `zones`.
bool zone_allowed(const protocol::JobSpec& spec, const ZoneCount& zones, const std::string& zone);

/// How many more tasks of the job the machine may run under the policy limits `jobs_per_machine` and
/// `tasks_per_job`. Considers neither free resources nor unknown tasks.
std::uint32_t slots_within_policy(ControllerContext& context, const bookkeeping::Job& job,
                                  const bookkeeping::Machine& machine);

/// Number of tasks of a gang that are assigned to one machine.
struct Assignment {
  std::string machine;
  std::uint32_t tasks = 0;
};
/// Capacity of one machine for tasks of a gang.
struct Offer {
  bookkeeping::Machine* machine = nullptr;
  std::uint32_t slots = 0;
  double free_cpus = 0;
  bool has_image = false;  // the job's image is cached on the machine
};
// Assigns `needed` tasks and up to `extra` more to the offers; returns nothing if the `needed` tasks do not
// fit. Zones and machines with the most free cpus come first. A gang with `one_zone` stays in one zone, and
// one with `spread` has at most half of `needed`, rounded up, in each zone.
std::optional<std::vector<Assignment>> map_gang(const protocol::JobSpec& spec, std::vector<Offer> offers,
                                                std::uint32_t needed, std::uint32_t extra, bool concentrate);

}  // namespace robinford::coordination
