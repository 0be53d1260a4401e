/// @file
/// How long machines of each type took to boot lately.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "protocol/messages.hpp"

namespace robinford::coordination {

/// Keeps the last boot times of each machine type, and tells from when on a boot counts as late.
class BootTimes {
 public:
  /// A machine of the type was up `seconds` after its provisioning request.
  void record(const std::string& type, double seconds);
  /// Seconds after its provisioning request from which a machine is not counted on any more and a replacement
  /// is provisioned.
  double late_after_s(const protocol::MachineType& type) const;

 private:
  std::map<std::string, std::deque<double>> recent_;  ///< by type, oldest first
};

}  // namespace robinford::coordination
