/// @file
/// What the state service answers to reads, lists and watches, as types.
///
/// A call of these kinds changes nothing, so it may be repeated whenever its answer is missing. An answer
/// that is malformed counts as missing.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/events.hpp"

namespace robinford::bookkeeping {

/// Statuses of the state service's answers.
namespace state_status {
inline constexpr int kNoAnswer = 0;  ///< lost or late: the call may have been, or may yet be, carried out
inline constexpr int kOk = 200;
inline constexpr int kMalformed = 400;        ///< never carried out, however often it is repeated
inline constexpr int kNotFound = 404;         ///< there is no such key
inline constexpr int kConditionFailed = 409;  ///< of a transaction: nothing of it was carried out
inline constexpr int kTooOld = 410;           ///< of a watch: the changes are not kept any more
inline constexpr int kThrottled = 429;        ///< over the limits, not carried out
inline constexpr int kUnavailable = 503;      ///< not carried out
}  // namespace state_status

/// A key with its value, as a list shows it.
struct StateItem {
  std::string key;
  std::uint64_t mod_revision = 0;
  boost::json::value value;
};

/// Part of the keys with some prefix, in ascending order.
struct StatePage {
  std::vector<StateItem> items;
  bool more = false;           ///< there are keys after the last of these
  std::uint64_t revision = 0;  ///< of the service, when the page was made
};

/// Answer to the read of one key.
struct StateRead {
  enum class Found {
    kYes,
    kNo,       ///< the service says that there is no such key
    kUnknown,  ///< lost, late, refused or malformed: nothing follows about the key
  };
  Found found = Found::kUnknown;
  std::uint64_t mod_revision = 0;  ///< of the key, when found
  boost::json::value value;
};

/// One change of a watched key.
struct StateEvent {
  std::string key;
  bool deleted = false;
  boost::json::value value;
  std::uint64_t mod_revision = 0;
};

/// Answer to a watch.
struct WatchResult {
  enum class Outcome {
    kEvents,   ///< all changes up to `revision`, possibly none
    kTooOld,   ///< the service does not have the changes any more: the keys are to be read again
    kUnknown,  ///< lost, late, refused or malformed: watch again from the same revision
  };
  Outcome outcome = Outcome::kUnknown;
  std::uint64_t revision = 0;
  std::vector<StateEvent> events;

  bool complete() const { return outcome == Outcome::kEvents; }
};

StateRead parse_read(const protocol::CallResult& result);
/// Nothing: lost, late, refused or malformed. The page may be asked for again.
std::optional<StatePage> parse_page(const protocol::CallResult& result);
WatchResult parse_watch(const protocol::CallResult& result);

}  // namespace robinford::bookkeeping
