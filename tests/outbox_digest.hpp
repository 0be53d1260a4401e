/// @file
/// A running digest of everything that leaves the controllers of a simulated cluster.
///
/// Refactorings compare the digests of all scenarios before and after a change: equal digests mean that every
/// answer, call and peer frame had the same bytes at the same simulated time (CONTRIBUTING.md).
#pragma once

#include <boost/uuid/uuid.hpp>
#include <string>
#include <string_view>

#include "protocol/events.hpp"

namespace robinford::simulation {

/// Chains SHA-1 name-based UUIDs: each action is hashed with the digest so far as its namespace.
class OutboxDigest {
 public:
  /// Adds the actions of one step of the controller `member`. Metrics are left out, as they carry names that
  /// may change.
  void add(double time_s, std::string_view member, const protocol::Outbox& outbox);
  /// The digest so far, in the text form of a UUID.
  std::string text() const;

 private:
  void add_line(const std::string& line);

  boost::uuids::uuid digest_{};
};

}  // namespace robinford::simulation
