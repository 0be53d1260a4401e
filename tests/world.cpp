#include "world.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "protocol/names.hpp"

namespace robinford::testing_world {
namespace n = names;
using protocol::ExitWhy;
using protocol::JobId;
using protocol::JobSpec;
using protocol::Order;
using protocol::TaskId;
using protocol::TaskPhase;

namespace {
constexpr double kHop = 0.002;  // s from one place to the next
constexpr double kTick = 0.05;  // s between two ticks of a controller
constexpr double kWorkerStep = 0.1;
constexpr double kPollPatienceS = 2;    // s that a user waits for the answer to a question
constexpr double kAuditEvery = 0.25;    // s between two counts of the running books
constexpr double kForgottenAfter = 75;  // s without any answer about a job, once troubles are over
constexpr double kLeftWaiting = 90;     // s beside room that fits, once troubles are over
constexpr double kWaitingEvery = 2;     // s between two looks for that
constexpr double kLargestBegin = 240;   // s within which the largest jobs of a class begin

std::string query(const std::string& target, const std::string& key) {
  const auto at = target.find(key + "=");
  if (at == std::string::npos) return {};
  const auto begin = at + key.size() + 1;
  return target.substr(begin, target.find('&', begin) - begin);
}
}  // namespace

// ---------------------------------------------------------------- judge

void Judge::breach(const char* rule, double now, const std::string& what) {
  broken_.emplace(rule, "at " + std::to_string(now) + ": " + what);
}

void Judge::on_machine(double now, const TaskId& task, const Placed& where) {
  ++starts;
  auto& places = placed_[task];
  if (!places.empty())
    breach("ran_twice", now,
           protocol::task_text(task) + " on " + places[0].machine + " and " + where.machine);
  const auto& spec = specs_.at(task.job);
  bool good = (!spec.zone || *spec.zone == where.zone) && (spec.spot || !where.spot);
  if (spec.types)
    good = good && std::find(spec.types->begin(), spec.types->end(), where.type) != spec.types->end();
  std::uint32_t here = 1;
  for (const auto& [other, others] : placed_)
    for (const auto& place : others) {
      if (other.job != task.job) continue;
      if (spec.one_zone && place.zone != where.zone) good = false;
      if (place.zone == where.zone) ++here;
    }
  if (spec.spread && here > (spec.tasks + 1) / 2) good = false;
  if (!good) breach("wrong_place", now, protocol::task_text(task) + " on " + where.machine);
  places.push_back(where);
  double used = 0;
  for (const auto& [other, others] : placed_)
    if (specs_.at(other.job).team == spec.team) used += specs_.at(other.job).cpus * others.size();
  if (used > limits_[spec.team] + 1e-6) breach("quota", now, spec.team + " uses " + std::to_string(used));
  if (const auto at = cancelled_at_.find(task.job); at != cancelled_at_.end() && now > at->second + cancel_s_)
    breach("ran_cancelled", now, protocol::task_text(task));
}

void Judge::off_machine(const TaskId& task, const std::string& machine) {
  auto found = placed_.find(task);
  if (found == placed_.end()) return;
  std::erase_if(found->second, [&](const Placed& place) { return place.machine == machine; });
  if (found->second.empty()) placed_.erase(found);
}

void Judge::task_done(double now, const TaskId& task) {
  done_[task.job].insert(task.index);
  if (done(task.job)) done_at_.emplace(task.job, now);
}

bool Judge::any_dependency(JobId id, const std::function<bool(JobId)>& visit) const {
  std::vector<JobId> open{id};
  std::set<JobId> seen;
  while (!open.empty()) {
    const auto spec = specs_.find(open.back());
    open.pop_back();
    if (spec == specs_.end()) continue;
    for (const auto dependency : spec->second.dependencies) {
      if (!seen.insert(dependency).second) continue;
      if (visit(dependency)) return true;
      open.push_back(dependency);
    }
  }
  return false;
}

bool Judge::cancel_was_implied(JobId id) const {
  const auto asked = [this](JobId other) { return cancel_asked_.contains(other); };
  return asked(id) || any_dependency(id, asked);
}

std::optional<double> Judge::eligible_at(JobId id) const {
  double at = submitted_at_.at(id);
  for (const auto dependency : specs_.at(id).dependencies) {
    const auto over = done_at_.find(dependency);
    if (over == done_at_.end()) return std::nullopt;
    at = std::max(at, over->second);
  }
  return at;
}

bool Judge::may_be_submitted(const JobSpec& spec) const {
  return std::all_of(spec.dependencies.begin(), spec.dependencies.end(),
                     [this](JobId id) { return accepted_.contains(id); });
}

void Judge::launched(double now, const TaskId& task) {
  for (const auto dependency : specs_.at(task.job).dependencies)
    if (!done(dependency))
      breach("too_early", now,
             protocol::task_text(task) + " before " + protocol::job_id_text(dependency) + " was done");
}

bool Judge::done(JobId id) const {
  const auto found = done_.find(id);
  return found != done_.end() && found->second.size() == specs_.at(id).tasks;
}

void Judge::began(double now, const TaskId& task) { began_at_.emplace(task.job, now); }

void Judge::answered(double now, JobId id) { answered_at_[id] = now; }

void Judge::watch_answers(double now) {
  if (now < troubles_end_ + kForgottenAfter) return;
  for (const auto id : accepted_) {
    const auto last = answered_at_.find(id);
    if (now - std::max(last == answered_at_.end() ? 0 : last->second, troubles_end_) > kForgottenAfter)
      breach("forgotten", now, protocol::job_id_text(id) + ": no question about it is answered");
  }
}

void Judge::close(double now) {
  watch_answers(now);
  struct Count {
    int served = 0, all = 0;
  };
  std::map<std::string, Count> counts;
  std::map<std::string, std::uint32_t> largest;
  for (const auto& [id, spec] : specs_)
    largest[spec.job_class] = std::max(largest[spec.job_class], spec.tasks);
  for (const auto id : accepted_) {
    const auto eligible = eligible_at(id);
    if (cancel_was_implied(id) || !eligible) continue;
    const auto& spec = specs_.at(id);
    const bool large = spec.tasks * 2 > largest[spec.job_class];
    const auto began = began_at_.find(id);
    const double waited = (began == began_at_.end() ? now : began->second) - *eligible;
    if (large && waited > kLargestBegin)
      breach("late_large", now, protocol::job_id_text(id) + " began after " + std::to_string(waited));
    for (const auto& group : {"class " + spec.job_class, "team " + spec.team,
                              large ? "largest of " + spec.job_class : std::string()}) {
      if (group.empty()) continue;
      ++counts[group].all;
      counts[group].served +=
          done(id) || (began != began_at_.end() && now - *eligible < kLargestBegin) ? 1 : 0;
    }
  }
  for (const auto& [group, count] : counts)
    if (count.served * 2 < count.all)
      breach("unserved", now,
             group + ": " + std::to_string(count.served) + " of " + std::to_string(count.all));
}

void Judge::told_of_bad(double now, JobId id, int status, int expected) {
  if (status == 503 || status == 0 || status == expected) return;
  breach("accepted_bad", now,
         protocol::job_id_text(id) + " got " + std::to_string(status) + ", not " + std::to_string(expected));
}

std::vector<JobId> Judge::running() const {
  std::set<JobId> ids;
  for (const auto& [task, places] : placed_)
    if (accepted_.contains(task.job) && !cancel_asked_.contains(task.job)) ids.insert(task.job);
  return {ids.begin(), ids.end()};
}

void Judge::watch_waiting(double now, const std::vector<FreeRoom>& rooms) {
  std::map<std::string, double> used;
  std::map<JobId, std::size_t> held;
  for (const auto& [task, places] : placed_) {
    used[specs_.at(task.job).team] += specs_.at(task.job).cpus * static_cast<double>(places.size());
    ++held[task.job];
  }
  for (const auto& [id, tasks] : done_) held[id] += tasks.size();
  for (const auto id : accepted_) {
    const auto& spec = specs_.at(id);
    const std::size_t has = held[id];
    std::size_t fits = 0;
    for (const auto& room : rooms) {
      if ((spec.zone && *spec.zone != room.zone) || (room.spot && !spec.spot)) continue;
      if (spec.types && std::find(spec.types->begin(), spec.types->end(), room.type) == spec.types->end())
        continue;
      if (spec.spread || (spec.gang && spec.one_zone))
        continue;  // what fits those is not for this look to say
      fits += static_cast<std::size_t>(
          std::floor(std::min(room.cpus / spec.cpus, room.memory_gb / spec.memory_gb) + 1e-9));
    }
    const std::size_t wants = spec.gang ? spec.tasks : 1;
    const bool could = !cancel_was_implied(id) && eligible_at(id) && has < spec.tasks && fits >= wants &&
                       used[spec.team] + spec.cpus * static_cast<double>(wants) <= limits_[spec.team] + 1e-6;
    auto& since = waits_since_.try_emplace(id, now).first->second;
    if (!could || has != std::exchange(held_[id], has) || now < troubles_end_) since = now;
    if (now - since > kLeftWaiting)
      breach("left_waiting", now, protocol::job_id_text(id) + " waits beside room that fits");
  }
}

void Judge::look(double now) {
  for (const auto& [task, places] : placed_)
    if (const auto at = cancelled_at_.find(task.job);
        at != cancelled_at_.end() && now > at->second + cancel_s_)
      breach("ran_cancelled", now, protocol::task_text(task) + " on " + places[0].machine);
}

void Judge::told(double now, double asked_at, JobId id, int status, const std::string& state, bool accepted) {
  const std::string name = protocol::job_id_text(id);
  if (status == 404 && accepted_.contains(id)) breach("forgotten", now, name);
  if ((status == 400 || status == 422) && accepted_.contains(id)) breach("forgotten", now, name + " refused");
  if (status != 200 && status != 201) return;
  if (!specs_.contains(id)) return breach("invented", now, name);
  if (accepted) accepted_.insert(id);
  if (state == n::kStateDone && !done(id)) breach("not_done", now, name);
  const bool pending = state == n::kStateQueued || state == n::kStateRunning;
  if (pending && any_dependency(id, [&](JobId dependency) {
        const auto cancelled = cancelled_at_.find(dependency);
        return cancelled != cancelled_at_.end() && asked_at > cancelled->second + cancel_s_;
      }))
    breach("orphaned", now, name + " is " + state);
  if (state == n::kStateCancelled && !cancel_was_implied(id))
    breach("went_back", now, name + " cancelled by nobody");
  if (const auto was = final_.find(id);
      was != final_.end() && was->second != state && asked_at > final_at_[id])
    breach("went_back", now, name + " was " + was->second + ", is " + state);
  if (state == n::kStateDone || state == n::kStateCancelled)
    if (final_.emplace(id, state).second) final_at_[id] = now;
  if (state == n::kStateCancelled) cancelled_at_.emplace(id, now);
}

// ---------------------------------------------------------------- world

World::World(Options options) : options_(std::move(options)), random_(options_.seed) {
  std::map<std::string, double> limits;
  for (const auto& [name, amounts] : options_.teams) {
    settings_.teams.push_back({name, amounts.first, amounts.second, 0, 0});
    limits[name] = amounts.second;
  }
  judge.set_limits(limits, options_.cancel_s);
  settings_.zones = options_.zones;
  settings_.count = options_.controllers;
  settings_.report_s = options_.report_s;
  settings_.lease_s = options_.lease_s;
  settings_.gang_wait_s = options_.gang_wait_s;
  settings_.gang_peer_s = options_.gang_peer_s;
  settings_.cancel_s = options_.cancel_s;
  settings_.list_lag_s = options_.list_lag_s;
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
  }
  for (int i = 0; i < options_.controllers; ++i) start_node(i);
}

