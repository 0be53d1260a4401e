#include "coordination/fleet/boot_times.hpp"

#include <algorithm>
#include <vector>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;

void BootTimes::record(const std::string& type, double seconds) {
  auto& recent = recent_[type];
  recent.push_back(seconds);
  if (recent.size() > c::kBootSamplesMax) recent.pop_front();
}

double BootTimes::late_after_s(const protocol::MachineType& type) const {
  const auto found = recent_.find(type.name);
  if (found == recent_.end() || found->second.size() < c::kBootSamplesMin)
    return c::kDefaultUsualBootFactor * type.boot_s;
  std::vector<double> sorted(found->second.begin(), found->second.end());
  const auto quantile = sorted.begin() + static_cast<std::ptrdiff_t>(c::kBootQuantile * (sorted.size() - 1));
  std::nth_element(sorted.begin(), quantile, sorted.end());
  return std::clamp(*quantile * c::kLateBootFactor, c::kLateBootFactor * type.boot_s,
                    c::kBootTimeoutFactor * type.boot_s);
}

}  // namespace robinford::coordination
