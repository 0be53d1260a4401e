/// @file
/// Identifies a unit of durable writes, and names its outcomes.
#pragma once

#include <cstdint>

namespace robinford::bookkeeping {

/// Identifies a unit within one TxnWriter; never reused. 0: no unit.
using WriteId = std::uint64_t;

/// Outcome of a unit.
enum class WriteOutcome : std::uint8_t {
  kDone,  ///< committed, at the given revision (0 after a settling read that found the key deleted)
  /// A condition did not hold. The unit changed nothing, unless an unanswered attempt was committed and
  /// another writer has since replaced the value that showed it.
  kConflict,
  /// The guard (leadership) was lost. Whether the unit was committed is unknown; the next leader reads it.
  kLost,
  /// Never sent, because the queue is full or the unit has too many changes, or rejected by the service.
  kRefused,
  /// Its deadline passed before it was sent. The unit changed nothing.
  kExpired,
};

/// The outcome's name in log lines.
const char* to_text(WriteOutcome outcome);

}  // namespace robinford::bookkeeping
