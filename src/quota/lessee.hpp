// The lessee: grants capacity of the teams' limits from this controller's lease, without asking anybody.
//
// Invariant: for each team, what outstanding grants promise is at most the part that the lessee holds, and
// the part that it holds is at most what the lessor counts as leased to it. Nothing is granted once the lease
// could be over by the lessor's clock, however late the call comes: each grant compares with the present
// moment.
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
  kHolding,  // has a lease; whether it is still valid is a question of the moment
  kExpired,  // the lease was over when it was last looked at; it may be renewed while the lessor keeps it
};
const char* to_text(LesseeState state);

class Lessee {
 public:
  struct Counters {
    std::uint64_t granted = 0;         // jobs granted here
    std::uint64_t granted_tasks = 0;   // and their tasks
    std::uint64_t not_covered = 0;     // jobs that the lease could not cover
    std::uint64_t not_valid = 0;       // jobs that came while there was no valid lease
    std::uint64_t refunded_tasks = 0;  // tasks taken back
    std::uint64_t leases_lost = 0;     // leases that the lessor closed, with their grants
  };

  // What is still promised to one job.
  struct Grant {
    std::string team;
    std::uint32_t tasks = 0;
    Amount each;
  };

  Lessee(const LeaseOptions& options, std::uint64_t incarnation);

  // Promises capacity to a job that was just submitted: all tasks of a gang or none, of an array as many as
  // the part covers. The same job asked for again gets nothing new.
  std::optional<NewGrant> grant(const protocol::JobSpec& spec, double now);
  // Returns idle capacity that nobody asked for lately. To be called now and then.
  void tick(double now);
  // A renewal: all parts and demands, and all grants that the lessor has not acknowledged.
  LesseeMessage renewal(double now);
  // Only the grants that were never sent. Nothing when there are none.
  std::optional<LesseeMessage> new_grants();
  // The leader's word. True: it asks for an answer at once.
  bool handle_lessor_message(const LessorMessage& message, double now);
  // This controller leads now, or the switch is off: whatever lease there is, is not used any more.
  void reset(double now);

  LesseeState state() const { return state_; }
  bool valid(double now) const { return state_ == LesseeState::kHolding && now < valid_until_; }
  std::uint64_t epoch() const { return epoch_; }
  std::size_t outstanding() const { return grants_.size(); }
  const std::map<protocol::JobId, Grant>& grants() const { return grants_; }
  Amount held(const std::string& team) const;
  // Held and promised, summed over the teams.
  Amount held() const;
  Amount promised() const;
  const Counters& counters() const { return counters_; }
  // What breaks the invariant; empty when nothing does. For tests.
  std::string audit() const;

 private:
  struct Part {
    std::uint64_t revision = 0;
    Amount size, promised;
    double last_requested_at = 0;  // when it was last asked for
  };
  // What was asked for lately: a sum that halves in constant time.
  struct Demand {
    Amount sum;
    double at = 0;
  };
  void set_state(LesseeState state);
  void start_lessor_incarnation(std::uint64_t lessor_incarnation);
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
  double reset_at_ = -1e9;  // echoes of earlier probes renew nothing
  std::map<std::string, Part> parts_;
  std::map<protocol::JobId, Grant> grants_;
  std::deque<NewGrant> unacknowledged_;
  std::uint64_t grants_made_ = 0, grants_sent_ = 0, refunds_taken_ = 0;
  std::map<std::string, Demand> demands_;
  Counters counters_;
};

}  // namespace robinford::quota
