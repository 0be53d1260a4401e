/// @file
/// Where tasks may go, and the mapping of a gang onto machines. docs/design.md, section "What was kept".
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/controller_context.hpp"

namespace robinford::coordination {

using bookkeeping::Resources;

/// Capacity less every run, reservation and unknown task on the machine. The result is kept on the machine
/// and counted anew when one of them has changed.
const Resources& free_resources(ControllerContext& context, bookkeeping::Machine& machine);
/// The same, always counted. Nothing is free while a task of unknown size is on the machine.
Resources compute_free_resources(ControllerContext& context, const bookkeeping::Machine& machine);

/// Whether the job's owner allows machines of this type, zone and price (spot or not).
bool kind_allowed(const protocol::JobSpec& spec, const std::string& type, const std::string& zone, bool spot);

/// Whether anything may be placed on the machine: it is up, sent a heartbeat lately, is not cordoned, and the
/// cloud has not announced its interruption.
bool takes_work(const ControllerContext& context, const bookkeeping::Machine& machine);

/// Whether the machine runs tasks of a gang, or holds capacity for some.
inline bool has_gang(const bookkeeping::Machine& machine) {
  return machine.gang_tasks > 0 || !machine.reservations.empty();
}

/// The job's tasks by zone, old attempts and reservations included; tasks whose place is unknown count for
/// every zone.
struct ZoneCount {
  std::map<std::string, std::uint32_t> tasks;
  std::uint32_t unknown = 0;
};
ZoneCount count_tasks_by_zone(ControllerContext& context, const bookkeeping::Job& job,
                              const std::set<std::string>& unknown_task_machines);
/// Whether one more task in the zone keeps the job's zone rules; `tasks` is updated by the caller.
bool zone_allowed(const protocol::JobSpec& spec, const ZoneCount& zones, const std::string& zone);

/// How many more tasks of the job the machine may take by the limits `jobs_per_machine` and `tasks_per_job`
/// of the policy.
std::uint32_t slots_within_policy(ControllerContext& context, const bookkeeping::Job& job,
                                  const bookkeeping::Machine& machine);

/// Tasks of a gang that go to one machine.
struct Assignment {
  std::string machine;
  std::uint32_t tasks = 0;
};
/// What one machine can take of a gang.
struct Offer {
  bookkeeping::Machine* machine = nullptr;
  std::uint32_t slots = 0;
  double free_cpus = 0;
  bool has_image = false;  // has the image
};
// Places for `needed` tasks and up to `extra` more; nothing when they don't all fit. Zones, then machines,
// most free capacity first; a one-zone gang stays in one zone.
std::optional<std::vector<Assignment>> map_gang(const protocol::JobSpec& spec, std::vector<Offer> offers,
                                                std::uint32_t needed, std::uint32_t extra, bool concentrate);

}  // namespace robinford::coordination
