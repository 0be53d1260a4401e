// Troubles that scenarios ask for.
#include <algorithm>

#include "protocol/names.hpp"
#include "simulated_cluster.hpp"
#include "simulated_cluster_common.hpp"

namespace robinford::simulation {
namespace n = names;
using protocol::JobId;
using protocol::JobSpec;

void SimulatedCluster::hang(const std::string& machine, double for_s) {
  workers_.at(machine).hung_until = now_ + for_s;
}
void SimulatedCluster::faulty(const std::string& machine, double for_s) {
  workers_.at(machine).faulty_until = now_ + for_s;
}
void SimulatedCluster::lose_inbound(const std::string& machine, double for_s) {
  workers_.at(machine).inbound_lost_until = now_ + for_s;
}

void SimulatedCluster::late_heartbeat(const std::string& machine, double by_s) {
  workers_.at(machine).late_by = by_s;
}
void SimulatedCluster::copy_heartbeat(const std::string& machine, double by_s) {
  workers_.at(machine).copy_by = by_s;
}
void SimulatedCluster::late_command(const std::string& machine, double by_s) {
  workers_.at(machine).late_command_by = by_s;
}

void SimulatedCluster::repeat_command(const std::string& machine, double by_s) {
  workers_.at(machine).repeat_command_by = by_s;
}

void SimulatedCluster::lose_outbound(const std::string& machine, double for_s) {
  workers_.at(machine).outbound_lost_until = now_ + for_s;
}

void SimulatedCluster::cancel_running(int count, double hang_s) {
  auto ids = checker.running();
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

void SimulatedCluster::job_ended(JobId id) {
  if (now_ < end_until_ && checker.done(id) && !checker.cancel_was_requested(id) && draw() < end_share_)
    cancel(id);
}

void SimulatedCluster::odd_requests(double for_s) {
  for (int i = 0; i < 3; ++i) odd_request(now_ + for_s, i);
}

void SimulatedCluster::odd_request(double until, int n) {
  if (now_ > until) return;
  after(0.5 + draw(), [this, until, n] { odd_request(until, n + 1); });
  const auto known = checker.running();
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
              checker.answered_bad(now_, id, status, expected);
            });
  };
  switch (n % 8) {
    case 0:  // repeated, whatever has become of it
      if (!known.empty()) try_submit(described_.at(known[random_() % known.size()]), now_);
      break;
    case 1:  // done, and cancelled nevertheless
      for (const auto& [id, state] : last_state)
        if (state == n::kStateDone) {
          checker.cancel_requested(id);
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
      request(node, "users", "GET", std::string(n::kPathJobs) + "/" + protocol::job_id_text(bad.id), "",
              [this, id = bad.id](int status, const std::string&) {
                checker.answered_bad(now_, id, status, 404);
              });
      break;
    case 6:  // needs a job that nobody has submitted, or itself
      bad.dependencies = {bad.id - 1};
      if (!checker.all_accepted().empty()) bad.dependencies.push_back(*checker.all_accepted().begin());
      std::sort(bad.dependencies.begin(), bad.dependencies.end());
      send(json::serialize(protocol::job_json(bad)), 422);
      break;
    case 7:
      bad.dependencies = {bad.id};
      send(json::serialize(protocol::job_json(bad)), 422);
      break;
  }
}

void SimulatedCluster::deliver_held(const std::string& name, const std::string& body, int was_leader,
                                    double until) {
  const int now_leads = leader();
  if (now_ < until && (now_leads < 0 || now_leads == was_leader))
    return after(kTick,
                 [this, name, body, was_leader, until] { deliver_held(name, body, was_leader, until); });
  if (now_leads < 0) return;
  // After the new one has acted on the machine's own heartbeats.
  after(2, [this, name, body, now_leads] {
    request(now_leads, "workers-" + workers_.at(name).zone, "POST", n::kPathHeartbeat, body,
            [](int, const std::string&) {});
  });
}

void SimulatedCluster::reset_agent(const std::string& machine) {
  auto& worker = workers_.at(machine);
  clear_worker(worker);
  worker.agent_epoch = 1;
  worker.seq = worker.fencing_token = 0;
  worker.lease_from = now_;
  worker.in_flight = false;
  worker.next_heartbeat = now_;
}

void SimulatedCluster::isolate(int node, double for_s, bool reset) {
  for (int other = 0; reset && other < options_.controllers; ++other) {
    if (other == node) continue;
    link(node, other, false), link(other, node, false);
    after(for_s + 0.01, [this, node, other] {
      if (nodes_[node].controller && nodes_[other].controller)
        link(node, other, true), link(other, node, true);
    });
  }
  cut(nodes_[node].name, "state", for_s, false);
  for (const auto& other : nodes_)
    if (other.name != nodes_[node].name) cut(nodes_[node].name, other.name, for_s, false);
}

void SimulatedCluster::die(const std::string& machine) {
  auto& worker = workers_.at(machine);
  clear_worker(worker);
  worker.dead = true;
}

void SimulatedCluster::interruption_notice(const std::string& machine, double after_s) {
  workers_.at(machine).taken_at = now_ + after_s;
  workers_.at(machine).changed = true;
  after(after_s, [this, machine] {
    auto& worker = workers_.at(machine);
    clear_worker(worker);
    worker.gone = true;
  });
}

}  // namespace robinford::simulation
