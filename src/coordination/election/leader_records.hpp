/// @file
/// The two stored records of an election: the leader key, which the key-value store deletes when the leader's
/// lease expires, and the term record, which is kept. Their keys are in bookkeeping/store_keys.hpp.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace robinford::coordination {

/// Value of the leader key: the leading process, and its term, which is the fencing token of its commands.
struct LeaderRecord {
  std::string member;             ///< the leading member
  std::uint64_t incarnation = 0;  ///< of the member's process
  std::uint64_t term = 0;         ///< the term it leads in

  /// The record as stored in the key-value store.
  boost::json::object encode() const;
  /// Fields missing from `value` are left empty: there is no record, or another version wrote it.
  static LeaderRecord decode(const boost::json::value& value);
};

/// Value of the term record: what a leader's successors need to know about it and all leaders before it.
struct TermRecord {
  std::string member;             ///< the member that led
  std::uint64_t incarnation = 0;  ///< of the member's process
  std::uint64_t term = 0;         ///< the term it led in
  /// First term from which on every leader has recorded the machines whose heartbeats it does not answer; 0:
  /// unknown.
  std::uint64_t unanswered_recorded_since_term = 0;
  /// Wall time, ms, after which no leader before this one answers heartbeats; 0: no earlier leader on another
  /// member is recorded.
  std::int64_t former_stopped_wall_ms = 0;
  /// How long this leader may answer heartbeats after another one is elected, in ms; absent in records of
  /// older versions.
  std::optional<std::int64_t> answer_ms;

  /// The record as stored in the key-value store.
  boost::json::object encode() const;
  /// Fields missing from `value` are left empty, as in records of older versions.
  static TermRecord decode(const boost::json::value& value);
};

}  // namespace robinford::coordination
