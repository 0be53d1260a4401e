#include "coordination/controller.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "constants.hpp"
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

std::string without_query(const std::string& target) { return target.substr(0, target.find('?')); }
}  // namespace

Controller::Controller(const protocol::Settings& settings, const protocol::Policy& policy,
                       std::uint64_t incarnation, std::uint64_t seed)
    : core_(settings, policy, incarnation, seed),
      versions_(core_),
      election_(core_, {[this] {
                          core_.state.set_leading(true);
                          core_.metrics.count("elections_won");
                          core_.withdrawals.elected();
                          fleet_.begin();
                          scheduler_.begin();
                          broadcast();
                        },
                        [this] {
                          core_.state.set_leading(false);
                          core_.withdrawals.ended();
                          fleet_.end();
                          job_requests_.end();
                          scheduler_.end();
                          broadcast();
                        },
                        [this](bool caretaker) {
                          core_.writer.set_paused(caretaker);
                          broadcast();
                        }}),
      scheduler_(core_, election_, versions_,
                 {[this](std::uint64_t key, int status, std::vector<protocol::Order> orders) {
                    answer_report(key, status, std::move(orders), election_.term());
                  },
                  [this](const DirectCall& call) { direct(call); }}),
      fleet_(core_, election_, scheduler_),
      job_requests_(core_, election_, scheduler_, versions_, [this](protocol::JobId id) {
        const auto leader = leader_member();
        if (leader.empty() || leader == core_.settings.member) return;
        PeerMessage message;
        message.kind = PeerKind::kNudge;
        message.job = id;
        send(leader, std::move(message));
      }) {
  core_.job_over = [this](protocol::JobId id, bookkeeping::FinalState state) {
    job_requests_.job_over(id, state);
  };
  for (const auto& peer : core_.settings.peers) peers_[peer.member];
  next_key_ = (core_.random() >> c::kKeyBits) + 1;
}

void Controller::step(const protocol::Moment& now) {
  core_.now = now;
  core_.state.tick(now.steady);
}

void Controller::finish_step() { core_.writer.pump(core_.now.steady); }

protocol::Outbox Controller::take_outbox() {
  protocol::Outbox out;
  std::swap(out, core_.out);
  return out;
}

// ---------------------------------------------------------------- events

void Controller::on_tick(const protocol::Moment& now) {
  step(now);
  if (!ending_) election_.tick();
  versions_.tick();
  scheduler_.tick();
  fleet_.tick();
  if (now.steady >= next_heartbeat_) broadcast();
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const auto key = it->first;
    Waiting& waiting = it->second;
    ++it;
    if (now.steady >= waiting.deadline) {
      if (waiting.report)
        answer_report(key, 503, {}, 0);
      else
        answer(key, 503, c::kRetryAfterS, protocol::error_json("no answer in time"));
    } else if (waiting.state == Waiting::State::kForwarded && now.steady >= waiting.forward_deadline &&
               !waiting.report) {
      serve(key);  // the leader does not answer: a user's request is settled here
    }
  }
  for (auto it = delegated_.begin(); it != delegated_.end();) {
    const auto [id, limit] = *it;
    ++it;
    if (now.steady < limit) continue;
    delegated_.erase(id);
    scheduler_.direct_answer(id, 0, nullptr);
  }
  unpark();
  finish_step();
  for (const auto& [member, peer] : peers_) flush(member);
}

