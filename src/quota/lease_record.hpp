// Durable records of quota leases, below `q/` in the state service.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "bookkeeping/store_keys.hpp"
#include "quota/amount.hpp"

namespace robinford::quota {

using bookkeeping::kLeaseRecordPrefix;

// One team's part of a lease.
struct LeasePart {
  std::string team;
  Amount size;
  std::uint64_t revision = 0;  // grows with each enlargement; unique within the lease
  bool operator==(const LeasePart&) const = default;
};

// The lease of one controller, or a slice of it where all parts do not fit into one value. Slices of one
// lease have the same epoch; a slice with a lower epoch than another one of the same member is void.
struct LeaseRecord {
  std::string member;
  std::uint64_t epoch = 0;        // number of the lease, never used again: a fencing token
  std::uint64_t incarnation = 0;  // the process that holds it
  std::vector<LeasePart> parts;
  bool operator==(const LeaseRecord&) const = default;
};

struct RecordError {
  std::string reason;
};

std::string lease_key(const std::string& member, std::uint32_t slice);
boost::json::object encode_lease(const LeaseRecord& record);
std::variant<LeaseRecord, RecordError> decode_lease(const boost::json::value& value);
// Bytes of one part in an encoded record, an upper bound.
std::size_t encoded_size(const LeasePart& part);

}  // namespace robinford::quota
