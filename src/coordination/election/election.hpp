// Leadership: a key on a lease of the state service, a term that only grows, and the bound of a degraded
// leader.
#pragma once

#include <functional>
#include <string>

#include "coordination/controller_context.hpp"
#include "protocol/peer_codec.hpp"

namespace robinford::coordination {

enum class Role : std::uint8_t {
  kDiscovering,  // reads who leads
  kFollowing,    // somebody leads; watches the key
  kCampaigning,  // takes a lease and writes the key
  kLeading,      // holds the key, lease valid
  kDegraded,     // can't renew and can't know more: answers heartbeats, changes nothing
};
const char* to_text(Role role);

class Election {
 public:
  struct Events {
    std::function<void()> elected;
    std::function<void()> lost;
    std::function<void(bool)> degraded;
  };
  Election(ControllerContext& context, Events events);

  void tick();
  void on_status(const protocol::PeerMessage& status);  // another controller's word
  void higher_term_seen(std::uint64_t term);            // by a worker or a peer
  void guard_lost();                                    // a transaction found the key changed
  void resign();                                        // hand over at a clean end

  Role role() const { return role_; }
  std::uint64_t term() const { return term_; }
  std::uint64_t mod_revision() const { return mod_revision_; }
  // May place, launch and write.
  bool valid() const;
  // The token is ours, as far as can be known: commands may carry it. They renew no lease.
  bool owns_fencing_token() const;
  // May answer heartbeats with the token, which renews leases: only while every cancellation that any user
  // was told of is known here, or was told so lately that the leases renewed now end in time.
  bool answers() const;
  // The cancellations told while we could not lead are known, so that work may start: a job called off in an
  // outage was started once more after it, before its notice was read.
  bool caught_up() const;
  // Whether a user may hear now that a job is cancelled: all its tasks then end in time, whoever answers
  // heartbeats.
  bool may_announce_cancellation(protocol::JobId id) const;
  double last_renewed() const { return last_renewed_; }
  // All leaders from this term on record which machines they do not answer any more.
  std::uint64_t records_since() const { return records_since_; }
  const std::string& leader() const { return leader_; }
  // Steady moment after which no former leader answers any heartbeat.
  double former_leaders_stopped_at() const { return std::max(former_stopped_at_, all_former_stopped_at_); }

 private:
  void become(Role role);
  void look();
  void follow(std::uint64_t after);
  void claim(std::uint64_t expected_mod_revision);
  void read_term(std::uint64_t expected_mod_revision, std::uint64_t lease, double sent);
  void write_claim(std::uint64_t expected_mod_revision, std::uint64_t lease, double sent,
                   std::uint64_t term_mod_revision, std::uint64_t next_term);
  void settle_claim(std::uint64_t lease, double sent, std::uint64_t next_term);
  void won(std::uint64_t lease, double sent, std::uint64_t next_term, std::uint64_t mod_revision);
  void renew();
  void step_down(const char* why);
  void former_is_over(const char* how);
  boost::json::object term_record(std::uint64_t term, std::int64_t quiet_wall) const;

  ControllerContext& context_;
  Events events_;
  Role role_ = Role::kDiscovering;
  std::string leader_;
  std::uint64_t term_ = 0;          // of our own leadership, or the highest seen
  std::uint64_t mod_revision_ = 0;  // of the leader key, while leading
  std::uint64_t lease_ = 0;
  double valid_until_ = -1e9;    // may act as leader
  double last_renewed_ = -1e9;   // sent time of the last renewal that was answered
  double leading_since_ = -1e9;  // without a break
  double next_try_ = 0;
  bool busy_ = false;        // a call of the present role is open
  std::uint64_t epoch_ = 0;  // grows with each change of role, so that late answers are known as such

  std::string former_;
  std::uint64_t records_since_ = 0;
  std::uint64_t former_incarnation_ = 0;
  double former_answer_s_ = 0;
  double former_stopped_at_ = -1e9, all_former_stopped_at_ = -1e9;
  std::int64_t chain_wall_ = 0;
  std::uint64_t term_mod_revision_ = 0;
};

}  // namespace robinford::coordination
