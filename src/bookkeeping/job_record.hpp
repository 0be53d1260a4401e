/// @file
/// Durable records of jobs: encoding and decoding, without any state of their own.
///
/// The live record says what the job is, when it was submitted and which tasks are done; the final record how
/// it ended. Fields keep their names and order: versions before read and rewrite the same records during a
/// rolling upgrade (docs/design.md, "Rolling upgrade"). tests/recorded_bytes_test.cpp checks that.
#pragma once

#include <boost/json.hpp>
#include <boost/system/result.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "bookkeeping/job.hpp"

namespace robinford::bookkeeping {

/// Field of a change-log entry: the job that it names is cancelled.
inline constexpr char kEntryCancelled[] = "withdrawn";

/// A live record to be written.
struct EncodedJob {
  boost::json::object value;
  /// All completions are in it. Those that are not would run once more after a failover.
  bool complete = false;
};

/// Why a live record cannot be read.
enum class JobRecordError : std::uint8_t {
  kNotAnObject,
  kNoDescription,
  kMalformedDescription,
};

/// The live record in at most `limit` bytes, with as many completions as fit. One whose description alone
/// takes more is longer than the limit.
EncodedJob encode_job(const Job& job, std::size_t limit);

/// The job of a live record, as the state service returned it at `mod_revision`. A record marked as cancelled
/// gives a job that is over. Malformed completions are left out: those tasks run once more, and end at once.
/// @param now steady time, s
boost::system::result<std::unique_ptr<Job>, JobRecordError> decode_job(const boost::json::value& value,
                                                                       std::uint64_t mod_revision,
                                                                       double now);

/// The live record of a cancelled job keeps its description until nothing of the job can be on any machine: a
/// new leader has to know what may still run. @param at_ms time of day of the cancellation
boost::json::object mark_cancelled(boost::json::object live, std::int64_t at_ms);
bool is_marked_cancelled(const boost::json::value& live);

boost::json::object encode_final(FinalState state);
/// Nothing when the value is no final record.
std::optional<FinalState> decode_final(const boost::json::value& value);

}  // namespace robinford::bookkeeping
