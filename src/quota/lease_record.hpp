// Durable records of quota leases, stored under `q/` in the state service.
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
  std::uint64_t revision = 0;  // increases with each growth of the part; unique within the lease
  bool operator==(const LeasePart&) const = default;
};

// The lease of one controller, or one slice of it if its parts do not fit into one value. All slices of a
// lease have the same epoch; a slice with a lower epoch than another slice of the same member is void.
struct LeaseRecord {
  std::string member;
  std::uint64_t epoch = 0;        // number of the lease, never reused: a fencing token
  std::uint64_t incarnation = 0;  // of the process that holds the lease
  std::vector<LeasePart> parts;
  bool operator==(const LeaseRecord&) const = default;
};

struct RecordError {
  std::string reason;
};

std::string lease_key(const std::string& member, std::uint32_t slice);
boost::json::object encode_lease(const LeaseRecord& record);
std::variant<LeaseRecord, RecordError> decode_lease(const boost::json::value& value);
// Upper bound for the bytes of one part in an encoded record.
std::size_t encoded_size(const LeasePart& part);

}  // namespace robinford::quota
