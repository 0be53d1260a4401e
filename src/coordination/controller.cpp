/// @file
/// Event handlers of a controller: ticks, requests, call results, links and frames. The handlers of messages
/// from other controllers are in routing/peer_messages.cpp.
#include "coordination/controller.hpp"

#include <utility>

namespace robinford::coordination {

Controller::Controller(const protocol::Settings& settings, const protocol::Policy& policy,
                       std::uint64_t incarnation, std::uint64_t seed,
                       const quota::LeaseOptions& lease_options)
    : context_(settings, policy, incarnation, seed),
      versions_(context_),
      election_(context_, {[this] { on_elected(); }, [this] { on_leadership_lost(); },
                           [this](bool degraded) { on_degraded(degraded); }}),
      peers_(context_.settings),
      frames_(context_, election_),
      quota_leases_(context_, election_, versions_, lease_options,
                    [this](const std::string& member, std::string body) {
                      send_quota_message(member, std::move(body));
                    }),
      scheduler_(context_, election_, versions_,
                 {[this](RequestKey key, int status, std::vector<protocol::Command> commands) {
                    router_.answer_heartbeat(key, status, std::move(commands), election_.term());
                  },
                  [this](const DirectCall& call) { direct_calls_.start(call); }}),
      fleet_(context_, election_, scheduler_),
      job_requests_(context_, election_, scheduler_, versions_,
                    [this](protocol::JobId id) { notify_leader_of_job(id); }),
      direct_calls_(context_, election_, scheduler_, peers_, frames_),
      router_({context_, election_, scheduler_, versions_, quota_leases_, job_requests_, peers_, frames_}),
      http_requests_(context_, election_, scheduler_, quota_leases_, peers_, router_) {
  context_.on_job_final_state = [this](protocol::JobId id, bookkeeping::FinalState state) {
    job_requests_.on_job_final_state(id, state);
  };
  if (lease_options.enabled) versions_.offer_quota_leases();
}

void Controller::begin_step(const protocol::ClockReading& now) {
  context_.now = now;
  context_.state.tick(now.steady);
}

void Controller::finish_step() { context_.writer.pump(context_.now.steady); }

protocol::Outbox Controller::take_outbox() { return std::exchange(context_.out, {}); }

// ---------------------------------------------------------------- changes of leadership

void Controller::on_elected() {
  context_.state.set_leading(true);
  context_.metrics.count("elections_won");
  context_.cancellations.begin_leadership();
  quota_leases_.begin_leadership();
  fleet_.begin();
  scheduler_.begin();
  broadcast_status();
}

void Controller::on_leadership_lost() {
  context_.state.set_leading(false);
  context_.cancellations.end_leadership();
  quota_leases_.end_leadership();
  fleet_.end();
  job_requests_.fail_waiting_cancellations();
  scheduler_.end();
  broadcast_status();
}

void Controller::on_degraded(bool degraded) {
  context_.writer.set_paused(degraded);
  broadcast_status();
}

// ---------------------------------------------------------------- events

void Controller::on_tick(const protocol::ClockReading& now) {
  begin_step(now);
  if (!terminating_) election_.tick();
  versions_.tick();
  scheduler_.tick();
  fleet_.tick();
  quota_leases_.tick(router_.leader());
  if (now.steady >= next_status_broadcast_) broadcast_status();
  router_.resolve_overdue();
  direct_calls_.tick();
  router_.retry_parked_heartbeats();
  finish_step();
  flush_frames();
}

void Controller::on_request(const protocol::ClockReading& now, const protocol::HttpRequest& request) {
  begin_step(now);
  if (http_requests_.handle(request) == HttpRequests::Handled::kDone) finish_step();
}

void Controller::on_result(const protocol::ClockReading& now, std::uint64_t call,
                           const protocol::CallResult& result) {
  begin_step(now);
  context_.calls.on_result(call, result);
  if (election_.role() == Role::kDiscovering && !terminating_) election_.tick();
  finish_step();
}

void Controller::on_link(const protocol::ClockReading& now, const std::string& member, bool up) {
  begin_step(now);
  if (up) {
    peers_.mark_link_up(member);
    broadcast_status();
  } else {
    peers_.mark_link_down(member);
    frames_.discard(member);
    router_.on_link_down(member);
  }
  finish_step();
}

Controller::FrameOutcome Controller::on_frame(const protocol::ClockReading& now, const std::string& frame) {
  const auto messages = protocol::decode_frame(frame);
  if (!messages) return FrameOutcome::kMalformed;
  begin_step(now);
  FrameOutcome outcome = FrameOutcome::kAccepted;
  for (const auto& message : *messages)
    if (on_message(message) == FrameOutcome::kMalformed) outcome = FrameOutcome::kMalformed;
  finish_step();
  return outcome;
}

void Controller::on_terminate(const protocol::ClockReading& now) {
  begin_step(now);
  terminating_ = true;
  http_requests_.stop_serving();
  election_.resign();
  finish_step();
  flush_frames();
}

}  // namespace robinford::coordination
