/// @file
/// Typed answers of the state service to reads, lists and watches.
///
/// These calls change nothing, so they may be retried whenever the answer is missing. A 200 answer that is
/// not a JSON object counts as missing.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/events.hpp"

namespace robinford::bookkeeping {

/// Status codes of the state service's answers.
namespace state_status {
inline constexpr int kNoAnswer = 0;  ///< lost or late: the call may have been carried out or may still be
inline constexpr int kOk = 200;
inline constexpr int kMalformed = 400;        ///< never carried out, however often it is repeated
inline constexpr int kNotFound = 404;         ///< the key does not exist
inline constexpr int kConditionFailed = 409;  ///< a condition of a transaction failed; nothing was committed
inline constexpr int kTooOld = 410;           ///< the changes since the revision of a watch were compacted
inline constexpr int kThrottled = 429;        ///< over a rate limit, not carried out
inline constexpr int kUnavailable = 503;      ///< not carried out
}  // namespace state_status

/// A key and its value in the answer to a list call.
struct StateItem {
  std::string key;
  std::uint64_t mod_revision = 0;
  boost::json::value value;
};

/// A page of the keys with a prefix, in ascending order.
struct StatePage {
  std::vector<StateItem> items;
  bool more = false;           ///< whether further keys follow
  std::uint64_t revision = 0;  ///< revision of the service at which the page was read
};

/// Answer to the read of one key.
struct StateRead {
  enum class Found {
    kYes,
    kNo,       ///< the service says that the key does not exist
    kUnknown,  ///< the answer was lost, late, refused or malformed
  };
  Found found = Found::kUnknown;
  std::uint64_t mod_revision = 0;  ///< of the key, if found
  boost::json::value value;
};

/// A change of a watched key.
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
    kTooOld,   ///< the changes were compacted; the keys must be read again
    kUnknown,  ///< lost, late, refused or malformed; watch again from the same revision
  };
  Outcome outcome = Outcome::kUnknown;
  std::uint64_t revision = 0;
  std::vector<StateEvent> events;

  bool complete() const { return outcome == Outcome::kEvents; }
};

StateRead parse_read(const protocol::CallResult& result);
/// Empty if the answer was lost, late, refused or malformed; the call may be repeated.
std::optional<StatePage> parse_page(const protocol::CallResult& result);
WatchResult parse_watch(const protocol::CallResult& result);

}  // namespace robinford::bookkeeping
