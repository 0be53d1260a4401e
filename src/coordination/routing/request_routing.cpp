// Where a request is answered: here, by the leader, or after a leader has appeared.
#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "coordination/controller.hpp"
#include "protocol/names.hpp"

namespace robinford::coordination {
namespace c = constants;
namespace n = names;
using protocol::PeerKind;
using protocol::PeerMessage;

namespace {
// Cheaper than reading the whole description: no other field has a name like this.
bool names_dependencies(const std::string& body) {
  return body.find(std::string("\"") + n::kDependencies + "\"") != std::string::npos;
}
}  // namespace

std::string Controller::leader_member() const {
  if (election_.role() == Role::kLeading) return context_.settings.member;
  std::string best;
  std::uint64_t term = 0;
  for (const auto& [member, peer] : peers_) {
    if (!peer.up || !peer.leading || context_.now.steady - peer.last_contact > c::kPeerFreshS ||
        peer.term < term)
      continue;
    best = member;
    term = peer.term;
  }
  return best;
}

void Controller::set_state(Waiting& waiting, Waiting::State state) {
  if (waiting.state == Waiting::State::kParked) --parked_;
  if (waiting.state == Waiting::State::kForwarded) --forwarded_;
  waiting.state = state;
  if (state == Waiting::State::kParked) ++parked_;
  if (state == Waiting::State::kForwarded) ++forwarded_;
}

// Without the state service and without any other controller nobody will lead from here: workers should go
// elsewhere.
bool Controller::leader_may_appear() const {
  if (context_.state.reachable(context_.now.steady)) return true;
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    return context_.now.steady - entry.second.last_contact < c::kPeerFreshS;
  });
}

void Controller::route(std::uint64_t key) {
  auto& waiting = waiting_.at(key);
  const std::string leader = leader_member();
  if (waiting.from_peer || leader == context_.settings.member || (leader.empty() && !waiting.is_heartbeat) ||
      (waiting.is_heartbeat && scheduler_.phase() != LeaderPhase::kNone))
    return serve(key);
  if (leader.empty()) {
    if (!leader_may_appear()) return answer_heartbeat(key, 421, {}, 0);
    // A heartbeat may wait a little for a leader: the sooner it has a full round, the sooner it places.
    if (parked_ >= context_.per_machine(c::kParkedPerMb)) return answer_heartbeat(key, 503, {}, 0);
    set_state(waiting, Waiting::State::kParked);
    return;
  }
  if (waiting.is_heartbeat) return forward_heartbeat(key, leader);
  if (!peers_.at(leader).ready) return serve(key);
  // A leader of an older version would overlook what the job needs, and run it early.
  if (names_dependencies(waiting.body) && !versions_.understands_dependencies(leader)) return serve(key);
  forward(key, leader);
}

void Controller::forward_heartbeat(std::uint64_t key, const std::string& member) {
  auto& waiting = waiting_.at(key);
  if (forwarded_ >= context_.per_machine(c::kForwardPerMb)) return answer_heartbeat(key, 503, {}, 0);
  set_state(waiting, Waiting::State::kForwarded);
  waiting.at = member;
  waiting.forward_deadline = waiting.deadline;
  PeerMessage message;
  message.kind = PeerKind::kHeartbeat;
  message.request = key;
  message.heartbeat = waiting.heartbeat;
  const auto last = last_heartbeats_.find(waiting.heartbeat.machine);
  if (last != last_heartbeats_.end() && !waiting.in_full && last->second.leader == member &&
      last->second.term == waiting.heartbeat.fencing_token &&
      last->second.agent_epoch == waiting.heartbeat.agent_epoch && last->second.seq < waiting.heartbeat.seq &&
      last->second.state == protocol::heartbeat_state(waiting.heartbeat)) {
    message.kind = PeerKind::kUnchangedHeartbeat;
    message.base_seq = last->second.seq;
  }
  send(member, std::move(message));
}

void Controller::forward(std::uint64_t key, const std::string& member) {
  auto& waiting = waiting_.at(key);
  if (forwarded_ >= context_.per_memory(c::kForwardPerMb))
    return answer(key, 503, c::kRetryAfterS, protocol::error_json("too many requests"));
  if (waiting.target == n::kPathJobs) quota_leases_.grant_submission(member, waiting.body);
  set_state(waiting, Waiting::State::kForwarded);
  waiting.at = member;
  waiting.forward_deadline = context_.now.steady + c::kForwardTimeoutS;
  PeerMessage message;
  message.kind = PeerKind::kForward;
  message.request = key;
  message.method = waiting.method;
  message.target = waiting.target;
  message.body = waiting.body;
  send(member, std::move(message));
}

