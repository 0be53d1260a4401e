// The stand-ins of the users.
#include <utility>

#include "protocol/names.hpp"
#include "simulated_cluster.hpp"
#include "simulated_cluster_common.hpp"

namespace robinford::simulation {
namespace n = names;
using protocol::JobId;
using protocol::JobSpec;

void SimulatedCluster::submit(const JobSpec& spec) {
  described_[spec.id] = spec;
  run_s_[spec.id] = spec.estimate_s;
  if (!checker.may_be_submitted(spec)) {
    checker.submitted(now_, spec);
    return after(0.05, [this, spec] { submit(spec); });
  }
  checker.submitted(now_, spec);
  try_submit(spec, now_);
}

void SimulatedCluster::try_submit(const JobSpec& spec, double since) {
  if (now_ - since > 60) return;
  const int node = static_cast<int>(random_() % nodes_.size());
  if (duplicates("user") && now_ == since)
    after(duplicates_.by, [this, spec, since] { try_submit(spec, since + duplicates_.by); });
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
            checker.announced(now_, asked_at, spec.id, status, state, true);
            if (status == 503 && body.find("too many requests") != std::string::npos)
              ++checker.submissions_shed;
            if (status == 200 || status == 201) {
              checker.answered(now_, spec.id);
              checker.accepted_at.emplace(spec.id, now_);
            }
            if (std::exchange(*answered, true)) return;
            if (status == 201 || status == 200) return poll(spec.id);
            if (status != 400 && status != 422) again();
          });
}

void SimulatedCluster::cancel(JobId id) {
  // Users cancel what they know to be accepted.
  if (!checker.accepted(id)) return after(0.05, [this, id] { cancel(id); });
  checker.cancel_requested(id);
  try_cancel(id);
  if (duplicates("user")) after(duplicates_.by, [this, id] { try_cancel(id); });
}

void SimulatedCluster::try_cancel(JobId id) {
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
            checker.announced(now_, asked_at, id, status, state, true);
            if (std::exchange(*answered, true)) return;
            if (status != 200) return again();
            last_state[id] = state;
          });
}

void SimulatedCluster::polls_storm(double for_s) {
  if (for_s <= 0) return;
  for (const auto id : checker.all_accepted()) after(0.1 * draw(), [this, id] { ask(id); });
  after(0.1, [this, for_s] { polls_storm(for_s - 0.1); });
}

void SimulatedCluster::poll(JobId id) {
  ask(id);
  const auto known = last_state.find(id);
  const bool over =
      known != last_state.end() && (known->second == n::kStateDone || known->second == n::kStateCancelled);
  after(over ? 20 : 2, [this, id] { poll(id); });
}

void SimulatedCluster::ask(JobId id) {
  const int node = static_cast<int>(random_() % nodes_.size());
  if (nodes_[node].controller) ++checker.polls_sent;  // else the load balancer tries another
  request(node, "users", "GET", std::string(n::kPathJobs) + "/" + protocol::job_id_text(id), "",
          [this, id, asked_at = now_](int status, const std::string& body) {
            const auto value = protocol::parse_json(body);
            std::string state;
            if (status == 200 && value && value->is_object())
              state = std::string(value->get_object().at(n::kState).as_string());
            checker.announced(now_, asked_at, id, status, state, true);
            if (status != 200 && status != 404) return;
            checker.answered(now_, id);
            if (now_ - asked_at <= kPollPatienceS) ++checker.polls_answered;
            if (state.empty()) return;
            last_state[id] = state;
            last_body[id] = body;
            if (state == n::kStateDone) finished_at.emplace(id, now_);
          });
}

std::string SimulatedCluster::metrics_page(int node) {
  std::string page;
  request(node, "users", "GET", n::kPathMetrics, "", [&page](int, const std::string& body) { page = body; });
  run_until(now_ + kPollPatienceS);
  return page;
}

}  // namespace robinford::simulation
