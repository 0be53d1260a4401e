// How long machines of each type took to come up lately, and from when on one counts as late.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "protocol/messages.hpp"

namespace robinford::coordination {

class BootTimes {
 public:
  void record(const std::string& type, double seconds);
  // Seconds after its provisioning request from which a machine is not counted on any more, and a replacement
  // is provisioned.
  double late_after(const protocol::MachineType& type) const;

 private:
  std::map<std::string, std::deque<double>> recent_;
};

}  // namespace robinford::coordination
