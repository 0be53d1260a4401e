// What lessees (controllers that grant from a lease) and the lessor (the leader, which hands leases out) say
// to each other, as the body of a peer frame.
//
// A *lessor incarnation* begins whenever a lessor reads the records of leases. Grants are numbered by the
// lessee and refunds by the lessor, both from 1 within the lessor incarnation; each side repeats what the
// other one has not acknowledged, so each takes effect once and in order.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/messages.hpp"
#include "quota/amount.hpp"

namespace robinford::quota {

// A promise that so many tasks of a job may run at once.
struct NewGrant {
  std::uint64_t number = 0;
  protocol::JobId job = 0;
  std::string team;
  std::uint32_t tasks = 0;
  Amount each;  // of one task
  bool operator==(const NewGrant&) const = default;
};

// So many tasks of a grant are not promised any more.
struct Refund {
  std::uint64_t number = 0;
  protocol::JobId job = 0;
  std::uint32_t tasks = 0;
  bool operator==(const Refund&) const = default;
};

// The part of a team's limit that the lessee holds, by the last revision that it took.
struct HeldPart {
  std::string team;
  std::uint64_t revision = 0;
  Amount size;
  Amount demand;  // asked of the lessee lately, granted or not
  bool operator==(const HeldPart&) const = default;
};

// The part that the lessor lets the lessee hold. `keep` below `size` asks for the rest, as far as it is idle.
struct OfferedPart {
  std::string team;
  std::uint64_t revision = 0;
  Amount size;
  Amount keep;
  bool operator==(const OfferedPart&) const = default;
};

struct LesseeMessage {
  std::uint64_t lessor_incarnation = 0;  // that the numbers belong to; 0: none yet
  std::uint64_t epoch = 0;               // of the lease that it holds; 0: none
  std::uint64_t probe = 0;               // moment of sending, for the lessor to echo; 0: asks for nothing
  std::uint64_t refunds_taken = 0;
  bool with_parts = false;  // `parts` are all that it holds or asks for
  std::vector<NewGrant> grants;
  std::vector<HeldPart> parts;
  bool operator==(const LesseeMessage&) const = default;
};

struct LessorMessage {
  std::uint64_t incarnation = 0;  // of the lessee that is meant
  std::uint64_t lessor_incarnation =
      0;  // lessor incarnations are numbered like epochs: later ones have larger numbers
  std::uint64_t epoch = 0;
  std::uint64_t probe = 0;  // echo: renews the lease from that moment; 0: renews nothing
  std::uint64_t grants_taken = 0;
  std::vector<Refund> refunds;
  std::vector<OfferedPart> parts;
  bool operator==(const LessorMessage&) const = default;
};

std::string encode(const LesseeMessage& message);
std::string encode(const LessorMessage& message);
// Nothing for bytes that make no sense: cut short, too long, of another kind, or amounts out of range.
std::optional<LesseeMessage> decode_lessee(std::string_view bytes);
std::optional<LessorMessage> decode_lessor(std::string_view bytes);
// Which of the two the bytes claim to be.
bool is_lessor_message(std::string_view bytes);

}  // namespace robinford::quota