void Controller::on_request(const protocol::Moment& now, const protocol::HttpRequest& request) {
  step(now);
  const std::string path = without_query(request.target);
  const auto reply = [&](int status, int retry, std::string body, bool text = false) {
    core_.out.replies.push_back({request.token, status, retry, std::move(body), text});
  };
  const auto wrong_method = [&] { reply(405, 0, protocol::error_json("method not allowed")); };
  const std::string jobs = n::kPathJobs;
  if (path == n::kPathReady) {
    if (request.method != "GET")
      wrong_method();
    else if (ready())
      reply(200, 0, "{}");
    else
      reply(503, c::kRetryAfterS, protocol::error_json("not ready"));
  } else if (path == n::kPathMetrics) {
    if (request.method != "GET") return wrong_method();
    core_.metrics.gauge("term", static_cast<double>(election_.term()));
    core_.metrics.gauge("leading", election_.valid() ? 1 : 0);
    core_.metrics.gauge("jobs_live", static_cast<double>(core_.jobs.all().size()));
    core_.metrics.gauge("machines_known", static_cast<double>(core_.machines.all().size()));
    core_.metrics.gauge("state_rejected", static_cast<double>(core_.state.rejected()));
    core_.metrics.gauge("state_throttled", static_cast<double>(core_.state.throttled()));
    core_.metrics.gauge("state_pace", core_.state.pace());
    core_.metrics.gauge("requests_waiting", static_cast<double>(waiting_.size()));
    reply(200, 0, core_.metrics.page(), true);
  } else if (path == n::kPathReport || path == jobs || path.starts_with(jobs + "/")) {
    Waiting waiting;
    waiting.method = request.method;
    waiting.target = path;
    waiting.body = request.body;
    waiting.token = request.token;
    waiting.report = path == n::kPathReport;
    std::string rest = waiting.report || path == jobs ? "" : path.substr(jobs.size() + 1);
    const std::string cancel = n::kPathCancel;
    const bool cancels = rest.size() > cancel.size() && rest.ends_with(cancel);
    if (cancels) rest.resize(rest.size() - cancel.size());
    const bool post = waiting.report || path == jobs || cancels;
    if (rest.find('/') != std::string::npos) return reply(404, 0, protocol::error_json("no such path"));
    if (request.method != (post ? "POST" : "GET")) return wrong_method();
    if (!waiting.report && path != jobs && !protocol::parse_job_id(rest))
      return reply(404, 0, protocol::error_json("no such job"));
    waiting.poll = !post;
    // Polls take no place from submissions: a flood of them once had these turned away.
    if (!waiting.report && places_taken(waiting) >= core_.per_memory(c::kUserRequestsPerMb)) {
      core_.metrics.count("requests_shed");
      return reply(503, c::kRetryAfterS, protocol::error_json("too many requests"));
    }
    if (waiting.report) {
      auto report = protocol::parse_report(request.body);
      if (!report) return reply(400, 0, protocol::error_json("malformed report"));
      waiting.heard = std::move(*report);
      waiting.body.clear();
      if (scheduler_.phase() == LeaderPhase::kServing) {
        if (const auto member = lighter_member(); !member.empty())
          return reply(421, 0, protocol::redirect_json(member));
      }
    }
    waiting.deadline = now.steady + (waiting.report ? c::kParkS : c::kUserDeadlineS);
    route(add(std::move(waiting)));
  } else {
    reply(404, 0, protocol::error_json("no such path"));
  }
  finish_step();
}

void Controller::on_result(const protocol::Moment& now, std::uint64_t call,
                           const protocol::CallResult& result) {
  step(now);
  core_.calls.on_result(call, result);
  if (election_.role() == Role::kLooking && !ending_) election_.tick();
  finish_step();
}

void Controller::on_link(const protocol::Moment& now, const std::string& member, bool up) {
  step(now);
  auto& peer = peers_[member];
  peer.up = up;
  if (up) {
    next_heartbeat_ = 0;
    broadcast();
  } else {
    // What was forwarded over this link is not answered any more.
    std::vector<std::uint64_t> keys;
    for (const auto& [key, waiting] : waiting_)
      if (waiting.state == Waiting::State::kForwarded && waiting.at == member) keys.push_back(key);
    peer.heard = -1e9;
    batches_[member].clear();
    for (const auto key : keys) route(key);
  }
  finish_step();
}

