/// @file
/// Recent boot times by machine type.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "protocol/messages.hpp"

namespace robinford::coordination {

/// Keeps the most recent boot times of each machine type and derives the time after which a boot is late.
class BootTimes {
 public:
  /// Records that a machine of the type was up `seconds` after its provisioning request.
  void record(const std::string& type, double seconds);
  /// Seconds after the provisioning request at which a boot is late: the machine is no longer counted on, and
  /// a replacement is provisioned if its capacity is still needed.
  double late_after_s(const protocol::MachineType& type) const;

 private:
  std::map<std::string, std::deque<double>> recent_;  ///< by type, oldest first
};

}  // namespace robinford::coordination
