// Messages between lessees (controllers that admit jobs against a lease) and the lessor (the leader, which
// grants leases), carried as the body of a peer frame.
//
// A *lessor incarnation* begins whenever a lessor has loaded the lease records. The lessee numbers its grants
// and the lessor its refunds. Both numberings start from 1 again with a new lessor incarnation and with a new
// lease. Each side resends what the other has not acknowledged and ignores numbers out of sequence, so each
// grant and refund is processed once and in order.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/messages.hpp"
#include "quota/amount.hpp"

namespace robinford::quota {

// A promise that `tasks` tasks of a job may run at the same time.
struct NewGrant {
  std::uint64_t number = 0;
  protocol::JobId job = 0;
  std::string team;
  std::uint32_t tasks = 0;
  Amount each;  // of one task
  bool operator==(const NewGrant&) const = default;
};

// Withdraws `tasks` tasks of the job's grant.
struct Refund {
  std::uint64_t number = 0;
  protocol::JobId job = 0;
  std::uint32_t tasks = 0;
  bool operator==(const Refund&) const = default;
};

// The part of a team's limit that the lessee holds, with the last revision that it applied.
struct HeldPart {
  std::string team;
  std::uint64_t revision = 0;
  Amount size;
  Amount demand;  // recently requested from the lessee, whether granted or not
  bool operator==(const HeldPart&) const = default;
};

// The part that the lessor leases to the lessee. `keep` below `size` recalls the difference, as far as it is
// idle.
struct OfferedPart {
  std::string team;
  std::uint64_t revision = 0;
  Amount size;
  Amount keep;
  bool operator==(const OfferedPart&) const = default;
};

struct LesseeMessage {
  std::uint64_t lessor_incarnation = 0;  // to which the numbers of grants and refunds belong; 0: none yet
  std::uint64_t epoch = 0;               // of the lease held; 0: none
  std::uint64_t probe = 0;          // time of sending in ms, echoed by the lessor; 0: no renewal requested
  std::uint64_t refunds_taken = 0;  // number of the last refund processed
  bool with_parts = false;          // `parts` lists all parts that the lessee holds or requests
  std::vector<NewGrant> grants;
  std::vector<HeldPart> parts;
  bool operator==(const LesseeMessage&) const = default;
};

struct LessorMessage {
  std::uint64_t incarnation = 0;  // of the lessee process addressed
  // Numbered like epochs: a later lessor incarnation has a larger number.
  std::uint64_t lessor_incarnation = 0;
  std::uint64_t epoch = 0;
  // Echo of the lessee's probe: renews the lease as of the time at which the lessee sent it; 0: no renewal.
  std::uint64_t probe = 0;
  std::uint64_t grants_taken = 0;  // number of the last grant processed, whether registered or refused
  std::vector<Refund> refunds;
  std::vector<OfferedPart> parts;
  bool operator==(const LessorMessage&) const = default;
};

std::string encode(const LesseeMessage& message);
std::string encode(const LessorMessage& message);
// Return nothing for malformed bytes: truncated, with trailing bytes, of the other kind, or values out of
// range.
std::optional<LesseeMessage> decode_lessee(std::string_view bytes);
std::optional<LessorMessage> decode_lessor(std::string_view bytes);
// Whether the bytes carry the tag of a lessor message; the rest is not checked.
bool is_lessor_message(std::string_view bytes);

}  // namespace robinford::quota
