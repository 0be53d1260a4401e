/// @file
/// The cancellations that this process announced to users, numbered.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "protocol/messages.hpp"

namespace robinford::coordination {

/// Numbers announced cancellations from 1 in the order in which they were announced, and keeps the last
/// `kAnnouncedCancellationsMax` of them for members that missed them. A member that lags further can't be
/// brought up to date message by message: its chain keeps a gap, which only a read of the change log closes.
class AnnouncementLog {
 public:
  /// Consecutive entries of the log.
  struct Batch {
    std::uint64_t first = 0;  ///< number of the first job
    std::vector<protocol::JobId> jobs;
  };

  /// Appends the job; nothing happens if it is among those that are kept. Returns the number of a new entry.
  std::optional<std::uint64_t> append(protocol::JobId id);
  /// Number of the last entry; 0 if there is none.
  std::uint64_t last_number() const { return first_kept_ + jobs_.size() - 1; }
  /// The job's number, if it is kept.
  std::optional<std::uint64_t> number_of(protocol::JobId id) const;
  /// The kept entries after `number`, at most `kAnnouncedPerMessageMax` of them; there is at least one.
  Batch batch_after(std::uint64_t number) const;

 private:
  std::deque<protocol::JobId> jobs_;  ///< in the order of their numbers
  std::map<protocol::JobId, std::uint64_t> numbers_;
  std::uint64_t first_kept_ = 1;  ///< number of the first entry in `jobs_`
};

}  // namespace robinford::coordination