bool Controller::on_frame(const protocol::Moment& now, const std::string& frame) {
  const auto messages = protocol::decode_frame(frame);
  if (!messages) return false;
  step(now);
  bool good = true;
  for (const auto& message : *messages) good = take(message) && good;
  finish_step();
  return good;
}

bool Controller::take(const PeerMessage& message) {
  const auto found = peers_.find(message.member);
  if (found == peers_.end()) return false;
  PeerView& peer = found->second;
  const double now = core_.now.steady;
  switch (message.kind) {
    case PeerKind::kStatus: {
      // A late status of an earlier process must not undo what its successor said.
      if (peer.incarnation != message.incarnation && peer.incarnation > message.incarnation &&
          message.term < peer.term)
        break;
      peer.incarnation = message.incarnation;
      peer.term = message.term;
      peer.leading = message.leading;
      peer.ready = message.ready;
      peer.state_ok = message.state_ok;
      peer.heard = now;
      versions_.heard(message.member, message.incarnation);
      election_.on_status(message);
      core_.withdrawals.take_status(message, core_.incarnation);
      unpark();
      break;
    }
    case PeerKind::kForward: {
      Waiting waiting;
      waiting.method = message.method;
      waiting.target = message.target;
      waiting.body = message.body;
      waiting.poll = message.method == "GET";
      waiting.from_peer = true;
      waiting.origin = message.member;
      waiting.origin_request = message.request;
      waiting.deadline = now + c::kForwardTimeoutS;
      const auto key = add(std::move(waiting));
      // Only a leader serves what others forward; a chain of forwards would hide who answers.
      if (scheduler_.knows_all_jobs())
        serve(key);
      else
        answer(key, 421, 0, "");
      break;
    }
    case PeerKind::kReport:
    case PeerKind::kSame: {
      Waiting waiting;
      waiting.report = waiting.from_peer = true;
      waiting.origin = message.member;
      waiting.origin_request = message.request;
      waiting.deadline = now + c::kParkS;
      const auto key = add(std::move(waiting));
      if (scheduler_.phase() == LeaderPhase::kNone)
        answer_report(key, 421, {}, 0);
      else if (message.kind == PeerKind::kReport)
        scheduler_.report(key, message.report);
      else if (!scheduler_.same_report(key, message.report.machine, message.report.session,
                                       message.report.seq, message.report.token, message.base_seq))
        answer_report(key, 409, {}, 0);
      break;
    }
    case PeerKind::kOrders: {
      const auto waiting = waiting_.find(message.request);
      if (waiting == waiting_.end() || waiting->second.state != Waiting::State::kForwarded ||
          waiting->second.at != message.member || !waiting->second.report)
        break;
      if (message.status == 421) {
        peer.leading = false;
        route(message.request);
      } else if (message.status == 409) {
        // The leader's books stand on another report than we thought.
        waiting->second.in_full = true;
        route(message.request);
      } else {
        const auto& heard = waiting->second.heard;
        if (message.status != 200)
          told_.erase(heard.machine);
        else if (told_.size() < core_.per_machine(c::kToldPerMb) || told_.contains(heard.machine))
          told_[heard.machine] = {message.member, message.term, heard.session, heard.seq,
                                  protocol::report_state(heard)};
        answer_report(message.request, static_cast<int>(message.status), message.orders, message.term);
      }
      break;
    }
    case PeerKind::kAnswer: {
      const auto waiting = waiting_.find(message.request);
      if (waiting == waiting_.end() || waiting->second.state != Waiting::State::kForwarded ||
          waiting->second.at != message.member || waiting->second.report)
        break;
      if (message.status == 421) {
        peer.leading = false;
        route(message.request);
        break;
      }
      // Final answers are durable, so they may be kept and given here from now on.
      if (message.status == 200 && waiting->second.target != n::kPathJobs)
        if (const auto value = protocol::parse_json(message.body); value && value->is_object()) {
          const auto& object = value->get_object();
          const auto* id = object.if_contains(n::kJobId);
          const auto* state = object.if_contains(n::kState);
          if (id != nullptr && state != nullptr && id->is_string() && state->is_string()) {
            const auto job =
                protocol::parse_job_id(std::string_view(id->get_string().data(), id->get_string().size()));
            if (job && state->get_string() == n::kStateDone)
              core_.jobs.remember_final(*job, bookkeeping::FinalState::kDone);
            if (job && state->get_string() == n::kStateCancelled) {
              scheduler_.withdrawn_elsewhere(*job);
              tell_withdrawn(*job);  // the leader may tell, and here it does
            }
          }
        }
      answer(message.request, static_cast<int>(message.status), static_cast<int>(message.retry_after_s),
             message.body);
      break;
    }
    case PeerKind::kNudge:
      if (scheduler_.knows_all_jobs()) scheduler_.read_job(message.job);
      break;
    case PeerKind::kTold:
      for (const auto job : message.jobs) scheduler_.withdrawn_elsewhere(job);
      core_.withdrawals.take_told(message);
      break;
    case PeerKind::kAsk:
      put_question(message);
      break;
    case PeerKind::kAsked:
      if (delegated_.erase(message.request) > 0)
        scheduler_.direct_answer(message.request, static_cast<int>(message.status),
                                 message.status != 0 ? &message.report : nullptr);
      break;
  }
  return true;
}

