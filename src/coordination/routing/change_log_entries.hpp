/// @file
/// Builds the change-log entries of this process: docs/design.md, "Cancellations".
#pragma once

#include <cstdint>

#include "coordination/leader/change_log.hpp"

namespace robinford::coordination {

/// Numbers the entries so that each has its own key. An entry is written in the same transaction as the
/// change that it records; the leader reads the entries to learn of changes that other controllers made.
class ChangeLogEntries {
 public:
  explicit ChangeLogEntries(std::uint64_t incarnation) : incarnation_(incarnation) {}

  bookkeeping::WriteOp make_admission_entry(protocol::JobId id) {
    return ChangeLog::make_entry(id, incarnation_, ++written_, /*cancelled=*/false);
  }
  bookkeeping::WriteOp make_cancellation_entry(protocol::JobId id) {
    return ChangeLog::make_entry(id, incarnation_, ++written_, /*cancelled=*/true);
  }

 private:
  const std::uint64_t incarnation_;
  std::uint64_t written_ = 0;
};

}  // namespace robinford::coordination
