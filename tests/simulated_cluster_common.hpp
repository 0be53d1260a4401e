// Constants and helpers that the parts of the simulated cluster share.
#pragma once

#include <string>

namespace robinford::simulation {

inline constexpr double kHop = 0.002;           // s from one place to the next
inline constexpr double kTick = 0.05;           // s between two ticks of a controller
inline constexpr double kLeaseEndSlack = 0.01;  // s after a lease's end at which watches are looked at
inline constexpr double kLaunchesOnTheWay = 2;  // s that a launch takes at the most to be on its machine
inline constexpr double kWorkerStep = 0.1;      // s between two steps of a worker
inline constexpr double kPollPatienceS = 2;     // s that a user waits for the answer to a question
inline constexpr double kAuditEvery = 0.25;     // s between two counts of the running accounts
inline constexpr double kForgottenAfter = 75;   // s without any answer about a job, once faults are over
inline constexpr double kLeftWaiting = 90;      // s beside capacity that fits, once faults are over
inline constexpr double kWaitingEvery = 2;      // s between two looks for that
inline constexpr double kLargestBegin = 240;    // s within which the largest jobs of a class begin

// The value of a key in the query of a request's target; empty when it is missing.
inline std::string query(const std::string& target, const std::string& key) {
  const auto at = target.find(key + "=");
  if (at == std::string::npos) return {};
  const auto begin = at + key.size() + 1;
  return target.substr(begin, target.find('&', begin) - begin);
}

}  // namespace robinford::simulation