void Controller::on_terminate(const protocol::Moment& now) {
  step(now);
  ending_ = true;
  election_.resign();
  finish_step();
  for (const auto& [member, peer] : peers_) flush(member);
}

// ---------------------------------------------------------------- routing

std::uint64_t Controller::add(Waiting waiting) {
  const auto key = next_key_++;
  if (!waiting.report) ++places_taken(waiting);
  waiting_.emplace(key, std::move(waiting));
  return key;
}

std::string Controller::leader_member() const {
  if (election_.role() == Role::kLeading) return core_.settings.member;
  std::string best;
  std::uint64_t term = 0;
  for (const auto& [member, peer] : peers_) {
    if (!peer.up || !peer.leading || core_.now.steady - peer.heard > c::kPeerFreshS || peer.term < term)
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
  if (core_.state.reachable(core_.now.steady)) return true;
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    return core_.now.steady - entry.second.heard < c::kPeerFreshS;
  });
}

void Controller::route(std::uint64_t key) {
  auto& waiting = waiting_.at(key);
  const std::string leader = leader_member();
  if (waiting.from_peer || leader == core_.settings.member || (leader.empty() && !waiting.report) ||
      (waiting.report && scheduler_.phase() != LeaderPhase::kNone))
    return serve(key);
  if (leader.empty()) {
    if (!leader_may_appear()) return answer_report(key, 421, {}, 0);
    // A report may wait a little for a leader: the sooner it has a full round, the sooner it places.
    if (parked_ >= core_.per_machine(c::kParkedPerMb)) return answer_report(key, 503, {}, 0);
    set_state(waiting, Waiting::State::kParked);
    return;
  }
  if (waiting.report) return forward_report(key, leader);
  if (!peers_.at(leader).ready) return serve(key);
  // A leader of an older version would overlook what the job needs, and run it early.
  if (names_dependencies(waiting.body) && !versions_.understands_dependencies(leader)) return serve(key);
  forward(key, leader);
}

void Controller::forward_report(std::uint64_t key, const std::string& member) {
  auto& waiting = waiting_.at(key);
  if (forwarded_ >= core_.per_machine(c::kForwardPerMb)) return answer_report(key, 503, {}, 0);
  set_state(waiting, Waiting::State::kForwarded);
  waiting.at = member;
  waiting.forward_deadline = waiting.deadline;
  PeerMessage message;
  message.kind = PeerKind::kReport;
  message.request = key;
  message.report = waiting.heard;
  const auto told = told_.find(waiting.heard.machine);
  if (told != told_.end() && !waiting.in_full && told->second.leader == member &&
      told->second.term == waiting.heard.token && told->second.session == waiting.heard.session &&
      told->second.seq < waiting.heard.seq && told->second.state == protocol::report_state(waiting.heard)) {
    message.kind = PeerKind::kSame;
    message.base_seq = told->second.seq;
  }
  send(member, std::move(message));
}