World::~World() = default;

void World::run_until(double time) {
  while (!events_.empty() && events_.top().at <= time) {
    auto event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
    judge.look(now_);
    if (now_ < next_audit_) continue;
    judge.watch_answers(now_);
    if (now_ >= next_waiting_look_) look_for_waiting();
    next_audit_ = now_ + kAuditEvery;
    for (auto& node : nodes_)
      if (node.core)
        if (const auto wrong = node.core->scheduler().audit(); !wrong.empty())
          judge.breach("books", now_, node.name + ": " + wrong);
  }
  now_ = time;
}

void World::carry(const std::string& from, const std::string& to, std::function<void()> run) {
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

void World::look_for_waiting() {
  next_waiting_look_ = now_ + kWaitingEvery;
  std::vector<Judge::FreeRoom> rooms;
  for (const auto& [name, w] : workers_) {
    if (!w.up || w.dead || w.gone ||
        now_ < std::max({w.hung_until, w.mute_until, w.deaf_until, w.sick_until}))
      continue;
    const auto type = std::find_if(options_.types.begin(), options_.types.end(),
                                   [&](const auto& t) { return t.name == w.type; });
    if (type == options_.types.end()) continue;
    Judge::FreeRoom room{w.type, w.zone, w.spot, type->cpus, type->memory_gb};
    for (const auto& [id, task] : w.tasks)
      if (task.phase != TaskPhase::kExited) {
        room.cpus -= described_.at(id.job).cpus;
        room.memory_gb -= described_.at(id.job).memory_gb;
      }
    if (room.cpus > 0) rooms.push_back(std::move(room));
  }
  judge.watch_waiting(now_, rooms);
}

void World::cut(const std::string& a, const std::string& b, double for_s, bool hold) {
  cuts_.push_back({a, b, now_ + for_s, hold});
}

// ---------------------------------------------------------------- controllers

void World::start_node(int i) {
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
  const std::uint64_t incarnation =
      (static_cast<std::uint64_t>(moment().wall_ms) << 16) | (random_() & 0xffff);
  node.core = std::make_unique<coordination::Controller>(settings, policy, incarnation, random_());
  const auto life = node.life;
  for (int other = 0; other < options_.controllers; ++other) {
    if (other == i) continue;
    after(0.01, [this, i, other, life] {
      if (nodes_[i].life == life && nodes_[i].core && nodes_[other].core)
        link(i, other, true), link(other, i, true);
    });
  }
  after(0.001, [this, i, life] { tick_node(i, life); });
}

void World::link(int i, int other, bool up) {
  enter(i, nodes_[i].life,
        [this, i, other, up] { nodes_[i].core->on_link(moment(), nodes_[other].name, up); });
}

void World::enter(int i, std::uint64_t life, std::function<void()> event) {
  auto& node = nodes_[i];
  if (node.life != life || !node.core) return;
  if (now_ < node.frozen_until) return node.backlog.push_back(std::move(event));
  event();
  drain(i);
}

void World::freeze(int i, double for_s) {
  nodes_[i].frozen_until = now_ + for_s;
  after(for_s, [this, i, life = nodes_[i].life] {
    const auto backlog = std::exchange(nodes_[i].backlog, {});
    for (const auto& event : backlog) enter(i, life, event);
  });
}

void World::tick_node(int i, std::uint64_t life) {
  // After it stood still the timers come last: what waited in the sockets is worked through first.
  if (nodes_[i].life == life && now_ < nodes_[i].frozen_until)
    return after(nodes_[i].frozen_until - now_, [this, i, life] { tick_node(i, life); });
  enter(i, life, [this, i, life] {
    nodes_[i].core->on_tick(moment());
    after(kTick, [this, i, life] { tick_node(i, life); });
  });
}

void World::crash(int i, double back_after) {
  nodes_[i].core.reset();
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

int World::leader() const {
  for (int i = 0; i < options_.controllers; ++i)
    if (nodes_[i].core && nodes_[i].core->election().valid()) return i;
  return -1;
}

void World::request(int i, const std::string& from, const std::string& method, const std::string& target,
                    const std::string& body, std::function<void(int, const std::string&)> done) {
  carry(from, nodes_[i].name, [this, i, from, method, target, body, done] {
    auto& node = nodes_[i];
    if (!node.core) return carry(nodes_[i].name, from, [done] { done(0, ""); });
    const auto token = node.next_token++;
    node.replies[token] = [this, i, from, done](int status, const std::string& answer) {
      carry(nodes_[i].name, from, [done, status, answer] { done(status, answer); });
    };
    enter(i, node.life, [this, i, token, method, target, body] {
      nodes_[i].core->on_request(moment(), {token, method, target, body});
    });
  });
}

void World::drain(int i) {
  auto& node = nodes_[i];
  auto out = node.core->take_outbox();
  const auto life = node.life;
  for (auto& reply : out.replies) {
    const auto found = node.replies.find(reply.token);
    if (found == node.replies.end()) continue;
    const auto done = std::move(found->second);
    node.replies.erase(found);
    if (sabotage_ == "done_early" && reply.body.find("running") != std::string::npos) {
      if (const auto at = reply.body.find("\"stage\":\"running\""); at != std::string::npos)
        reply.body.replace(at, 17, "\"stage\":\"done\"");
    }
    // As if a cancellation did not reach the jobs after it.
    if (sabotage_ == "orphans" && reply.status == 200) {
      if (const auto at = reply.body.find("\"stage\":\"withdrawn\""); at != std::string::npos)
        reply.body.replace(at, 19, "\"stage\":\"pending\"");
    }
    if (sabotage_ == "accepts_all" && (reply.status == 400 || reply.status == 422)) reply.status = 201;
    if (sabotage_ == "silent" && reply.body.find("\"stage\"") != std::string::npos) reply.status = 503;
    if (sabotage_ == "forgets" && reply.status == 200 && reply.body.find("\"stage\"") != std::string::npos)
      reply.status = 404;
    done(reply.status, reply.body);
  }
  for (auto& send : out.sends) {
    for (int other = 0; other < options_.controllers; ++other) {
      if (nodes_[other].name != send.member) continue;
      carry(node.name, send.member, [this, other, frame = send.frame] {
        enter(other, nodes_[other].life,
              [this, other, frame] { nodes_[other].core->on_frame(moment(), frame); });
      });
      if (repeats("frame"))
        after(repeats_.by, [this, other, frame = send.frame] {
          enter(other, nodes_[other].life,
                [this, other, frame] { nodes_[other].core->on_frame(moment(), frame); });
        });
    }
  }
  for (auto& call : out.calls) {
    const auto finish = [this, i, life](std::uint64_t id, int status, const std::string& body) {
      enter(i, life, [this, i, id, status, body] {
        nodes_[i].core->on_result(moment(), id, {status, body});
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
    if (call.service == protocol::Service::kCloud && call.method == "POST" && repeats("cloud"))
      after(repeats_.by, [this, call] {
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
          const auto list = protocol::parse_orders(call.body);
          if (!list || !list->token || !list->session) return;
          const bool good = *list->token >= w.token && *list->session == w.session;
          if (good) {
            if (*list->token > w.token) w.changed = true;
            w.token = *list->token;
            take_orders(w, list->orders);
          }
          const auto body = protocol::report_json(report_of(w));
          carry("workers-" + w.zone, nodes_[i].name, [=] {
            if (!std::exchange(*answered, true)) finish(call.id, good ? 200 : 409, body);
          });
        };
        if (now_ < w.deaf_until) return;  // commands don't reach it either
        if (w.repeat_command_by > 0) after(std::exchange(w.repeat_command_by, 0), deliver);
        if (repeats("command")) after(repeats_.by, deliver);
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

// ---------------------------------------------------------------- state service

void World::state_request(int i, std::uint64_t life, const protocol::Call& call) {
  auto answered = std::make_shared<bool>(false);
  after(call.timeout_s, [this, answered, i, life, id = call.id] {
    if (!std::exchange(*answered, true)) state_answer(i, life, id, 0, "");
  });
  carry(nodes_[i].name, "state", [this, i, life, call, answered] {
    if (call.target.starts_with(n::kPathWatch)) {
      watches_.push_back({i, life, call, now_ + std::stod(query(call.target, n::kQueryWaitMs)) / 1000});
      after(watches_.back().until - now_, [this] { state_changed(); });
      return state_changed();
    }
    const bool refused = now_ < state_down_until_ || (refused_until_.contains(i) && now_ < refused_until_[i]);
    if (!refused && call.target == n::kPathTxn && late_txn_by_ > 0) {
      // Carried out late, and never answered.
      after(std::exchange(late_txn_by_, 0), [this, call] {
        state_call(call.method, call.target, call.body);
        state_changed();
      });
      return;
    }
    if (!refused && call.target == n::kPathTxn && now_ < late_share_until_ && draw() < late_share_) {
      after(2 + (late_share_by_ - 2) * draw(), [this, call] {
        state_call(call.method, call.target, call.body);
        state_changed();
      });
      return;
    }
    if (!refused && call.target == n::kPathTxn && repeats("txn"))
      after(repeats_.by, [this, call] {
        state_call(call.method, call.target, call.body);
        state_changed();
      });
    expire_leases();
    const auto [status, body] =
        refused ? std::pair(503, std::string("{}")) : state_call(call.method, call.target, call.body);
    const double slow =
        now_ < slow_until_ ? slow_by_ * std::uniform_real_distribution<double>(0, 1)(random_) : 0;
    after(slow, [this, i, life, id = call.id, answered, status = status, body = body] {
      carry("state", nodes_[i].name, [=, this] {
        if (!std::exchange(*answered, true)) state_answer(i, life, id, status, body);
      });
    });
    state_changed();
  });
}

void World::state_answer(int i, std::uint64_t life, std::uint64_t id, int status, const std::string& body) {
  enter(i, life, [this, i, id, status, body] { nodes_[i].core->on_result(moment(), id, {status, body}); });
}

void World::expire_leases() {
  if (now_ < state_down_until_) {
    for (auto& [id, lease] : leases_) lease.second = std::max(lease.second, state_down_until_ + lease.first);
    return;
  }
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (now_ < it->second.second) {
      ++it;
      continue;
    }
    ++epoch_;
    for (auto entry = store_.begin(); entry != store_.end();) {
      if (entry->second.lease != it->first) {
        ++entry;
        continue;
      }
      changes_.push_back({epoch_, entry->first, true, nullptr});
      entry = store_.erase(entry);
    }
    it = leases_.erase(it);
  }
}

void World::state_changed() {
  expire_leases();
  std::vector<Watch> kept, due;
  for (auto& watch : watches_) {
    std::string body;
    const bool silent = now_ < std::max(state_down_until_, watches_lost_until_) ||
                        (refused_until_.contains(watch.node) && now_ < refused_until_[watch.node]);
    if (!silent && watch_answer(watch.call, now_ + 1e-9 >= watch.until, body)) {
      watch.call.body = body;
      due.push_back(std::move(watch));
    } else if (now_ < watch.until + 5) {
      kept.push_back(std::move(watch));
    }
  }
  watches_ = std::move(kept);
  for (auto& watch : due)
    carry("state", nodes_[watch.node].name,
          [this, watch] { state_answer(watch.node, watch.life, watch.call.id, 200, watch.call.body); });
}

bool World::watch_answer(const protocol::Call& call, bool final, std::string& body) {
  const std::string prefix = query(call.target, n::kQueryPrefix);
  const std::uint64_t from = std::stoull(query(call.target, n::kQueryAfter));
  json::array events;
  for (const auto& change : changes_) {
    if (change.epoch <= from || !change.key.starts_with(prefix)) continue;
    json::object entry;
    entry[change.deleted ? n::kDelete : n::kPut] = change.key;
    if (!change.deleted) entry[n::kValue] = change.value;
    entry[n::kVersion] = change.epoch;
    events.emplace_back(entry);
  }
  if (events.empty() && !final) return false;
  json::object result;
  result[n::kRevision] = epoch_;
  result[n::kEvents] = events;
  body = json::serialize(result);
  return true;
}

std::pair<int, std::string> World::state_call(const std::string& method, const std::string& target,
                                              const std::string& body) {
  const std::string leases = n::kPathLeases, store = n::kPathStore;
  if (target == leases) {
    const double ttl = json::parse(body).at(n::kTtlMs).to_number<double>() / 1000;
    leases_[next_lease_] = {ttl, now_ + ttl};
    after(ttl + 0.01, [this] { state_changed(); });
    json::object answer;
    answer[n::kLease] = next_lease_++;
    return {200, json::serialize(answer)};
  }
  if (target.starts_with(leases + "/")) {
    const auto id = std::stoull(target.substr(leases.size() + 1));
    const auto found = leases_.find(id);
    if (found == leases_.end()) return {404, "{}"};
    found->second.second = method == "DELETE" ? now_ - 1 : now_ + found->second.first;
    after(method == "DELETE" ? 0 : found->second.first + 0.01, [this] { state_changed(); });
    return {200, "{}"};
  }
  if (target.starts_with(store + "/")) {
    const auto found = store_.find(target.substr(store.size() + 1));
    json::object answer;
    if (found == store_.end()) {
      answer[n::kRevision] = epoch_;
      return {404, json::serialize(answer)};
    }
    answer[n::kKey] = found->first;
    answer[n::kValue] = found->second.value;
    answer[n::kVersion] = found->second.stamp;
    return {200, json::serialize(answer)};
  }
  if (target.starts_with(store + "?")) {
    const std::string prefix = query(target, n::kQueryPrefix), from = query(target, n::kQueryAfter);
    json::array items;
    const std::string most = query(target, n::kQueryLimit);
    bool more = false;
    for (const auto& [key, entry] : store_) {
      if (!key.starts_with(prefix) || (!from.empty() && key <= from)) continue;
      if (!most.empty() && items.size() >= std::stoul(most)) {
        more = true;
        break;
      }
      json::object item;
      item[n::kKey] = key;
      item[n::kValue] = entry.value;
      item[n::kVersion] = entry.stamp;
      items.emplace_back(item);
    }
    json::object answer;
    answer[n::kItems] = items;
    answer[n::kMore] = more;
    answer[n::kRevision] = epoch_;
    return {200, json::serialize(answer)};
  }
  // A transaction.
  if (const int refusal = over_limits(body); refusal != 0) {
    ++state_refusals;
    return {refusal, "{}"};
  }
  const auto request = json::parse(body).as_object();
  json::array failed;
  for (const auto& condition : request.at(n::kIf).as_array()) {
    const std::string key(condition.at(n::kKey).as_string());
    const auto found = store_.find(key);
    const std::uint64_t stamp = found == store_.end() ? 0 : found->second.stamp;
    if (stamp != condition.at(n::kVersion).to_number<std::uint64_t>()) failed.emplace_back(key);
  }
  json::object answer;
  answer[n::kRevision] = epoch_;
  if (!failed.empty()) {
    answer[n::kFailedKeys] = failed;
    return {409, json::serialize(answer)};
  }
  const auto& then = request.at(n::kThen).as_array();
  for (const auto& change : then)
    if (const auto* lease = change.as_object().if_contains(n::kLease);
        lease != nullptr && !leases_.contains(lease->to_number<std::uint64_t>()))
      return {400, "{\"error\":\"no such lease\"}"};
  ++epoch_;
  for (const auto& change : then) {
    const auto& object = change.as_object();
    if (const auto* put = object.if_contains(n::kPut)) {
      const std::string key(put->as_string());
      const auto* lease = object.if_contains(n::kLease);
      store_[key] = {object.at(n::kValue), epoch_, lease != nullptr ? lease->to_number<std::uint64_t>() : 0};
      changes_.push_back({epoch_, key, false, object.at(n::kValue)});
    } else {
      const std::string key(object.at(n::kDelete).as_string());
      store_.erase(key);
      changes_.push_back({epoch_, key, true, nullptr});
    }
  }
  answer[n::kRevision] = epoch_;
  return {200, json::serialize(answer)};
}

void World::state_limits(double value_kb, int txn_ops, double write_rps) {
  value_most_ = static_cast<std::size_t>(value_kb * 1024);
  ops_most_ = static_cast<std::size_t>(txn_ops);
  writes_a_second_ = writes_level_ = write_rps;
  writes_at_ = now_;
}

int World::over_limits(const std::string& body) {
  const auto request = json::parse(body);
  const auto& then = request.at(n::kThen).as_array();
  if (then.size() > ops_most_ || request.at(n::kIf).as_array().size() > 4 * ops_most_) return 400;
  for (const auto& change : then)
    if (const auto* value = change.as_object().if_contains(n::kValue);
        value != nullptr && json::serialize(*value).size() > value_most_)
      return 400;
  if (writes_a_second_ <= 0) return 0;
  writes_level_ = std::min(writes_a_second_, writes_level_ + (now_ - writes_at_) * writes_a_second_);
  writes_at_ = now_;
  if (writes_level_ < static_cast<double>(then.size())) return 429;
  writes_level_ -= static_cast<double>(then.size());
  return 0;
}

// ---------------------------------------------------------------- cloud

void World::machines(int count, const std::string& type, const std::string& zone, bool spot) {
  for (int i = 0; i < count; ++i) {
    char name[32];
    std::snprintf(name, sizeof name, "host-%06d", next_machine_++);
    Worker worker;
    worker.name = name;
    worker.type = type;
    worker.zone = zone;
    worker.spot = spot;
    worker.addr = "10.1.0." + std::to_string(next_machine_) + ":9000";
    worker.rented_at = now_;
    double boot = 0.5;
    for (const auto& known : options_.types)
      if (known.name == type && now_ > 0) boot = known.boot_s;
    if (now_ > 0 && failing_boots_ > 0 && failing_boots_-- > 0) boot = 1e6;
    worker.boots_at = now_ + boot;
    worker.node = static_cast<int>(random_() % nodes_.size());
    workers_[name] = worker;
    after(boot, [this, key = std::string(name)] { worker_step(workers_.at(key)); });
  }
}

std::pair<int, std::string> World::cloud_call(const std::string& method, const std::string& target,
                                              const std::string& body) {
  if (target == n::kPathCatalog) return {200, protocol::catalog_json(options_.types)};
  if (target == n::kPathReturn) {
    const auto names = protocol::parse_rented(body);
    for (const auto& name : *names) {
      const auto found = workers_.find(name);
      // With this sabotage nothing ends withdrawn work, neither the return of its machine nor its lease.
      if (found == workers_.end() || sabotage_ == "never_stops") continue;
      clear_worker(found->second);
      found->second.gone = true;
    }
    return {200, "{}"};
  }
  if (method == "POST") {
    const auto request = json::parse(body).as_object();
    const std::string key(request.at(n::kRequest).as_string()), type(request.at(n::kType).as_string()),
        zone(request.at(n::kZone).as_string());
    if (const auto was = rentals_.find(key); was != rentals_.end()) return {200, was->second};
    const bool spot = request.at(n::kSpot).as_bool();
    int used = 0;
    for (const auto& [name, worker] : workers_)
      if (!worker.gone && worker.type == type && worker.zone == zone && worker.spot == spot) ++used;
    const int count =
        std::min<int>(options_.capacity - used, static_cast<int>(request.at(n::kCount).to_number<int>()));
    if (count <= 0) return {503, "{\"error\":\"no capacity\"}"};
    json::array hosts;
    const int first = next_machine_;
    machines(count, type, zone, spot);
    for (int i = first; i < next_machine_; ++i) {
      char name[32];
      std::snprintf(name, sizeof name, "host-%06d", i);
      hosts.emplace_back(name);
    }
    json::object answer;
    answer[n::kMachines] = hosts;
    return {200, rentals_[key] = json::serialize(answer)};
  }
  json::array list;
  for (const auto& [name, worker] : workers_) {
    if (worker.gone || now_ - worker.rented_at < options_.list_lag_s) continue;
    json::object entry;
    entry[n::kMachineName] = name;
    entry[n::kAddr] = worker.addr;
    entry[n::kType] = worker.type;
    entry[n::kZone] = worker.zone;
    entry[n::kSpot] = worker.spot;
    entry[n::kState] = now_ < worker.boots_at ? n::kBooting : "running";
    entry[n::kAgeS] = now_ - worker.rented_at;
    list.emplace_back(entry);
  }
  json::object answer;
  answer[n::kMachines] = list;
  answer[n::kMore] = false;
  return {200, json::serialize(answer)};
}

// ---------------------------------------------------------------- workers

std::string World::nth_machine(int index) const {
  int i = 0;
  for (const auto& [name, worker] : workers_)
    if (i++ == index) return name;
  return {};
}

std::string World::machine_of(const TaskId& task) const {
  for (const auto& [name, worker] : workers_)
    if (const auto found = worker.tasks.find(task);
        !worker.gone && found != worker.tasks.end() && found->second.phase != TaskPhase::kExited)
      return name;
  return {};
}

int World::spot_rented() const {
  return static_cast<int>(
      std::count_if(workers_.begin(), workers_.end(), [](const auto& entry) { return entry.second.spot; }));
}

int World::keys(const std::string& prefix) const {
  return static_cast<int>(std::count_if(store_.begin(), store_.end(),
                                        [&](const auto& entry) { return entry.first.starts_with(prefix); }));
}

int World::machines_up() const {
  return static_cast<int>(
      std::count_if(workers_.begin(), workers_.end(), [&](const auto& entry) { return !entry.second.gone; }));
}

void World::hang(const std::string& machine, double for_s) { workers_.at(machine).hung_until = now_ + for_s; }
void World::sick(const std::string& machine, double for_s) { workers_.at(machine).sick_until = now_ + for_s; }
void World::lose_answers(const std::string& machine, double for_s) {
  workers_.at(machine).deaf_until = now_ + for_s;
}
void World::late_report(const std::string& machine, double by_s) { workers_.at(machine).late_by = by_s; }
void World::copy_report(const std::string& machine, double by_s) { workers_.at(machine).copy_by = by_s; }
void World::late_command(const std::string& machine, double by_s) {
  workers_.at(machine).late_command_by = by_s;
}
void World::repeat_command(const std::string& machine, double by_s) {
  workers_.at(machine).repeat_command_by = by_s;
}

void World::mute(const std::string& machine, double for_s) { workers_.at(machine).mute_until = now_ + for_s; }

void World::cancel_running(int count, double hang_s) {
  auto ids = judge.running();
  std::shuffle(ids.begin(), ids.end(), random_);
  if (ids.size() > static_cast<std::size_t>(count)) ids.resize(count);
  int hung = 0;
  for (const auto id : ids) {
    for (auto& [name, w] : workers_) {
      if (hang_s <= 0 || hung >= 8 || w.gone || w.dead || now_ < w.hung_until) continue;
      if (std::none_of(w.tasks.begin(), w.tasks.end(), [&](const auto& t) { return t.first.job == id; }))
        continue;
      w.hung_until = now_ + hang_s;
      ++hung;
    }
    after(0.2 * draw(), [this, id] { cancel(id); });
  }
}

void World::job_ended(JobId id) {
  if (now_ < end_until_ && judge.done(id) && !judge.cancel_was_asked(id) && draw() < end_share_) cancel(id);
}

void World::odd_requests(double for_s) {
  for (int i = 0; i < 3; ++i) odd_request(now_ + for_s, i);
}

void World::odd_request(double until, int n) {
  if (now_ > until) return;
  after(0.5 + draw(), [this, until, n] { odd_request(until, n + 1); });
  const auto known = judge.running();
  JobSpec bad;
  bad.id = 900000 + random_() % 90000;
  bad.team = options_.teams.begin()->first;
  bad.job_class = "odd";
  bad.image = "img-1";
  bad.tasks = 1;
  bad.cpus = bad.memory_gb = 1;
  bad.estimate_s = 5;
  const int node = static_cast<int>(random_() % nodes_.size());
  const auto send = [&](const std::string& body, int expected) {
    request(node, "users", "POST", n::kPathJobs, body,
            [this, id = bad.id, expected](int status, const std::string&) {
              judge.told_of_bad(now_, id, status, expected);
            });
  };
  switch (n % 8) {
    case 0:  // repeated, whatever has become of it
      if (!known.empty()) try_submit(described_.at(known[random_() % known.size()]), now_);
      break;
    case 1:  // done, and cancelled nevertheless
      for (const auto& [id, state] : last_state)
        if (state == n::kStateDone) {
          judge.cancel_asked(id);
          try_cancel(id);
          break;
        }
      break;
    case 2:
      bad.cpus = 1e6;
      send(json::serialize(protocol::job_json(bad)), 422);
      break;
    case 3: {
      auto object = protocol::job_json(bad);
      object.erase(n::kTeam);
      send(json::serialize(object), 400);
      break;
    }
    case 4:
      bad.team = "nobody";
      send(json::serialize(protocol::job_json(bad)), 422);
      break;
    case 5:
      request(
          node, "users", "GET", std::string(n::kPathJobs) + "/" + protocol::job_id_text(bad.id), "",
          [this, id = bad.id](int status, const std::string&) { judge.told_of_bad(now_, id, status, 404); });
      break;
    case 6:  // needs a job that nobody has submitted, or itself
      bad.dependencies = {bad.id - 1};
      if (!judge.all_accepted().empty()) bad.dependencies.push_back(*judge.all_accepted().begin());
      std::sort(bad.dependencies.begin(), bad.dependencies.end());
      send(json::serialize(protocol::job_json(bad)), 422);
      break;
    case 7:
      bad.dependencies = {bad.id};
      send(json::serialize(protocol::job_json(bad)), 422);
      break;
  }
}

void World::deliver_held(const std::string& name, const std::string& body, int was_leader, double until) {
  const int now_leads = leader();
  if (now_ < until && (now_leads < 0 || now_leads == was_leader))
    return after(kTick,
                 [this, name, body, was_leader, until] { deliver_held(name, body, was_leader, until); });
  if (now_leads < 0) return;
  // After the new one has acted on the machine's own reports.
  after(2, [this, name, body, now_leads] {
    request(now_leads, "workers-" + workers_.at(name).zone, "POST", n::kPathReport, body,
            [](int, const std::string&) {});
  });
}

void World::reborn(const std::string& machine) {
  auto& worker = workers_.at(machine);
  clear_worker(worker);
  worker.session = 1;
  worker.seq = worker.token = 0;
  worker.lease_from = now_;
  worker.in_flight = false;
  worker.next_report = now_;
}

void World::apart(int node, double for_s, bool reset) {
  for (int other = 0; reset && other < options_.controllers; ++other) {
    if (other == node) continue;
    link(node, other, false), link(other, node, false);
    after(for_s + 0.01, [this, node, other] {
      if (nodes_[node].core && nodes_[other].core) link(node, other, true), link(other, node, true);
    });
  }
  cut(nodes_[node].name, "state", for_s, false);
  for (const auto& other : nodes_)
    if (other.name != nodes_[node].name) cut(nodes_[node].name, other.name, for_s, false);
}

void World::die(const std::string& machine) {
  auto& worker = workers_.at(machine);
  clear_worker(worker);
  worker.dead = true;
}

void World::notice(const std::string& machine, double after_s) {
  workers_.at(machine).taken_at = now_ + after_s;
  workers_.at(machine).changed = true;
  after(after_s, [this, machine] {
    auto& worker = workers_.at(machine);
    clear_worker(worker);
    worker.gone = true;
  });
}

void World::drop_task(Worker& worker, const TaskId& id) {
  judge.off_machine(id, worker.name);
  worker.changed = true;
}

void World::clear_worker(Worker& worker) {
  for (const auto& [id, task] : worker.tasks) drop_task(worker, id);
  worker.tasks.clear();
}

void World::exit_task(Worker& worker, const TaskId& id, ExitWhy why, bool saved) {
  auto& task = worker.tasks.at(id);
  if (task.phase == TaskPhase::kExited) return;
  task.phase = TaskPhase::kExited;
  task.why = why;
  task.saved = saved;
  drop_task(worker, id);
}

// All tasks of the gang's attempt on some machine? `ready`: how many have their image and wait or run.
bool World::gang_present(const TaskId& id, std::uint64_t attempt, int& ready) const {
  std::set<std::uint32_t> present;
  ready = 0;
  for (const auto& [name, worker] : workers_) {
    if (worker.gone || worker.dead || now_ < worker.hung_until) continue;
    for (const auto& [other, task] : worker.tasks) {
      if (other.job != id.job || task.attempt != attempt || task.phase == TaskPhase::kExited) continue;
      present.insert(other.index);
      if (task.phase == TaskPhase::kWaiting || task.phase == TaskPhase::kRunning) ++ready;
    }
  }
  return present.size() == described_.at(id.job).tasks;
}

void World::worker_step(Worker& worker) {
  if (worker.gone || worker.dead) return;
  after(kWorkerStep, [this, name = worker.name] { worker_step(workers_.at(name)); });
  if (now_ < worker.hung_until) return;
  if (!worker.up) {
    worker.up = true;
    worker.lease_from = now_;
    worker.changed = true;
  }
  if (now_ - worker.lease_from > options_.lease_s && sabotage_ != "never_stops") {
    clear_worker(worker);
    ++worker.session;
    worker.seq = 0;
    worker.lease_from = now_;
    worker.changed = true;
    worker.in_flight = false;
  }
  std::vector<TaskId> ids;
  for (const auto& [id, task] : worker.tasks) ids.push_back(id);
  for (const auto& id : ids) {
    auto& task = worker.tasks.at(id);
    const auto& spec = described_.at(id.job);
    int ready = 0;
    switch (task.phase) {
      case TaskPhase::kFetching:
        if (now_ < task.ready_at) break;
        if (now_ < worker.sick_until) {
          task.phase = TaskPhase::kExited;
          task.why = ExitWhy::kError;
          worker.changed = true;
          break;
        }
        judge.on_machine(now_, id, {worker.name, worker.type, worker.zone, worker.spot});
        worker.changed = true;
        if (results_[id.job].contains(id.index)) {
          exit_task(worker, id, ExitWhy::kDone, false);
          break;
        }
        task.phase = spec.gang ? TaskPhase::kWaiting : TaskPhase::kRunning;
        task.waits_until = now_ + options_.gang_wait_s;
        task.started_at = now_;
        task.ends_at = now_ + run_s_[id.job];
        if (!spec.gang) {
          first_run.emplace(id.job, now_);
          judge.began(now_, id);
        }
        break;
      case TaskPhase::kWaiting:
        if (gang_present(id, task.attempt, ready) && ready == static_cast<int>(spec.tasks)) {
          first_run.emplace(id.job, now_);
          judge.began(now_, id);
          for (auto& [name, other] : workers_)
            for (auto& [mate, mate_task] : other.tasks)
              if (mate.job == id.job && mate_task.attempt == task.attempt &&
                  mate_task.phase == TaskPhase::kWaiting) {
                mate_task.phase = TaskPhase::kRunning;
                mate_task.started_at = now_;
                mate_task.ends_at = now_ + run_s_[id.job] - progress_[id.job];
                other.changed = true;
              }
        } else if (now_ > task.waits_until) {
          exit_task(worker, id, ExitWhy::kAlone, false);
        }
        break;
      case TaskPhase::kRunning: {
        const bool whole = !spec.gang || gang_present(id, task.attempt, ready);
        if (!whole) {
          if (task.lost_mate_at == 0) task.lost_mate_at = now_;
          if (spec.checkpoint_s > 0) {
            const double reached = progress_[id.job] + task.lost_mate_at - task.started_at;
            progress_[id.job] =
                std::max(progress_[id.job], std::floor(reached / spec.checkpoint_s) * spec.checkpoint_s);
          }
          if (now_ - task.lost_mate_at > options_.gang_peer_s) exit_task(worker, id, ExitWhy::kPeers, false);
          break;
        }
        task.lost_mate_at = 0;
        if (now_ < task.ends_at) break;
        if (!spec.gang) {
          results_[id.job].insert(id.index);
          judge.task_done(now_, id);
          exit_task(worker, id, ExitWhy::kDone, false);
          job_ended(id.job);
          break;
        }
        for (auto& [name, other] : workers_) {
          std::vector<TaskId> mates;
          for (const auto& [mate, mate_task] : other.tasks)
            if (mate.job == id.job && mate_task.attempt == task.attempt) mates.push_back(mate);
          for (const auto& mate : mates) {
            results_[id.job].insert(mate.index);
            judge.task_done(now_, mate);
            exit_task(other, mate, ExitWhy::kDone, false);
          }
        }
        job_ended(id.job);
        break;
      }
      case TaskPhase::kSaving:
        if (now_ < task.save_until) break;
        progress_[id.job] = std::max(progress_[id.job], task.save_until - spec.save_s - task.started_at);
        exit_task(worker, id, ExitWhy::kStopped, true);
        break;
      case TaskPhase::kExited:
        break;
    }
  }
  if (worker.in_flight && now_ - worker.last_sent > 4) {
    worker.in_flight = false;
    worker.node = (worker.node + 1) % options_.controllers;
    worker.next_report = now_ + 1;
  }
  if (!worker.in_flight && now_ - worker.last_sent >= 0.5 &&
      (now_ >= worker.next_report || (worker.changed && now_ >= worker.next_report - options_.report_s)))
    send_report(worker);
}

protocol::Report World::report_of(Worker& worker) {
  protocol::Report report;
  report.machine = worker.name;
  report.addr = worker.addr;
  report.type = worker.type;
  report.zone = worker.zone;
  report.spot = worker.spot;
  report.session = worker.session;
  report.seq = ++worker.seq;
  report.token = worker.token;
  if (worker.taken_at > now_) report.notice_s = worker.taken_at - now_;
  for (const auto& [id, task] : worker.tasks)
    report.tasks.push_back({id, task.attempt, task.phase, task.why, task.saved});
  return report;
}

void World::send_report(Worker& worker) {
  const auto report = report_of(worker);
  worker.changed = false;
  worker.in_flight = true;
  worker.last_sent = now_;
  worker.next_report =
      now_ + options_.report_s * (0.75 + 0.5 * std::uniform_real_distribution<double>(0, 1)(random_));
  const auto flight = ++worker.flight;
  const double sent = now_;
  const std::string name = worker.name;
  const auto send = [this, name, flight, sent, body = protocol::report_json(report), node = worker.node,
                     session = worker.session] {
    request(node, "workers-" + workers_.at(name).zone, "POST", n::kPathReport, body,
            [=, this](int status, const std::string& answer) {
              auto& w = workers_.at(name);
              if (w.gone || w.dead || flight != w.flight || !w.in_flight || now_ - sent > 4 ||
                  now_ < w.hung_until || session != w.session)
                return;
              if (now_ < w.deaf_until) return;  // the answer is lost
              w.in_flight = false;
              if (status != 200) {
                w.node = (w.node + 1) % options_.controllers;
                w.next_report = now_ + 1;
                w.changed = false;
                return;
              }
              const auto list = protocol::parse_orders(answer);
              if (!list || !list->token || *list->token < w.token) return;
              if (*list->token > w.token) w.changed = true;
              w.token = *list->token;
              w.lease_from = sent;
              take_orders(w, list->orders);
            });
  };
  if (now_ < worker.mute_until) return;  // no connection to any controller
  if (std::exchange(worker.hold_report, false))
    return deliver_held(name, protocol::report_json(report), leader(), now_ + 120);
  if (worker.copy_by > 0 || repeats("report")) {
    const double by = worker.copy_by > 0 ? std::exchange(worker.copy_by, 0) : repeats_.by;
    after(by, [this, name, body = protocol::report_json(report)] {
      for (int i = 0; i < options_.controllers; ++i)
        request(i, "workers-" + workers_.at(name).zone, "POST", n::kPathReport, body,
                [](int, const std::string&) {});
    });
  }
  if (worker.late_by > 0)
    after(std::exchange(worker.late_by, 0), send);
  else
    send();
}

void World::take_orders(Worker& worker, const std::vector<Order>& orders) {
  for (const auto& order : orders) {
    auto found = worker.tasks.find(order.task);
    if (order.op == Order::Op::kForget) {
      if (found != worker.tasks.end() && found->second.attempt == order.attempt &&
          found->second.phase == TaskPhase::kExited)
        worker.tasks.erase(found);
      continue;
    }
    if (order.op == Order::Op::kStart) {
      if (sabotage_ == "starves") continue;
      if (found != worker.tasks.end() && found->second.attempt == order.attempt) continue;
      Task task;
      task.attempt = order.attempt;
      task.ready_at = now_ + options_.fetch_s;
      worker.changed = true;
      const bool busy = found != worker.tasks.end() && found->second.phase != TaskPhase::kExited;
      if (busy) continue;
      if (!described_.contains(order.task.job)) {
        task.phase = TaskPhase::kExited;
        task.why = ExitWhy::kUnknown;
      }
      double used = 0, have = 0;
      for (const auto& [id, other] : worker.tasks)
        if (other.phase != TaskPhase::kExited) used += described_.at(id.job).cpus;
      for (const auto& type : options_.types)
        if (type.name == worker.type) have = type.cpus;
      if (task.why == ExitWhy::kNone && used + described_.at(order.task.job).cpus > have + 1e-6) {
        task.phase = TaskPhase::kExited;
        task.why = ExitWhy::kNoRoom;
      }
      worker.tasks[order.task] = task;
      if (task.why == ExitWhy::kNone) judge.launched(now_, order.task);
      // As if whatever waits for this job were launched with it.
      if (sabotage_ == "too_early")
        for (const auto& [id, spec] : described_)
          if (std::count(spec.dependencies.begin(), spec.dependencies.end(), order.task.job) > 0)
            judge.launched(now_, {id, 0});
      if (sabotage_ == "starts_twice") {
        // As if a scheduler launched the same task elsewhere too.
        for (auto& [name, other] : workers_)
          if (name != worker.name && other.up && !other.tasks.contains(order.task)) {
            other.tasks[order.task] = task;
            other.tasks[order.task].ready_at = now_;  // before the scheduler sees and stops it
            worker.tasks[order.task].ready_at = now_;
            break;
          }
      }
      continue;
    }
    if (sabotage_ == "never_stops" || found == worker.tasks.end() || found->second.attempt != order.attempt)
      continue;
    auto& task = found->second;
    const auto& spec = described_.at(order.task.job);
    if (task.phase == TaskPhase::kExited) continue;
    if (task.phase == TaskPhase::kRunning && spec.checkpoint_s > 0 && order.grace_s >= spec.save_s) {
      task.phase = TaskPhase::kSaving;
      task.save_until = now_ + spec.save_s;
      worker.changed = true;
    } else if (task.phase != TaskPhase::kSaving || order.grace_s == 0) {
      exit_task(worker, order.task, ExitWhy::kStopped, false);
    }
  }
}

// ---------------------------------------------------------------- users

void World::submit(const JobSpec& spec) {
  described_[spec.id] = spec;
  run_s_[spec.id] = spec.estimate_s;
  if (!judge.may_be_submitted(spec)) {
    judge.submitted(now_, spec);
    return after(0.05, [this, spec] { submit(spec); });
  }
  judge.submitted(now_, spec);
  try_submit(spec, now_);
}

void World::try_submit(JobSpec spec, double since) {
  if (now_ - since > 60) return;
  const int node = static_cast<int>(random_() % nodes_.size());
  if (repeats("user") && now_ == since)
    after(repeats_.by, [this, spec, since] { try_submit(spec, since + repeats_.by); });
  auto answered = std::make_shared<bool>(false);
  const auto again = [this, spec, since] { after(1, [this, spec, since] { try_submit(spec, since); }); };
  after(5, [answered, again] {
    if (!std::exchange(*answered, true)) again();
  });
  request(node, "users", "POST", n::kPathJobs, json::serialize(protocol::job_json(spec)),
          [this, spec, answered, again, asked_at = now_](int status, const std::string& body) {
            const auto value = protocol::parse_json(body);
            std::string state;
            if (value && value->is_object())
              if (const auto* found = value->get_object().if_contains(n::kState))
                state = std::string(found->as_string());
            judge.told(now_, asked_at, spec.id, status, state, true);
            if (status == 503 && body.find("too many requests") != std::string::npos)
              ++judge.submissions_shed;
            if (status == 200 || status == 201) {
              judge.answered(now_, spec.id);
              judge.accepted_at.emplace(spec.id, now_);
            }
            if (std::exchange(*answered, true)) return;
            if (status == 201 || status == 200) return poll(spec.id);
            if (status != 400 && status != 422) again();
          });
}

void World::cancel(JobId id) {
  // Users cancel what they know to be accepted.
  if (!judge.accepted(id)) return after(0.05, [this, id] { cancel(id); });
  judge.cancel_asked(id);
  try_cancel(id);
  if (repeats("user")) after(repeats_.by, [this, id] { try_cancel(id); });
}

void World::try_cancel(JobId id) {
  const int node = static_cast<int>(random_() % nodes_.size());
  auto answered = std::make_shared<bool>(false);
  const auto again = [this, id] { after(1, [this, id] { try_cancel(id); }); };
  after(5, [answered, again] {
    if (!std::exchange(*answered, true)) again();
  });
  request(node, "users", "POST", std::string(n::kPathJobs) + "/" + protocol::job_id_text(id) + n::kPathCancel,
          "", [this, id, answered, again, asked_at = now_](int status, const std::string& body) {
            const auto value = protocol::parse_json(body);
            std::string state;
            if (value && value->is_object())
              if (const auto* found = value->get_object().if_contains(n::kState))
                state = std::string(found->as_string());
            judge.told(now_, asked_at, id, status, state, true);
            if (std::exchange(*answered, true)) return;
            if (status != 200) return again();
            last_state[id] = state;
          });
}

void World::polls_storm(double for_s) {
  if (for_s <= 0) return;
  for (const auto id : judge.all_accepted()) after(0.1 * draw(), [this, id] { ask(id); });
  after(0.1, [this, for_s] { polls_storm(for_s - 0.1); });
}

void World::poll(JobId id) {
  ask(id);
  const auto known = last_state.find(id);
  const bool over =
      known != last_state.end() && (known->second == n::kStateDone || known->second == n::kStateCancelled);
  after(over ? 20 : 2, [this, id] { poll(id); });
}

void World::ask(JobId id) {
  const int node = static_cast<int>(random_() % nodes_.size());
  if (nodes_[node].core) ++judge.polls_asked;  // else the load balancer tries another
  request(node, "users", "GET", std::string(n::kPathJobs) + "/" + protocol::job_id_text(id), "",
          [this, id, asked_at = now_](int status, const std::string& body) {
            const auto value = protocol::parse_json(body);
            std::string state;
            if (status == 200 && value && value->is_object())
              state = std::string(value->get_object().at(n::kState).as_string());
            judge.told(now_, asked_at, id, status, state, true);
            if (status != 200 && status != 404) return;
            judge.answered(now_, id);
            if (now_ - asked_at <= kPollPatienceS) ++judge.polls_answered;
            if (state.empty()) return;
            last_state[id] = state;
            if (state == n::kStateDone) finished_at.emplace(id, now_);
          });
}

}  // namespace robinford::testing_world
