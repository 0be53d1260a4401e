/// @file
/// The queue of units that wait to be sent.
#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <vector>

#include "bookkeeping/write_unit.hpp"

namespace robinford::bookkeeping {

/// The queued units of one priority.
struct WriteQueueStatus {
  std::size_t units = 0;
  double oldest_s = 0;  ///< time since the oldest was submitted
};

/// Keeps units by priority; within one, those that were put back come first, then the others by arrival.
class WriteQueue {
 public:
  /// What becomes of a unit while a transaction is being filled.
  enum class Choice : std::uint8_t {
    kTake,
    kSkip,
    kStop,  ///< it stays queued, and so do all units behind it
  };

  bool empty() const { return units_.empty(); }
  std::size_t size() const { return units_.size(); }
  const WriteUnit& front() const { return *units_.front(); }

  /// Adds a new unit behind the others of its priority.
  void add(WriteUnitPtr unit);
  /// Puts units that were sent back ahead of the others of their priority, in the order that they have.
  void put_back(const std::vector<WriteUnitPtr>& units);
  /// Returns the queued unit with this id; null if there is none.
  WriteUnit* find(WriteId id);
  /// Drops the unit if it is queued. Returns whether it was.
  bool remove(WriteId id);
  /// Offers the units in order and removes those that are taken.
  void take(const std::function<Choice(const WriteUnitPtr&)>& choose);
  /// Removes and returns, in order, all units for which this holds.
  std::vector<WriteUnitPtr> take_all(const std::function<bool(const WriteUnit&)>& wanted);
  std::array<WriteQueueStatus, kWritePriorities> status(double now) const;

 private:
  std::deque<WriteUnitPtr> units_;
};

}  // namespace robinford::bookkeeping