std::string Controller::lighter_member() {
  const double now = context_.now.steady;
  if (now - heartbeat_window_began_ >= 1) {
    heartbeat_window_began_ = now;
    heartbeats_taken_ = 0;
  }
  if (++heartbeats_taken_ <=
      static_cast<std::size_t>(context_.settings.cpu_share * c::kDirectHeartbeatsPerCore))
    return {};
  std::vector<const std::string*> fresh;
  for (const auto& [member, peer] : peers_)
    if (peer.up && !peer.leading && peer.state_ok && now - peer.last_contact < c::kPeerFreshS)
      fresh.push_back(&member);
  return fresh.empty() ? std::string() : *fresh[next_peer_++ % fresh.size()];
}

void Controller::unpark() {
  if (leader_member().empty()) return;
  std::vector<std::uint64_t> keys;
  for (const auto& [key, waiting] : waiting_)
    if (waiting.state == Waiting::State::kParked) keys.push_back(key);
  for (const auto key : keys) route(key);
}

void Controller::serve(std::uint64_t key) {
  auto& waiting = waiting_.at(key);
  set_state(waiting, Waiting::State::kLocal);
  if (waiting.is_heartbeat) {
    const auto heartbeat = std::move(waiting.heartbeat);
    return scheduler_.heartbeat(key, heartbeat);
  }
  const auto reply = [this, key](const UserAnswer& a) { answer_user(key, a); };
  const std::string jobs = n::kPathJobs;
  if (waiting.target == jobs) return job_requests_.submit(waiting.body, reply);
  std::string id = waiting.target.substr(jobs.size() + 1);
  const std::string cancel = n::kPathCancel;
  const bool cancels = id.ends_with(cancel);
  if (cancels) id.resize(id.size() - cancel.size());
  const auto job = protocol::parse_job_id(id);
  if (!job) return answer(key, 404, 0, protocol::error_json("no such job"));
  if (cancels)
    job_requests_.abort(*job, reply);
  else
    job_requests_.poll(*job, reply);
}

void Controller::answer_user(std::uint64_t key, const UserAnswer& reply) {
  if (!reply.cancelled) return answer(key, reply.status, reply.retry_after_s, reply.body);
  announce_cancellation(*reply.cancelled);
  if (!election_.may_announce_cancellation(*reply.cancelled)) {
    context_.metrics.count("cancellations_not_announced_yet");
    return answer(key, 503, c::kRetryAfterS,
                  protocol::error_json("it is withdrawn, and another controller has yet to hear of it"));
  }
  answer(key, reply.status, reply.retry_after_s, reply.body);
}

// All hear of it before the user does: whoever leads, or is about to, must not answer anything older, and
// whoever answers heartbeats stops its tasks. Who misses it gets it with the next status, until it says that
// it knows.
void Controller::announce_cancellation(protocol::JobId id) {
  if (!context_.cancellations.announce(id)) return;
  for (const auto& [member, peer] : peers_) {
    PeerMessage message;
    message.kind = PeerKind::kCancellationsAnnounced;
    message.first = context_.cancellations.announced();
    message.jobs = {id};
    send(member, std::move(message));
    flush(member);
  }
}

void Controller::answer(std::uint64_t key, int status, int retry_after_s, std::string body) {
  const auto found = waiting_.find(key);
  if (found == waiting_.end()) return;  // answered already, by time
  set_state(found->second, Waiting::State::kLocal);
  const Waiting waiting = std::move(found->second);
  waiting_.erase(found);
  if (!waiting.is_heartbeat) --places_taken(waiting);
  if (!waiting.from_peer) {
    context_.out.replies.push_back({waiting.token, status, retry_after_s, std::move(body), false});
    return;
  }
  PeerMessage message;
  message.kind = PeerKind::kAnswer;
  message.request = waiting.origin_request;
  message.status = static_cast<std::uint64_t>(status);
  message.retry_after_s = static_cast<std::uint64_t>(retry_after_s);
  message.body = std::move(body);
  send(waiting.origin, std::move(message));
}

void Controller::answer_heartbeat(std::uint64_t key, int status, std::vector<protocol::Command> commands,
                                  std::uint64_t term) {
  const auto found = waiting_.find(key);
  if (found == waiting_.end()) return;
  set_state(found->second, Waiting::State::kLocal);
  const Waiting waiting = std::move(found->second);
  waiting_.erase(found);
  if (!waiting.from_peer) {
    context_.out.replies.push_back(
        {waiting.token, status, 0, status == 200 ? protocol::commands_json(term, commands) : "{}", false});
    return;
  }
  PeerMessage message;
  message.kind = PeerKind::kCommands;
  message.request = waiting.origin_request;
  message.status = static_cast<std::uint64_t>(status);
  message.commands = std::move(commands);
  send(waiting.origin, std::move(message));
}

}  // namespace robinford::coordination
