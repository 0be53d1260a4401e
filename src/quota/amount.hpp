// Amounts of a team's limit, counted in whole thousandths so that sums are exact.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "constants.hpp"

namespace robinford::quota {

// CPUs and GPUs in thousandths. Ordinary arithmetic; a difference may be negative.
struct Amount {
  std::int64_t cpus = 0;
  std::int64_t gpus = 0;

  bool operator==(const Amount&) const = default;
  bool is_zero() const { return cpus == 0 && gpus == 0; }
  bool is_negative() const { return cpus < 0 || gpus < 0; }

  Amount& operator+=(const Amount& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    return *this;
  }
  Amount& operator-=(const Amount& other) {
    cpus -= other.cpus;
    gpus -= other.gpus;
    return *this;
  }
  friend Amount operator+(Amount left, const Amount& right) { return left += right; }
  friend Amount operator-(Amount left, const Amount& right) { return left -= right; }
  friend Amount operator*(const Amount& each, std::int64_t count) {
    return {each.cpus * count, each.gpus * count};
  }
};

// Whether `need` fits into `available`. A need of zero always fits, even if `available` is negative.
inline bool covers(const Amount& available, const Amount& need) {
  return (need.cpus <= 0 || need.cpus <= available.cpus) && (need.gpus <= 0 || need.gpus <= available.gpus);
}

inline Amount smaller(const Amount& left, const Amount& right) {
  return {std::min(left.cpus, right.cpus), std::min(left.gpus, right.gpus)};
}

inline Amount larger(const Amount& left, const Amount& right) {
  return {std::max(left.cpus, right.cpus), std::max(left.gpus, right.gpus)};
}

// The amount with negative components set to zero.
inline Amount positive(const Amount& amount) { return larger(amount, {}); }

// How many times `each` fits into `available`, at most `most`.
inline std::uint32_t times_covered(const Amount& available, const Amount& each, std::uint32_t most) {
  std::int64_t times = most;
  if (each.cpus > 0) times = std::min(times, std::max<std::int64_t>(0, available.cpus) / each.cpus);
  if (each.gpus > 0) times = std::min(times, std::max<std::int64_t>(0, available.gpus) / each.gpus);
  return static_cast<std::uint32_t>(times);
}

// A task's need is rounded up and a limit is rounded down, so that rounding never permits more than the
// limit.
inline Amount rounded_up(double cpus, double gpus) {
  const auto thousandths = [](double value) {
    return static_cast<std::int64_t>(
        std::ceil(value * constants::kThousandthsPerUnit - constants::kAmountRounding));
  };
  return {thousandths(cpus), thousandths(gpus)};
}

inline Amount rounded_down(double cpus, double gpus) {
  const auto thousandths = [](double value) {
    return static_cast<std::int64_t>(
        std::floor(value * constants::kThousandthsPerUnit + constants::kAmountRounding));
  };
  return {thousandths(cpus), thousandths(gpus)};
}

}  // namespace robinford::quota
