/// @file
/// Stateless encoding and decoding of the durable records of jobs.
///
/// The live record holds the description of the job, its submission time, its completed tasks and, if there
/// was one, the time of its release after its dependencies and of its cancellation; the final record holds
/// how it ended. Fields must keep their names and order, because older versions read and rewrite the same
/// records during a rolling upgrade (docs/design.md, "Rolling upgrade"). tests/recorded_bytes_test.cpp checks
/// this.
#pragma once

#include <boost/json.hpp>
#include <boost/system/result.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "bookkeeping/job.hpp"

namespace robinford::bookkeeping {

/// Field of a change log entry that marks the named job as cancelled.
inline constexpr char kEntryCancelled[] = "withdrawn";

/// An encoded live record.
struct EncodedJob {
  boost::json::object value;
  /// Whether it contains all completions. Tasks whose completion is missing run again after a failover.
  bool complete = false;
};

/// Why a live record cannot be decoded.
enum class JobRecordError : std::uint8_t {
  kNotAnObject,
  kNoDescription,
  kMalformedDescription,
};

/// Encodes the live record in at most `limit` bytes, with as many completions as fit. The record exceeds the
/// limit if it does so without any completions.
EncodedJob encode_job(const Job& job, std::size_t limit);

/// Decodes a live record that the state service returned at `mod_revision`. A record marked as cancelled
/// yields a job that is over. Completions are read up to the first malformed range or digit; tasks whose
/// completion is left out run again and end at once.
/// @param now time of the steady clock, in s
boost::system::result<std::unique_ptr<Job>, JobRecordError> decode_job(const boost::json::value& value,
                                                                       std::uint64_t mod_revision,
                                                                       double now);

/// Marks the live record of a cancelled job. The record keeps its description until no machine can hold a
/// task of the job, because a new leader must know what may still be running.
/// @param at_ms time of day of the cancellation, in ms
boost::json::object mark_cancelled(boost::json::object live, std::int64_t at_ms);
bool is_marked_cancelled(const boost::json::value& live);

boost::json::object encode_final(FinalState state);
/// Decodes a final record; empty if the value is not one.
std::optional<FinalState> decode_final(const boost::json::value& value);

}  // namespace robinford::bookkeeping
