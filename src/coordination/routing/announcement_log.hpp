/// @file
/// A numbered log of the cancellations that this process has announced to the other controllers.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "protocol/messages.hpp"

namespace robinford::coordination {

/// Numbers announced cancellations from 1 in the order of announcement, and keeps the last
/// `kAnnouncedCancellationsMax` of them for members that missed them. A member that lags further can't get
/// the older ones by message. If it leads, its sequence keeps a gap until a renewal of the leader key
/// confirms a read of the change log. A follower skips them, because it reads the durable records when it is
/// elected.
class AnnouncementLog {
 public:
  /// Consecutive entries of the log.
  struct Batch {
    std::uint64_t first = 0;  ///< number of the first job
    std::vector<protocol::JobId> jobs;
  };

  /// Appends the job and returns the number of the new entry; returns empty, without a new entry, if the
  /// log already contains the job.
  std::optional<std::uint64_t> append(protocol::JobId id);
  /// Returns the number of the last entry; 0 if there is none.
  std::uint64_t last_number() const { return first_kept_ + jobs_.size() - 1; }
  /// Returns the job's number if the log still contains it.
  std::optional<std::uint64_t> entry_number(protocol::JobId id) const;
  /// Returns the entries after `number` that are still in the log, at most `kAnnouncedPerMessageMax` of them.
  /// Requires `number` < `last_number()`.
  Batch batch_after(std::uint64_t number) const;

 private:
  std::deque<protocol::JobId> jobs_;  ///< in the order of their numbers
  std::map<protocol::JobId, std::uint64_t> numbers_;
  std::uint64_t first_kept_ = 1;  ///< number of the first entry in `jobs_`
};

}  // namespace robinford::coordination
