/// @file
/// Implementation of AnnouncementLog.
#include "coordination/routing/announcement_log.hpp"

#include <algorithm>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;
using protocol::JobId;

std::optional<std::uint64_t> AnnouncementLog::append(JobId id) {
  const std::uint64_t number = last_number() + 1;
  if (!numbers_.emplace(id, number).second) return std::nullopt;
  jobs_.push_back(id);
  if (jobs_.size() > c::kAnnouncedCancellationsMax) {
    numbers_.erase(jobs_.front());
    jobs_.pop_front();
    ++first_kept_;
  }
  return number;
}

std::optional<std::uint64_t> AnnouncementLog::entry_number(JobId id) const {
  const auto found = numbers_.find(id);
  if (found == numbers_.end()) return std::nullopt;
  return found->second;
}

AnnouncementLog::Batch AnnouncementLog::batch_after(std::uint64_t number) const {
  Batch batch;
  batch.first = std::max(number + 1, first_kept_);
  const auto begin = jobs_.begin() + static_cast<std::ptrdiff_t>(batch.first - first_kept_);
  const auto count = std::min<std::ptrdiff_t>(c::kAnnouncedPerMessageMax, jobs_.end() - begin);
  batch.jobs.assign(begin, begin + count);
  return batch;
}

}  // namespace robinford::coordination
