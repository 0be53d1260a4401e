// The stand-in of the state service.
#include <algorithm>
#include <utility>

#include "protocol/names.hpp"
#include "simulated_cluster.hpp"
#include "simulated_cluster_common.hpp"

namespace robinford::simulation {
namespace n = names;

void SimulatedCluster::state_request(int i, std::uint64_t life, const protocol::Call& call) {
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
    const bool registers = call.target == n::kPathTxn && call.body.find("\"v/") != std::string::npos;
    const bool refused = now_ < state_down_until_ || (registers && now_ < unregistered_until_[i]) ||
                         (refused_until_.contains(i) && now_ < refused_until_[i]);
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
    if (!refused && call.target == n::kPathTxn && duplicates("txn"))
      after(duplicates_.by, [this, call] {
        state_call(call.method, call.target, call.body);
        state_changed();
      });
    expire_leases();
    const bool carried_out_txn = !refused && call.target == n::kPathTxn;
    if (carried_out_txn && now_ < repeat_until_ && draw() < repeat_share_)
      state_call(call.method, call.target, call.body);
    const bool answer_lost = carried_out_txn && now_ < lost_until_ && draw() < lost_share_;
    const auto [status, body] =
        refused ? std::pair(503, std::string("{}")) : state_call(call.method, call.target, call.body);
    if (answer_lost) {
      carry("state", nodes_[i].name, [this, i, life, id = call.id, answered] {
        if (!std::exchange(*answered, true)) state_answer(i, life, id, 0, "");
      });
      return state_changed();
    }
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

void SimulatedCluster::state_answer(int i, std::uint64_t life, std::uint64_t id, int status,
                                    const std::string& body) {
  enter(i, life, [this, i, id, status, body] {
    nodes_[i].controller->on_result(clock_reading(), id, {status, body});
  });
}

void SimulatedCluster::expire_leases() {
  if (now_ < state_down_until_) return store_.extend_leases(state_down_until_);
  store_.expire_leases(now_);
}

void SimulatedCluster::state_changed() {
  expire_leases();
  std::vector<Watch> kept, due;
  for (auto& watch : watches_) {
    std::string body;
    const bool unanswered = now_ < std::max(state_down_until_, watches_lost_until_) ||
                            (refused_until_.contains(watch.node) && now_ < refused_until_[watch.node]);
    if (!unanswered && store_.watch_answer(watch.call.target, now_ + 1e-9 >= watch.until, body)) {
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

std::pair<int, std::string> SimulatedCluster::state_call(const std::string& method, const std::string& target,
                                                         const std::string& body) {
  auto answer = store_.call(now_, method, target, body);
  // Leases end by time alone, and whoever watches their keys hears of it then.
  if (target.starts_with(n::kPathLeases))
    after(std::max(0.0, store_.touched_lease_ends() - now_) + kLeaseEndSlack, [this] { state_changed(); });
  return answer;
}

std::size_t SimulatedCluster::writes_waiting() const {
  std::size_t sum = 0;
  for (const auto& node : nodes_)
    if (node.controller) sum += node.controller->context().writer.waiting();
  return sum;
}

void SimulatedCluster::state_limits(double value_kb, int txn_ops, double write_rps) {
  store_.set_limits(now_, value_kb, txn_ops, write_rps);
}

}  // namespace robinford::simulation
