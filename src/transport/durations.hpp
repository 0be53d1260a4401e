/// @file
/// Conversion of the constants' seconds into durations of timers.
#pragma once

#include <chrono>

namespace robinford::transport {

/// Rounds down to whole milliseconds.
inline std::chrono::milliseconds milliseconds(double seconds) {
  return std::chrono::milliseconds(static_cast<long>(seconds * 1000));
}

}  // namespace robinford::transport
