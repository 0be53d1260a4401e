// The zones in which tasks of a job may have been launched. A zone becomes durable, in the job's record,
// before the first launch there: a new leader then knows that the job has nothing on a machine of any other
// zone.
#pragma once

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>

namespace robinford::bookkeeping {

class LaunchZones {
 public:
  // Nothing has been launched yet. `term`: of the leader that admits the job.
  static LaunchZones none_yet(std::uint64_t term) {
    LaunchZones zones;
    zones.known_ = true;
    zones.since_term_ = term;
    return zones;
  }
  static LaunchZones restored(std::uint64_t since_term, std::set<std::string> durable) {
    LaunchZones zones = none_yet(since_term);
    zones.requested_ = zones.durable_ = zones.inherited_ = std::move(durable);
    return zones;
  }

  // Whether the zones are recorded at all. Records of older builds have none: their jobs may be anywhere.
  bool known() const { return known_; }
  std::uint64_t since_term() const { return since_term_; }
  const std::set<std::string>& requested() const { return requested_; }

  // Whether an earlier leader may have launched a task of the job in the zone.
  bool inherited(const std::string& zone) const { return !known_ || inherited_.contains(zone); }
  bool may_launch_in(const std::string& zone) const { return !known_ || durable_.contains(zone); }
  // False: the zone was requested before, or needs no record.
  bool request(const std::string& zone) { return known_ && requested_.insert(zone).second; }
  bool to_be_written() const { return known_ && requested_.size() > durable_.size(); }
  void written(const std::set<std::string>& zones) { durable_.insert(zones.begin(), zones.end()); }
  // Some leader since the job's admission may have launched tasks without recording their zones.
  void distrust() { known_ = false; }

 private:
  bool known_ = false;
  std::uint64_t since_term_ = 0;     // leaders from this term on record the zones of this job
  std::set<std::string> inherited_;  // as the record had them when this leader read it
  std::set<std::string> durable_, requested_;
};

}  // namespace robinford::bookkeeping
