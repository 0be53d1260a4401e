/// @file
/// Durable records of machines: encoding and decoding, without any state of their own.
///
/// Fields keep their names and order, as earlier versions read and rewrite the same records during a rolling
/// upgrade (docs/design.md, "Rolling upgrade"). tests/recorded_bytes_test.cpp checks that.
#pragma once

#include <boost/json.hpp>
#include <boost/system/result.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace robinford::bookkeeping {

/// What a record says of one machine.
struct MachineEntry {
  std::string name;
  std::string addr;  ///< empty: it had not sent a heartbeat, and nothing was launched there
  std::string type;
  std::string zone;
  bool spot = false;
  /// Its heartbeats are not answered after this time of day (ms).
  std::optional<std::int64_t> unanswered_since_ms;
};

struct MachineRecord {
  std::vector<MachineEntry> machines;
  std::size_t malformed = 0;  ///< entries that could not be read and are left out
};

/// Why nothing of a record can be read.
enum class MachineRecordError : std::uint8_t {
  kNotAnObject,
  kNoMachines,
};

/// The record of these machines. `term`: of the leader that writes it, and vouches for what it says of
/// unanswered machines.
boost::json::object encode_machines(const std::vector<MachineEntry>& machines, std::uint64_t term);

/// What leaders of terms before `trusted_since` wrote of unanswered machines is left out: one of them may
/// have answered such a machine without writing so.
boost::system::result<MachineRecord, MachineRecordError> decode_machines(const boost::json::value& value,
                                                                         std::uint64_t trusted_since);

}  // namespace robinford::bookkeeping
