// Events of one controller: ticks, requests, answers, links and frames.
#include "coordination/controller.hpp"

#include <utility>

#include "constants.hpp"
#include "protocol/names.hpp"

namespace robinford::coordination {
namespace c = constants;
namespace n = names;
using protocol::PeerKind;
using protocol::PeerMessage;

namespace {
std::string without_query(const std::string& target) { return target.substr(0, target.find('?')); }
}  // namespace

Controller::Controller(const protocol::Settings& settings, const protocol::Policy& policy,
                       std::uint64_t incarnation, std::uint64_t seed,
                       const quota::LeaseOptions& lease_options)
    : context_(settings, policy, incarnation, seed),
      versions_(context_),
      election_(context_, {[this] {
                             context_.state.set_leading(true);
                             context_.metrics.count("elections_won");
                             context_.cancellations.elected();
                             quota_leases_.elected();
                             fleet_.begin();
                             scheduler_.begin();
                             broadcast();
                           },
                           [this] {
                             context_.state.set_leading(false);
                             context_.cancellations.ended();
                             quota_leases_.lost();
                             fleet_.end();
                             job_requests_.end();
                             scheduler_.end();
                             broadcast();
                           },
                           [this](bool degraded) {
                             context_.writer.set_paused(degraded);
                             broadcast();
                           }}),
      quota_leases_(context_, election_, versions_, lease_options,
                    [this](const std::string& member, std::string body) {
                      PeerMessage message;
                      message.kind = PeerKind::kQuota;
                      message.body = std::move(body);
                      send(member, std::move(message));
                    }),
      scheduler_(context_, election_, versions_,
                 {[this](std::uint64_t key, int status, std::vector<protocol::Command> commands) {
                    answer_heartbeat(key, status, std::move(commands), election_.term());
                  },
                  [this](const DirectCall& call) { direct(call); }}),
      fleet_(context_, election_, scheduler_),
      job_requests_(context_, election_, scheduler_, versions_, [this](protocol::JobId id) {
        const auto leader = leader_member();
        if (leader.empty() || leader == context_.settings.member) return;
        PeerMessage message;
        message.kind = PeerKind::kJobChanged;
        message.job = id;
        send(leader, std::move(message));
      }) {
  context_.job_over = [this](protocol::JobId id, bookkeeping::FinalState state) {
    job_requests_.job_over(id, state);
  };
  if (lease_options.enabled) versions_.offer_quota_leases();
  for (const auto& peer : context_.settings.peers) peers_[peer.member];
  next_key_ = (context_.random() >> c::kKeyBits) + 1;
}

void Controller::step(const protocol::ClockReading& now) {
  context_.now = now;
  context_.state.tick(now.steady);
}

void Controller::finish_step() { context_.writer.pump(context_.now.steady); }

protocol::Outbox Controller::take_outbox() {
  protocol::Outbox out;
  std::swap(out, context_.out);
  return out;
}

void Controller::on_tick(const protocol::ClockReading& now) {
  step(now);
  if (!ending_) election_.tick();
  versions_.tick();
  scheduler_.tick();
  fleet_.tick();
  quota_leases_.tick(leader_member());
  if (now.steady >= next_status_broadcast_) broadcast();
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const auto key = it->first;
    Waiting& waiting = it->second;
    ++it;
    if (now.steady >= waiting.deadline) {
      if (waiting.is_heartbeat)
        answer_heartbeat(key, 503, {}, 0);
      else
        answer(key, 503, c::kRetryAfterS, protocol::error_json("no answer in time"));
    } else if (waiting.state == Waiting::State::kForwarded && now.steady >= waiting.forward_deadline &&
               !waiting.is_heartbeat) {
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

void Controller::on_request(const protocol::ClockReading& now, const protocol::HttpRequest& request) {
  step(now);
  const std::string path = without_query(request.target);
  const auto reply = [&](int status, int retry, std::string body, bool text = false) {
    context_.out.replies.push_back({request.token, status, retry, std::move(body), text});
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
    context_.metrics.gauge("term", static_cast<double>(election_.term()));
    context_.metrics.gauge("leading", election_.valid() ? 1 : 0);
    context_.metrics.gauge("jobs_live", static_cast<double>(context_.jobs.all().size()));
    context_.metrics.gauge("machines_known", static_cast<double>(context_.machines.all().size()));
    context_.metrics.gauge("state_rejected", static_cast<double>(context_.state.rejected()));
    context_.metrics.gauge("state_throttled", static_cast<double>(context_.state.throttled()));
    context_.metrics.gauge("state_pace", context_.state.pace());
    context_.metrics.gauge("requests_waiting", static_cast<double>(waiting_.size()));
    quota_leases_.set_gauges();
    reply(200, 0, context_.metrics.page(), true);
  } else if (path == n::kPathHeartbeat || path == jobs || path.starts_with(jobs + "/")) {
    Waiting waiting;
    waiting.method = request.method;
    waiting.target = path;
    waiting.body = request.body;
    waiting.token = request.token;
    waiting.is_heartbeat = path == n::kPathHeartbeat;
    std::string rest = waiting.is_heartbeat || path == jobs ? "" : path.substr(jobs.size() + 1);
    const std::string cancel = n::kPathCancel;
    const bool cancels = rest.size() > cancel.size() && rest.ends_with(cancel);
    if (cancels) rest.resize(rest.size() - cancel.size());
    const bool post = waiting.is_heartbeat || path == jobs || cancels;
    if (rest.find('/') != std::string::npos) return reply(404, 0, protocol::error_json("no such path"));
    if (request.method != (post ? "POST" : "GET")) return wrong_method();
    if (!waiting.is_heartbeat && path != jobs && !protocol::parse_job_id(rest))
      return reply(404, 0, protocol::error_json("no such job"));
    waiting.poll = !post;
    // Polls take no place from submissions: a flood of them once had these turned away.
    if (!waiting.is_heartbeat && places_taken(waiting) >= context_.per_memory(c::kUserRequestsPerMb)) {
      context_.metrics.count("requests_shed");
      return reply(503, c::kRetryAfterS, protocol::error_json("too many requests"));
    }
    if (waiting.is_heartbeat) {
      auto heartbeat = protocol::parse_heartbeat(request.body);
      if (!heartbeat) return reply(400, 0, protocol::error_json("malformed report"));
      waiting.heartbeat = std::move(*heartbeat);
      waiting.body.clear();
      if (scheduler_.phase() == LeaderPhase::kServing) {
        if (const auto member = lighter_member(); !member.empty())
          return reply(421, 0, protocol::redirect_json(member));
      }
    }
    waiting.deadline = now.steady + (waiting.is_heartbeat ? c::kParkS : c::kUserDeadlineS);
    route(add(std::move(waiting)));
  } else {
    reply(404, 0, protocol::error_json("no such path"));
  }
  finish_step();
}

void Controller::on_result(const protocol::ClockReading& now, std::uint64_t call,
                           const protocol::CallResult& result) {
  step(now);
  context_.calls.on_result(call, result);
  if (election_.role() == Role::kDiscovering && !ending_) election_.tick();
  finish_step();
}

void Controller::on_link(const protocol::ClockReading& now, const std::string& member, bool up) {
  step(now);
  auto& peer = peers_[member];
  peer.up = up;
  if (up) {
    next_status_broadcast_ = 0;
    broadcast();
  } else {
    // What was forwarded over this link is not answered any more.
    std::vector<std::uint64_t> keys;
    for (const auto& [key, waiting] : waiting_)
      if (waiting.state == Waiting::State::kForwarded && waiting.at == member) keys.push_back(key);
    peer.last_contact = -1e9;
    batches_[member].clear();
    for (const auto key : keys) route(key);
  }
  finish_step();
}

bool Controller::on_frame(const protocol::ClockReading& now, const std::string& frame) {
  const auto messages = protocol::decode_frame(frame);
  if (!messages) return false;
  step(now);
  bool good = true;
  for (const auto& message : *messages) good = take(message) && good;
  finish_step();
  return good;
}

void Controller::on_terminate(const protocol::ClockReading& now) {
  step(now);
  ending_ = true;
  election_.resign();
  finish_step();
  for (const auto& [member, peer] : peers_) flush(member);
}

std::uint64_t Controller::add(Waiting waiting) {
  const auto key = next_key_++;
  if (!waiting.is_heartbeat) ++places_taken(waiting);
  waiting_.emplace(key, std::move(waiting));
  return key;
}

// Not ready only when this controller can serve nobody and another one says that it could.
bool Controller::ready() const {
  if (ending_) return false;
  if (scheduler_.knows_all_jobs() || context_.state.reachable(context_.now.steady)) return true;
  bool other_can = false;
  for (const auto& [member, peer] : peers_) {
    if (context_.now.steady - peer.last_contact > c::kPeerFreshS) continue;
    if (peer.up && peer.leading && peer.ready) return true;
    other_can = other_can || peer.state_ok;
  }
  return !other_can;
}

}  // namespace robinford::coordination
