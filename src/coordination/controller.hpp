// One controller: requests in, answers out; forwards to the leader, or is the leader.
#pragma once

#include <map>
#include <string>

#include "coordination/controller_context.hpp"
#include "coordination/election/election.hpp"
#include "coordination/election/peer_versions.hpp"
#include "coordination/fleet/fleet.hpp"
#include "coordination/quota_leases.hpp"
#include "coordination/routing/job_requests.hpp"
#include "coordination/scheduling/scheduler.hpp"
#include "protocol/peer_codec.hpp"

namespace robinford::coordination {

class Controller {
 public:
  Controller(const protocol::Settings& settings, const protocol::Policy& policy, std::uint64_t incarnation,
             std::uint64_t seed, const quota::LeaseOptions& lease_options = {});

  // Events. Each sets the clock, and leaves its actions in the outbox.
  void on_tick(const protocol::ClockReading& now);
  void on_request(const protocol::ClockReading& now, const protocol::HttpRequest& request);
  void on_result(const protocol::ClockReading& now, std::uint64_t call, const protocol::CallResult& result);
  void on_link(const protocol::ClockReading& now, const std::string& member, bool up);
  // False: the frame makes no sense.
  bool on_frame(const protocol::ClockReading& now, const std::string& frame);
  void on_terminate(const protocol::ClockReading& now);

  protocol::Outbox take_outbox();
  const Election& election() const { return election_; }
  const Scheduler& scheduler() const { return scheduler_; }
  Scheduler& scheduler() { return scheduler_; }
  ControllerContext& context() { return context_; }
  const QuotaLeases& quota_leases() const { return quota_leases_; }

 private:
  struct PeerView {
    bool up = false;  // our link to it
    std::uint64_t incarnation = 0, term = 0;
    bool leading = false, ready = false, state_ok = false;
    double last_contact = -1e9;
  };
  // A request that waits: at the leader, for our own answer, or (a heartbeat) for a leader to appear.
  struct Waiting {
    enum class State : std::uint8_t { kLocal, kForwarded, kParked } state = State::kLocal;
    std::string method, target, body;
    std::string at;  // the member it was forwarded to
    double deadline = 0, forward_deadline = 0;
    bool is_heartbeat = false;
    bool poll = false;              // a user's question, neither a submission nor a cancellation
    protocol::Heartbeat heartbeat;  // a heartbeat, read and checked here
    bool in_full = false;           // it has to be forwarded in full
    bool from_peer = false;         // forwarded to us
    std::string origin;
    std::uint64_t origin_request = 0;
    std::uint64_t token = 0;
  };
  bool take(const protocol::PeerMessage& message);  // false: it makes no sense
  void step(const protocol::ClockReading& now);
  void finish_step();
  void route(std::uint64_t key);
  void serve(std::uint64_t key);
  void answer(std::uint64_t key, int status, int retry_after_s, std::string body);
  // The one place where a user hears that a job is cancelled, or another controller does for its user.
  void answer_user(std::uint64_t key, const UserAnswer& answer);
  void announce_cancellation(protocol::JobId id);
  void answer_heartbeat(std::uint64_t key, int status, std::vector<protocol::Command> commands,
                        std::uint64_t term);
  void forward(std::uint64_t key, const std::string& member);
  void forward_heartbeat(std::uint64_t key, const std::string& member);
  void set_state(Waiting& waiting, Waiting::State state);
  bool leader_may_appear() const;
  // A leader that takes too many heartbeats itself names another controller for them.
  std::string lighter_member();
  void direct(const DirectCall& call);
  void carry_out_probe(const protocol::PeerMessage& probe);
  void flush(const std::string& member);
  std::string leader_member() const;
  bool ready() const;
  void broadcast();
  void send(const std::string& member, protocol::PeerMessage message);
  void unpark();
  std::uint64_t add(Waiting waiting);

  ControllerContext context_;
  PeerVersions versions_;
  Election election_;
  QuotaLeases quota_leases_;
  Scheduler scheduler_;
  Fleet fleet_;
  JobRequests job_requests_;
  std::map<std::string, PeerView> peers_;
  std::map<std::uint64_t, Waiting> waiting_;
  std::uint64_t next_key_ = 1;
  std::size_t& places_taken(const Waiting& waiting) {
    return waiting.poll ? polls_waiting_ : changes_waiting_;
  }
  std::size_t polls_waiting_ = 0;    // users' questions in progress, also those that others forwarded
  std::size_t changes_waiting_ = 0;  // submissions and cancellations in progress, the same way
  std::size_t parked_ = 0, forwarded_ = 0;
  std::map<std::string, std::string> batches_;  // frames being filled, by member
  // What the leader heard last of the machines that send their heartbeats here: a heartbeat that changes
  // nothing is a few bytes.
  struct LastHeartbeat {
    std::string leader;
    std::uint64_t term = 0, agent_epoch = 0, seq = 0;
    std::string state;
  };
  std::map<std::string, LastHeartbeat> last_heartbeats_;
  std::map<std::uint64_t, double>
      delegated_;                // direct calls that another controller makes for us, with their time limit
  std::size_t peer_probes_ = 0;  // calls that we make for a leader
  double heartbeat_window_began_ = 0;
  std::size_t heartbeats_taken_ = 0, next_peer_ = 0;
  double next_status_broadcast_ = 0;
  bool ending_ = false;
};

}  // namespace robinford::coordination
