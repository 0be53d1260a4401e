// Where tasks may go, and the mapping of a gang onto machines (spread or concentrate).
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/controller_context.hpp"

namespace robinford::coordination {

using bookkeeping::Resources;

// Capacity less every run, reservation and unknown task on the machine: kept on the machine, counted anew
// when one of them changed.
const Resources& free_resources(ControllerContext& context, bookkeeping::Machine& machine);
Resources count_free_resources(ControllerContext& context, const bookkeeping::Machine& machine);

// Type, zone and kind, as the job's owner allows.
bool kind_allowed(const protocol::JobSpec& spec, const std::string& type, const std::string& zone, bool spot);

// Up, heard of lately, not cordoned, not about to be taken.
bool takes_work(const ControllerContext& context, const bookkeeping::Machine& machine);

// Runs tasks of a gang, or holds capacity for some.
inline bool has_gang(const bookkeeping::Machine& machine) {
  return machine.gang_tasks > 0 || !machine.reservations.empty();
}

// The job's tasks by zone, old attempts and reservations included; tasks whose place is unknown count for
// every zone.
struct ZoneCount {
  std::map<std::string, std::uint32_t> tasks;
  std::uint32_t unknown = 0;
};
ZoneCount zones_of(ControllerContext& context, const bookkeeping::Job& job,
                   const std::set<std::string>& unknown_task_machines);
// Whether one more task in the zone keeps the job's zone rules; `tasks` is updated by the caller.
bool zone_allowed(const protocol::JobSpec& spec, const ZoneCount& zones, const std::string& zone);

// J and P: how many more tasks of the job the machine may take by count.
std::uint32_t slots_by_count(ControllerContext& context, const bookkeeping::Job& job,
                             const bookkeeping::Machine& machine);

struct Assignment {
  std::string machine;
  std::uint32_t tasks = 0;
};
struct Offer {
  bookkeeping::Machine* machine = nullptr;
  std::uint32_t slots = 0;
  double free_cpus = 0;
  bool warm = false;  // has the image
};
// Places for `needed` tasks and up to `extra` more; nothing when they don't all fit. Zones, then machines,
// most free capacity first; a one-zone gang stays in one zone.
std::optional<std::vector<Assignment>> map_gang(const protocol::JobSpec& spec, std::vector<Offer> offers,
                                                std::uint32_t needed, std::uint32_t extra, bool concentrate);

}  // namespace robinford::coordination
