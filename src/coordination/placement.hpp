// Where tasks may go, and the mapping of a gang onto machines (spread or concentrate).
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/core.hpp"

namespace robinford::coordination {

using bookkeeping::Room;

// Capacity less every run, hold and stray on the machine: kept on the machine, counted anew when one of them
// changed.
const Room& free_room(Core& core, bookkeeping::Machine& machine);
Room count_room(Core& core, const bookkeeping::Machine& machine);

// Type, zone and kind, as the job's owner allows.
bool kind_allowed(const protocol::JobSpec& spec, const std::string& type, const std::string& zone, bool spot);

// Up, heard of lately, not set aside, not about to be taken.
bool takes_work(const Core& core, const bookkeeping::Machine& machine);

// The job's tasks by zone, old attempts and holds included; tasks whose place is unknown count for every
// zone.
struct ZoneCount {
  std::map<std::string, std::uint32_t> tasks;
  std::uint32_t unknown = 0;
};
ZoneCount zones_of(Core& core, const bookkeeping::Job& job, const std::set<std::string>& stray_machines);
// Whether one more task in the zone keeps the job's zone rules; `tasks` is updated by the caller.
bool zone_allowed(const protocol::JobSpec& spec, const ZoneCount& zones, const std::string& zone);

// J and P: how many more tasks of the job the machine may take by count.
std::uint32_t slots_by_count(Core& core, const bookkeeping::Job& job, const bookkeeping::Machine& machine);

struct Spot {
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
// most free room first; a one-zone gang stays in one zone.
std::optional<std::vector<Spot>> map_gang(const protocol::JobSpec& spec, std::vector<Offer> offers,
                                          std::uint32_t needed, std::uint32_t extra, bool concentrate);

}  // namespace robinford::coordination