void Controller::forward(std::uint64_t key, const std::string& member) {
  auto& waiting = waiting_.at(key);
  if (forwarded_ >= core_.per_memory(c::kForwardPerMb))
    return answer(key, 503, c::kRetryAfterS, protocol::error_json("too many requests"));
  set_state(waiting, Waiting::State::kForwarded);
  waiting.at = member;
  waiting.forward_deadline = core_.now.steady + c::kForwardTimeoutS;
  PeerMessage message;
  message.kind = PeerKind::kForward;
  message.request = key;
  message.method = waiting.method;
  message.target = waiting.target;
  message.body = waiting.body;
  send(member, std::move(message));
}

std::string Controller::lighter_member() {
  const double now = core_.now.steady;
  if (now - reports_window_ >= 1) {
    reports_window_ = now;
    reports_taken_ = 0;
  }
  if (++reports_taken_ <= static_cast<std::size_t>(core_.settings.cpu_share * c::kDirectReportsPerCore))
    return {};
  std::vector<const std::string*> fresh;
  for (const auto& [member, peer] : peers_)
    if (peer.up && !peer.leading && peer.state_ok && now - peer.heard < c::kPeerFreshS)
      fresh.push_back(&member);
  return fresh.empty() ? std::string() : *fresh[next_peer_++ % fresh.size()];
}

// Direct calls cost a connection each, so the other controllers make them in turn; alone, the leader does.
void Controller::direct(const DirectCall& call) {
  PeerMessage ask;
  ask.kind = PeerKind::kAsk;
  ask.request = call.id;
  ask.target = call.addr;
  ask.base_seq = call.session;
  ask.orders = call.orders;
  ask.term = election_.term();
  std::vector<const std::string*> fresh;
  for (const auto& [member, peer] : peers_)
    if (peer.up && !peer.leading && core_.now.steady - peer.heard < c::kPeerFreshS) fresh.push_back(&member);
  if (!fresh.empty()) {
    delegated_[call.id] = core_.now.steady + c::kDelegateS;
    return send(*fresh[next_peer_++ % fresh.size()], std::move(ask));
  }
  put_question(ask);
}

