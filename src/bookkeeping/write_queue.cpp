/// @file
/// Implementation of WriteQueue.
#include "bookkeeping/write_queue.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace robinford::bookkeeping {

void WriteQueue::add(WriteUnitPtr unit) {
  const auto after_its_priority = std::upper_bound(
      units_.begin(), units_.end(), unit->urgency,
      [](WritePriority wanted, const WriteUnitPtr& other) { return wanted < other->urgency; });
  units_.insert(after_its_priority, std::move(unit));
}

void WriteQueue::put_back(const std::vector<WriteUnitPtr>& units) {
  std::for_each(units.rbegin(), units.rend(), [this](const WriteUnitPtr& unit) {
    const auto first_of_its_priority = std::lower_bound(
        units_.begin(), units_.end(), unit->urgency,
        [](const WriteUnitPtr& other, WritePriority wanted) { return other->urgency < wanted; });
    units_.insert(first_of_its_priority, unit);
  });
}

WriteUnit* WriteQueue::find(WriteId id) {
  const auto found =
      std::find_if(units_.begin(), units_.end(), [id](const WriteUnitPtr& unit) { return unit->id == id; });
  return found == units_.end() ? nullptr : found->get();
}

bool WriteQueue::remove(WriteId id) {
  return std::erase_if(units_, [id](const WriteUnitPtr& unit) { return unit->id == id; }) > 0;
}

void WriteQueue::take(const std::function<Choice(const WriteUnitPtr&)>& choose) {
  for (auto place = units_.begin(); place != units_.end();) {
    switch (choose(*place)) {
      case Choice::kTake:
        place = units_.erase(place);
        break;
      case Choice::kSkip:
        ++place;
        break;
      case Choice::kStop:
        return;
    }
  }
}

std::vector<WriteUnitPtr> WriteQueue::take_all(const std::function<bool(const WriteUnit&)>& wanted) {
  const auto is_wanted = [&wanted](const WriteUnitPtr& unit) { return wanted(*unit); };
  if (std::none_of(units_.begin(), units_.end(), is_wanted)) return {};
  const auto first_taken = std::stable_partition(
      units_.begin(), units_.end(), [&wanted](const WriteUnitPtr& unit) { return !wanted(*unit); });
  std::vector<WriteUnitPtr> taken(std::make_move_iterator(first_taken),
                                  std::make_move_iterator(units_.end()));
  units_.erase(first_taken, units_.end());
  return taken;
}

std::array<WriteQueueStatus, kWritePriorities> WriteQueue::status(double now) const {
  std::array<WriteQueueStatus, kWritePriorities> status{};
  for (const auto& unit : units_) {
    auto& entry = status.at(static_cast<std::size_t>(unit->urgency));
    ++entry.units;
    entry.oldest_s = std::max(entry.oldest_s, now - unit->submitted_at);
  }
  return status;
}

}  // namespace robinford::bookkeeping
