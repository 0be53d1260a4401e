/// @file
/// Stateless encoding and decoding of the durable records of machines.
///
/// Fields must keep their names and order, because older versions read and rewrite the same records during a
/// rolling upgrade (docs/design.md, "Rolling upgrade"). tests/recorded_bytes_test.cpp checks this.
#pragma once

#include <boost/json.hpp>
#include <boost/system/result.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace robinford::bookkeeping {

/// Entry of a record for one machine.
struct MachineEntry {
  std::string name;
  std::string addr;  ///< empty: it has sent no heartbeat, and nothing was launched on it
  std::string type;
  std::string zone;
  bool spot = false;
  /// Its heartbeats are not answered after this time of day (ms).
  std::optional<std::int64_t> unanswered_since_ms;
};

struct MachineRecord {
  std::vector<MachineEntry> machines;
  std::size_t malformed = 0;  ///< number of malformed entries, which are left out
};

/// Why a record as a whole cannot be decoded.
enum class MachineRecordError : std::uint8_t {
  kNotAnObject,
  kNoMachines,
};

/// Encodes a record of these machines. `term` is the term of the leader that writes it. It is stored with
/// each unanswered mark, so that a reader can decide whether to trust the mark.
boost::json::object encode_machines(const std::vector<MachineEntry>& machines, std::uint64_t term);

/// Decodes a record. Unanswered marks from terms before `trusted_since` are ignored: one of those leaders may
/// have answered such a machine without recording it.
boost::system::result<MachineRecord, MachineRecordError> decode_machines(const boost::json::value& value,
                                                                         std::uint64_t trusted_since);

}  // namespace robinford::bookkeeping
