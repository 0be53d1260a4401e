// The lessee: admits jobs against this controller's lease on parts of the teams' limits, without a request to
// the leader.
//
// Invariant: for each team, the capacity promised by outstanding grants is at most the part that the lessee
// holds, and while the lease is valid, that part is at most what the lessor counts as leased to it. Every
// grant checks the current time against the lease's end, so that a process that was suspended grants nothing
// from a lease that may have expired by the lessor's clock.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "protocol/messages.hpp"
#include "quota/lease_options.hpp"
#include "quota/messages.hpp"

namespace robinford::quota {

enum class LesseeState : std::uint8_t {
  kNone,     // no lease
  kHolding,  // has a lease; `Lessee::valid` tells whether it is valid at a given time
  kExpired,  // the lease has expired here; it may still be renewed while the lessor keeps it
};
const char* to_text(LesseeState state);

class Lessee {
 public:
  struct Counters {
    std::uint64_t granted = 0;        // jobs granted from the lease
    std::uint64_t granted_tasks = 0;  // tasks of these grants
    // Jobs not granted: the lease did not cover them or too many grants were outstanding.
    std::uint64_t not_covered = 0;
    std::uint64_t not_valid = 0;       // jobs submitted while there was no valid lease
    std::uint64_t refunded_tasks = 0;  // granted tasks that the lessor refunded
    std::uint64_t leases_lost = 0;     // leases replaced by a new one of the lessor; their grants are void
  };

  // Capacity that is still promised to one job.
  struct Grant {
    std::string team;
    std::uint32_t tasks = 0;
    Amount each;  // of one task
  };

  Lessee(const LeaseOptions& options, std::uint64_t incarnation);

  // Promises capacity to a newly submitted job: for a gang all tasks or none, for an array as many tasks as
  // the part covers. Returns nothing if the job has a grant already or depends on other jobs, if no valid
  // lease covers the gang or at least one task, or if too many grants are outstanding.
  std::optional<NewGrant> grant(const protocol::JobSpec& spec, double now);
  // Gives up the idle capacity of parts that had no request and did not grow for `idle_return_s`, and notes
  // an expired lease. Call it periodically.
  void tick(double now);
  // Builds a renewal request: all parts and demands, and the grants that the lessor has not acknowledged (as
  // many as one message holds).
  LesseeMessage renewal(double now);
  // Builds a message with grants that were not yet sent to the current lessor, as many as one message holds;
  // empty when there are none. Does not renew the lease.
  std::optional<LesseeMessage> new_grants();
  // Applies a message of the lessor. Returns whether to send a renewal at once instead of at the next
  // interval.
  bool handle_lessor_message(const LessorMessage& message, double now);
  // Drops the lease and its grants, because this controller became the leader. Replies to earlier probes no
  // longer renew a lease.
  void reset(double now);

  LesseeState state() const { return state_; }
  bool valid(double now) const { return state_ == LesseeState::kHolding && now < valid_until_; }
  std::uint64_t epoch() const { return epoch_; }
  std::size_t outstanding() const { return grants_.size(); }
  const std::map<protocol::JobId, Grant>& grants() const { return grants_; }
  Amount held(const std::string& team) const;
  // Capacity held in the lease, and promised from it, summed over the teams.
  Amount held() const;
  Amount promised() const;
  const Counters& counters() const { return counters_; }
  // Describes the first violation of the invariant; empty when there is none. For tests.
  std::string audit() const;

 private:
  struct Part {
    std::uint64_t revision = 0;
    Amount size, promised;
    double last_requested_at = 0;  // time of the last request or growth
  };
  // Recent demand of a team: an exponentially decaying sum with the half-life `kDemandHalfLifeS`.
  struct Demand {
    Amount sum;
    double at = 0;
  };
  void set_state(LesseeState state);
  void adopt_lessor_incarnation(std::uint64_t lessor_incarnation);
  void forget_lease();
  void apply_refund(const Refund& refund);
  bool apply_offered_part(const OfferedPart& offered, double now);
  void note_demand(const std::string& team, const Amount& amount, double now);
  Amount demand(const std::string& team, double now) const;
  std::uint64_t probe_time(double now) const;

  const LeaseOptions options_;
  const std::uint64_t incarnation_;
  LesseeState state_ = LesseeState::kNone;
  std::uint64_t epoch_ = 0;
  std::uint64_t lessor_incarnation_ = 0;
  double valid_until_ = -1e9;
  double reset_at_ = -1e9;  // replies to probes sent before this time do not renew the lease
  std::map<std::string, Part> parts_;
  std::map<protocol::JobId, Grant> grants_;
  std::deque<NewGrant> unacknowledged_;
  std::uint64_t grants_made_ = 0, grants_sent_ = 0, refunds_taken_ = 0;
  std::map<std::string, Demand> demands_;
  Counters counters_;
};

}  // namespace robinford::quota
