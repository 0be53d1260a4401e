// The simulated cluster: time, network and controllers.
#include "simulated_cluster.hpp"

#include <algorithm>
#include <utility>

#include "simulated_cluster_common.hpp"

namespace robinford::simulation {
using protocol::TaskPhase;

SimulatedCluster::SimulatedCluster(Options options)
    : options_(std::move(options)), random_(options_.seed), list_random_(options_.seed) {
  std::map<std::string, double> limits;
  for (const auto& [name, amounts] : options_.teams) {
    settings_.teams.push_back({name, amounts.first, amounts.second, 0, 0});
    limits[name] = amounts.second;
  }
  checker.set_limits(limits, options_.cancel_s);
  settings_.zones = options_.zones;
  settings_.count = options_.controllers;
  settings_.heartbeat_interval_s = options_.heartbeat_interval_s;
  settings_.lease_s = options_.lease_s;
  settings_.gang_wait_s = options_.gang_wait_s;
  settings_.gang_peer_s = options_.gang_peer_s;
  settings_.cancel_s = options_.cancel_s;
  settings_.list_lag_s = options_.list_lag_s;
  settings_.objectives = options_.objectives;
  settings_.cloud_rps = 5;
  settings_.memory_mb = options_.memory_mb;
  settings_.state_rps *= options_.state_times;
  settings_.state_write_rps *= options_.state_times;
  settings_.value_kb = std::min(settings_.value_kb, options_.next_value_kb);
  settings_.state_write_rps = std::min(settings_.state_write_rps, options_.next_write_rps);
  settings_.txn_ops = std::min(settings_.txn_ops, options_.next_txn_ops);
  for (auto& type : options_.types) type.zones = options_.zones;
  nodes_.resize(options_.controllers);
  for (int i = 0; i < options_.controllers; ++i) {
    nodes_[i].name = "node-" + std::to_string(i);
    nodes_[i].zone = options_.zones[i % options_.zones.size()];
    nodes_[i].leases = options_.leases.enabled;
  }
  for (int i = 0; i < options_.controllers; ++i) start_node(i);
}

SimulatedCluster::~SimulatedCluster() = default;

void SimulatedCluster::run_until(double time) {
  while (!events_.empty() && events_.top().at <= time) {
    auto event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
    checker.look(now_);
    if (now_ < next_audit_) continue;
    checker.watch_answers(now_);
    if (now_ >= next_waiting_look_) look_for_waiting();
    next_audit_ = now_ + kAuditEvery;
    look_at_leases();
    for (auto& node : nodes_)
      if (node.controller)
        if (const auto wrong = node.controller->scheduler().audit(); !wrong.empty())
          checker.breach("accounts", now_, node.name + ": " + wrong);
  }
  now_ = time;
}

void SimulatedCluster::carry(const std::string& from, const std::string& to, std::function<void()> run) {
  for (const auto& cut : cuts_) {
    const auto matches = [&](const std::string& a, const std::string& b) {
      return (cut.a == from || cut.a == "*") && (cut.b == to || cut.b == "*") && a != b;
    };
    const bool hit = now_ < cut.until &&
                     (matches(from, to) || (cut.a == to && cut.b == from) || (cut.a == to && cut.b == "*"));
    if (!hit) continue;
    if (cut.hold) after(cut.until - now_ + kHop, std::move(run));
    return;
  }
  after(kHop + (now_ < link_until_ ? link_by_ * draw() : 0), std::move(run));
}

void SimulatedCluster::look_for_waiting() {
  next_waiting_look_ = now_ + kWaitingEvery;
  std::vector<InvariantChecker::FreeCapacity> free_machines;
  for (const auto& [name, w] : workers_) {
    if (!w.up || w.dead || w.gone ||
        now_ < std::max({w.hung_until, w.outbound_lost_until, w.inbound_lost_until, w.faulty_until}))
      continue;
    const auto type =
        std::find_if(options_.types.begin(), options_.types.end(),
                     [&wanted = w.type](const auto& offered) { return offered.name == wanted; });
    if (type == options_.types.end()) continue;
    InvariantChecker::FreeCapacity free{w.type, w.zone, w.spot, type->cpus, type->memory_gb};
    for (const auto& [id, task] : w.tasks)
      if (task.phase != TaskPhase::kExited) {
        free.cpus -= described_.at(id.job).cpus;
        free.memory_gb -= described_.at(id.job).memory_gb;
      }
    if (free.cpus > 0) free_machines.push_back(std::move(free));
  }
  checker.watch_waiting(now_, free_machines);
}

void SimulatedCluster::cut(const std::string& a, const std::string& b, double for_s, bool hold) {
  cuts_.push_back({a, b, now_ + for_s, hold});
}

void SimulatedCluster::start_node(int i) {
  auto& node = nodes_[i];
  ++node.life;
  node.replies.clear();
  protocol::Settings settings = settings_;
  settings.member = node.name;
  settings.zone = node.zone;
  for (int other = 0; other < options_.controllers; ++other)
    if (other != i) settings.peers.push_back({nodes_[other].name, nodes_[other].zone, {"10.0.0.1", 1}});
  const auto policy =
      options_.policy.empty() ? protocol::Policy{} : protocol::parse_policy(options_.policy, "=scenario");
  auto leases = options_.leases;
  leases.enabled = node.leases;
  const std::uint64_t incarnation =
      (static_cast<std::uint64_t>(clock_reading().wall_ms) << 16) | (random_() & 0xffff);
  node.controller =
      std::make_unique<coordination::Controller>(settings, policy, incarnation, random_(), leases);
  const auto life = node.life;
  for (int other = 0; other < options_.controllers; ++other) {
    if (other == i) continue;
    after(0.01, [this, i, other, life] {
      if (nodes_[i].life == life && nodes_[i].controller && nodes_[other].controller)
        link(i, other, true), link(other, i, true);
    });
  }
  after(0.001, [this, i, life] { tick_node(i, life); });
}

void SimulatedCluster::link(int i, int other, bool up) {
  enter(i, nodes_[i].life,
        [this, i, other, up] { nodes_[i].controller->on_link(clock_reading(), nodes_[other].name, up); });
}

void SimulatedCluster::enter(int i, std::uint64_t life, std::function<void()> event) {
  auto& node = nodes_[i];
  if (node.life != life || !node.controller) return;
  if (now_ < node.frozen_until) return node.backlog.push_back(std::move(event));
  event();
  drain(i);
}

void SimulatedCluster::freeze(int i, double for_s) {
  nodes_[i].frozen_until = now_ + for_s;
  after(for_s, [this, i, life = nodes_[i].life] {
    const auto backlog = std::exchange(nodes_[i].backlog, {});
    for (const auto& event : backlog) enter(i, life, event);
  });
}

void SimulatedCluster::tick_node(int i, std::uint64_t life) {
  // After it stood still the timers come last: what waited in the sockets is worked through first.
  if (nodes_[i].life == life && now_ < nodes_[i].frozen_until)
    return after(nodes_[i].frozen_until - now_, [this, i, life] { tick_node(i, life); });
  enter(i, life, [this, i, life] {
    nodes_[i].controller->on_tick(clock_reading());
    after(kTick, [this, i, life] { tick_node(i, life); });
  });
}

void SimulatedCluster::crash(int i, double back_after) {
  nodes_[i].controller.reset();
  ++nodes_[i].life;
  nodes_[i].frozen_until = -1;
  nodes_[i].backlog.clear();
  auto replies = std::move(nodes_[i].replies);
  nodes_[i].replies.clear();
  for (auto& [token, reply] : replies) reply(0, "");
  for (int other = 0; other < options_.controllers; ++other)
    if (other != i) link(other, i, false);
  after(back_after, [this, i] { start_node(i); });
}

int SimulatedCluster::leader() const {
  for (int i = 0; i < options_.controllers; ++i)
    if (nodes_[i].controller && nodes_[i].controller->election().valid()) return i;
  return -1;
}

void SimulatedCluster::request(int i, const std::string& from, const std::string& method,
                               const std::string& target, const std::string& body,
                               const std::function<void(int, const std::string&)>& done) {
  carry(from, nodes_[i].name, [this, i, from, method, target, body, done] {
    auto& node = nodes_[i];
    if (!node.controller) return carry(nodes_[i].name, from, [done] { done(0, ""); });
    const auto token = node.next_token++;
    node.replies[token] = [this, i, from, done](int status, const std::string& answer) {
      carry(nodes_[i].name, from, [done, status, answer] { done(status, answer); });
    };
    enter(i, node.life, [this, i, token, method, target, body] {
      nodes_[i].controller->on_request(clock_reading(), {token, method, target, body});
    });
  });
}

void SimulatedCluster::drain(int i) {
  auto& node = nodes_[i];
  auto out = node.controller->take_outbox();
  if (options_.digest) outbox_digest_.add(now_, node.name, out);
  const auto life = node.life;
  for (auto& reply : out.replies) {
    const auto found = node.replies.find(reply.token);
    if (found == node.replies.end()) continue;
    const auto done = std::move(found->second);
    node.replies.erase(found);
    if (injected_violation_ == "done_early" && reply.body.find("running") != std::string::npos) {
      if (const auto at = reply.body.find("\"stage\":\"running\""); at != std::string::npos)
        reply.body.replace(at, 17, "\"stage\":\"done\"");
    }
    // As if a cancellation did not reach the jobs after it.
    if (injected_violation_ == "orphans" && reply.status == 200) {
      if (const auto at = reply.body.find("\"stage\":\"withdrawn\""); at != std::string::npos)
        reply.body.replace(at, 19, "\"stage\":\"pending\"");
    }
    if (injected_violation_ == "accepts_all" && (reply.status == 400 || reply.status == 422))
      reply.status = 201;
    if (injected_violation_ == "unanswered" && reply.body.find("\"stage\"") != std::string::npos)
      reply.status = 503;
    if (injected_violation_ == "forgets" && reply.status == 200 &&
        reply.body.find("\"stage\"") != std::string::npos)
      reply.status = 404;
    done(reply.status, reply.body);
  }
  for (auto& send : out.sends) {
    for (int other = 0; other < options_.controllers; ++other) {
      if (nodes_[other].name != send.member) continue;
      carry(node.name, send.member, [this, other, frame = send.frame] {
        enter(other, nodes_[other].life,
              [this, other, frame] { nodes_[other].controller->on_frame(clock_reading(), frame); });
      });
      if (duplicates("frame"))
        after(duplicates_.by, [this, other, frame = send.frame] {
          enter(other, nodes_[other].life,
                [this, other, frame] { nodes_[other].controller->on_frame(clock_reading(), frame); });
        });
    }
  }
  for (auto& call : out.calls) {
    const auto finish = [this, i, life](std::uint64_t id, int status, const std::string& body) {
      enter(i, life, [this, i, id, status, body] {
        nodes_[i].controller->on_result(clock_reading(), id, {status, body});
      });
    };
    if (call.service == protocol::Service::kState) {
      state_request(i, life, call);
      continue;
    }
    auto answered = std::make_shared<bool>(false);
    after(call.timeout_s, [answered, finish, id = call.id] {
      if (!std::exchange(*answered, true)) finish(id, 0, "");
    });
    if (call.service == protocol::Service::kCloud && call.method == "POST" && duplicates("cloud"))
      after(duplicates_.by, [this, call] {
        if (now_ >= cloud_down_until_) cloud_call(call.method, call.target, call.body);
      });
    if (call.service == protocol::Service::kCloud) {
      carry(node.name, "cloud", [this, i, call, answered, finish] {
        const auto [status, body] = now_ < cloud_down_until_
                                        ? std::pair(503, std::string("{\"error\":\"trouble\"}"))
                                        : cloud_call(call.method, call.target, call.body);
        carry("cloud", nodes_[i].name, [=, status = status, body = body] {
          if (!std::exchange(*answered, true)) finish(call.id, status, body);
        });
      });
      continue;
    }
    for (auto& [name, worker] : workers_) {
      if (worker.addr != call.addr) continue;
      carry(node.name, "workers-" + worker.zone, [this, i, name = name, call, answered, finish] {
        auto& w = workers_.at(name);
        const auto deliver = [this, i, name, call, answered, finish] {
          auto& w = workers_.at(name);
          if (!w.up || w.dead || w.gone) return;
          const auto list = protocol::parse_commands(call.body);
          if (!list || !list->fencing_token || !list->agent_epoch) return;
          const bool good = carry_out(w, *list, i);
          const auto body = protocol::heartbeat_json(heartbeat_of(w));
          carry("workers-" + w.zone, nodes_[i].name, [=] {
            if (!std::exchange(*answered, true)) finish(call.id, good ? 200 : 409, body);
          });
        };
        if (now_ < w.inbound_lost_until) return;  // commands don't reach it either
        if (w.repeat_command_by > 0) after(std::exchange(w.repeat_command_by, 0), deliver);
        if (duplicates("command")) after(duplicates_.by, deliver);
        if (w.late_command_by > 0)
          after(std::exchange(w.late_command_by, 0), deliver);  // its sender has given up by then
        else if (now_ < w.hung_until)
          after(w.hung_until - now_, deliver);
        else
          deliver();
      });
    }
  }
}

}  // namespace robinford::simulation
