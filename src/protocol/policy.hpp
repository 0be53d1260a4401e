// The operators' own settings: a Lua script that returns a table.
#pragma once

#include <map>
#include <stdexcept>
#include <string>

namespace robinford::protocol {

class PolicyError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Policy {
  int jobs_per_machine = 64;             // J: distinct jobs on one machine
  int tasks_per_job = 64;                // P: tasks of one job on one machine
  double overbook = 0.1;                 // extra reservations per task of a gang to start
  bool concentrate = true;               // fill machines one by one instead of spreading tasks over them
  int spare_machines = -1;               // idle machines kept for gangs; -1: from measured arrivals
  double idle_return_s = -1;             // s an idle machine is kept; -1: the built-in value
  std::map<std::string, double> shares;  // weight of a team's queue; default: its guarantee
};

Policy parse_policy(const std::string& script, const std::string& name);
Policy load_policy(const std::string& path);

}  // namespace robinford::protocol
