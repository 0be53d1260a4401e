/// @file
/// A unit of durable writes: changes that are committed together or not at all.
#pragma once

#include <boost/json.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bookkeeping/write_outcome.hpp"

namespace robinford::bookkeeping {

/// A compare-and-swap of one key on its mod revision, or the comparison alone.
struct WriteOp {
  std::string key;
  std::uint64_t expect = 0;  ///< mod revision that the key must have; 0: the key must not exist
  std::optional<boost::json::object> value;  ///< empty: delete the key, unless `compare_only`
  bool compare_only = false;                 ///< checks the condition and changes nothing
};

/// Deadline of a unit that is written however late.
inline constexpr double kNoDeadline = std::numeric_limits<double>::infinity();

/// In descending order of priority.
enum class WritePriority : std::uint8_t {
  kFinalState,  ///< ends and cancellations of jobs: until they are durable, nothing is answered about the job
  kFleet,       ///< records of machines, for which launches wait, and of quota leases
  kUser,        ///< submissions, which can be refused when there are too many, and whatever names no other
  kBackground,  ///< nothing waits for it
};

constexpr std::size_t kWritePriorities = 4;
/// The priority's name on the metrics page.
const char* to_text(WritePriority priority);

using WriteCallback = std::function<void(WriteOutcome, std::uint64_t revision)>;

/// A unit between its submission and its outcome. Times are those of the steady clock, in s.
struct WriteUnit {
  WriteId id = 0;
  std::vector<WriteOp> ops;
  WriteCallback written;
  std::string mark;                 ///< stored in each written value, so that a read shows who wrote it
  bool unresolved_attempt = false;  ///< an earlier attempt was not answered, and may have been committed
  bool guarded = false;             ///< to be committed only while the writer's guard holds
  bool alone = false;               ///< sent alone, since its transaction was rejected as malformed
  WritePriority urgency = WritePriority::kUser;
  double submitted_at = 0;
  double deadline = kNoDeadline;  ///< of the first attempt
  std::size_t bytes = 0;          ///< in a transaction

  /// Whether the unit can be dropped because it is too late for it. An unresolved attempt may have been
  /// committed, which only another attempt shows, so such a unit is kept.
  bool expired(double now) const { return deadline < now && !unresolved_attempt; }
};

using WriteUnitPtr = std::shared_ptr<WriteUnit>;

}  // namespace robinford::bookkeeping
