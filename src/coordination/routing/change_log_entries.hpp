/// @file
/// The change-log entries that this process writes: docs/design.md, "Cancellations".
#pragma once

#include <cstdint>

#include "coordination/leader/change_log.hpp"

namespace robinford::coordination {

/// Numbers the entries, so that no two of this process have the same key. Each goes into the transaction of
/// the change that it records, from which the leader learns of a change that it did not make itself.
class ChangeLogEntries {
 public:
  explicit ChangeLogEntries(std::uint64_t incarnation) : incarnation_(incarnation) {}

  bookkeeping::WriteOp admission(protocol::JobId id) {
    return ChangeLog::entry(id, incarnation_, ++written_, /*cancelled=*/false);
  }
  bookkeeping::WriteOp cancellation(protocol::JobId id) {
    return ChangeLog::entry(id, incarnation_, ++written_, /*cancelled=*/true);
  }

 private:
  const std::uint64_t incarnation_;
  std::uint64_t written_ = 0;
};

}  // namespace robinford::coordination
