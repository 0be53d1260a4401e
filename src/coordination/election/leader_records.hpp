/// @file
/// The two records behind an election: the leader key, which lives as long as the leader's lease, and the
/// term record, which stays. Their keys are in bookkeeping/store_keys.hpp.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace robinford::coordination {

/// The process that leads, and its term, which is the fencing token of its commands.
struct LeaderRecord {
  std::string member;             ///< that leads
  std::uint64_t incarnation = 0;  ///< of its process
  std::uint64_t term = 0;         ///< that it leads in

  /// The record as it stands in the key-value store.
  boost::json::object encode() const;
  /// Missing fields are left empty: the record was written by another version, or there is none.
  static LeaderRecord decode(const boost::json::value& value);
};

/// What a leader leaves for its successors about itself and all leaders before it.
struct TermRecord {
  std::string member;             ///< that led
  std::uint64_t incarnation = 0;  ///< of its process
  std::uint64_t term = 0;         ///< that it led in
  /// First term whose leader and all later ones put on record which machines they do not answer; 0: unknown.
  std::uint64_t unanswered_recorded_since = 0;
  /// Wall time, ms, after which no leader before this one answers heartbeats; 0: there was none.
  std::int64_t former_stopped_wall_ms = 0;
  /// How long this leader may answer heartbeats once another one is elected; nothing in records of versions
  /// that did not say it.
  std::optional<std::int64_t> answer_ms;

  /// The record as it stands in the key-value store.
  boost::json::object encode() const;
  /// Missing fields are left empty, as in records of earlier versions.
  static TermRecord decode(const boost::json::value& value);
};

}  // namespace robinford::coordination