// The question is our own, or another controller's, which then gets the answer.
void Controller::put_question(const PeerMessage& ask) {
  const auto finish = [this, member = ask.member, id = ask.request](int status,
                                                                    const protocol::Report* report) {
    if (member.empty()) return scheduler_.direct_answer(id, status, report);
    PeerMessage message;
    message.kind = PeerKind::kAsked;
    message.request = id;
    message.status = report != nullptr ? static_cast<std::uint64_t>(status) : 0;
    if (report != nullptr) message.report = *report;
    send(member, std::move(message));
  };
  if (!ask.member.empty() &&
      questions_ >= static_cast<std::size_t>(core_.settings.max_connections / c::kDirectSocketPart))
    return finish(0, nullptr);
  ++questions_;
  core_.calls.send({0, protocol::Service::kWorker, ask.target, "POST", n::kPathCommands,
                    protocol::orders_json(ask.term, ask.orders, ask.base_seq), c::kDirectTimeoutS, false},
                   [this, finish](const protocol::CallResult& result) {
                     --questions_;
                     if (result.status != 200 && result.status != 409) return finish(0, nullptr);
                     const auto report = protocol::parse_report(result.body);
                     finish(result.status, report ? &*report : nullptr);
                   });
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
  if (waiting.report) {
    const auto report = std::move(waiting.heard);
    return scheduler_.report(key, report);
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
  if (!reply.withdrawn) return answer(key, reply.status, reply.retry_after_s, reply.body);
  tell_withdrawn(*reply.withdrawn);
  if (!election_.may_tell_withdrawn(*reply.withdrawn)) {
    core_.metrics.count("withdrawals_not_told_yet");
    return answer(key, 503, c::kRetryAfterS,
                  protocol::error_json("it is withdrawn, and another controller has yet to hear of it"));
  }
  answer(key, reply.status, reply.retry_after_s, reply.body);
}

// All hear of it before the user does: whoever leads, or is about to, must not answer anything older, and
// whoever answers reports stops its tasks. Who misses it gets it with the next status, until it says that it
// knows.
void Controller::tell_withdrawn(protocol::JobId id) {
  if (!core_.withdrawals.tell(id)) return;
  for (const auto& [member, peer] : peers_) {
    PeerMessage message;
    message.kind = PeerKind::kTold;
    message.first = core_.withdrawals.told();
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
  if (!waiting.report) --places_taken(waiting);
  if (!waiting.from_peer) {
    core_.out.replies.push_back({waiting.token, status, retry_after_s, std::move(body), false});
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

void Controller::answer_report(std::uint64_t key, int status, std::vector<protocol::Order> orders,
                               std::uint64_t term) {
  const auto found = waiting_.find(key);
  if (found == waiting_.end()) return;
  set_state(found->second, Waiting::State::kLocal);
  const Waiting waiting = std::move(found->second);
  waiting_.erase(found);
  if (!waiting.from_peer) {
    core_.out.replies.push_back(
        {waiting.token, status, 0, status == 200 ? protocol::orders_json(term, orders) : "{}", false});
    return;
  }
  PeerMessage message;
  message.kind = PeerKind::kOrders;
  message.request = waiting.origin_request;
  message.status = static_cast<std::uint64_t>(status);
  message.orders = std::move(orders);
  send(waiting.origin, std::move(message));
}

// ---------------------------------------------------------------- other controllers

void Controller::send(const std::string& member, PeerMessage message) {
  message.member = core_.settings.member;
  message.incarnation = core_.incarnation;
  message.term = election_.term();
  auto& batch = batches_[member];
  protocol::put_message(batch, message);
  if (batch.size() >= c::kBatchBytes) flush(member);
}

// Messages travel together, one frame a tick: each packet costs more than the bytes in it.
void Controller::flush(const std::string& member) {
  auto& batch = batches_[member];
  if (batch.empty()) return;
  core_.out.sends.push_back({member, std::exchange(batch, {})});
}

void Controller::broadcast() {
  next_heartbeat_ = core_.now.steady + c::kHeartbeatS;
  for (const auto& [member, peer] : peers_) {
    if (!peer.up) continue;
    PeerMessage message;
    message.kind = PeerKind::kStatus;
    message.leading = election_.role() == Role::kLeading || election_.role() == Role::kCaretaker;
    message.ready = scheduler_.knows_all_jobs();
    message.state_ok = core_.state.reachable(core_.now.steady);
    if (auto told = core_.withdrawals.unacknowledged(member)) send(member, std::move(*told));
    core_.withdrawals.sign(member, core_.now.steady, message);
    send(member, std::move(message));
  }
}

// Not ready only when this controller can serve nobody and another one says that it could.
bool Controller::ready() const {
  if (ending_) return false;
  if (scheduler_.knows_all_jobs() || core_.state.reachable(core_.now.steady)) return true;
  bool other_can = false;
  for (const auto& [member, peer] : peers_) {
    if (core_.now.steady - peer.heard > c::kPeerFreshS) continue;
    if (peer.up && peer.leading && peer.ready) return true;
    other_can = other_can || peer.state_ok;
  }
  return !other_can;
}

}  // namespace robinford::coordination
