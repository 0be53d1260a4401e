/// @file
/// Implementation of DirectCalls.
#include "coordination/routing/direct_calls.hpp"

#include <optional>
#include <utility>
#include <vector>

#include "constants.hpp"
#include "protocol/names.hpp"
#include "protocol/task_list.hpp"

namespace robinford::coordination {
namespace c = constants;
namespace n = names;
using protocol::PeerKind;
using protocol::PeerMessage;

DirectCalls::DirectCalls(ControllerContext& context, const Election& election, Scheduler& scheduler,
                         PeerTable& peers, PeerFrames& frames)
    : context_(context), election_(election), scheduler_(scheduler), peers_(peers), frames_(frames) {}

void DirectCalls::start(const DirectCall& call) {
  PeerMessage probe;
  probe.kind = PeerKind::kProbe;
  probe.request = call.id;
  probe.target = call.addr;
  probe.base_seq = call.agent_epoch;
  probe.commands = call.commands;
  probe.term = call.fencing_token;
  // Another controller must not take a token above that of the term for a newer leader.
  const bool own_term = call.fencing_token == election_.term();
  const std::string follower =
      own_term ? peers_.next_direct_call_follower(context_.now.steady) : std::string();
  if (follower.empty()) return execute_call(probe);
  delegated_[call.id] = context_.now.steady + c::kDelegatedCallTimeoutS;
  frames_.send(follower, std::move(probe));
}

void DirectCalls::execute_call(const PeerMessage& probe) {
  const std::string& requester = probe.member;  // empty if this leader makes its own call
  // Calls for other controllers must not exhaust the connections that this controller needs for its clients.
  const auto limit = static_cast<std::size_t>(context_.settings.max_connections / c::kDirectSocketDivisor);
  if (!requester.empty() && open_calls_ >= limit) return finish(requester, probe.request, 0, nullptr);
  ++open_calls_;
  protocol::Call call;
  call.service = protocol::Service::kWorker;
  call.addr = probe.target;
  call.method = "POST";
  call.target = n::kPathCommands;
  call.body = protocol::commands_json(probe.term, probe.commands, probe.base_seq);
  call.timeout_s = c::kDirectCallTimeoutS;
  context_.calls.send(std::move(call),
                      [this, requester, id = probe.request](const protocol::CallResult& result) {
                        --open_calls_;
                        if (result.status != 200 && result.status != 409)
                          return finish(requester, id, 0, nullptr);
                        const auto heartbeat = protocol::read_heartbeat(result.body);
                        finish(requester, id, result.status, heartbeat ? &*heartbeat : nullptr);
                      });
}

void DirectCalls::finish(const std::string& requester, std::uint64_t id, int status,
                         const protocol::Heartbeat* heartbeat) {
  if (requester.empty()) return scheduler_.handle_direct_answer(id, status, heartbeat);
  PeerMessage result;
  result.kind = PeerKind::kProbeResult;
  result.request = id;
  if (heartbeat != nullptr) {
    result.status = static_cast<std::uint64_t>(status);
    result.heartbeat = *heartbeat;
  }
  frames_.send(requester, std::move(result));
}

void DirectCalls::on_peer_result(const PeerMessage& result) {
  // A call whose deadline has passed was already reported as unanswered.
  if (delegated_.erase(result.request) == 0) return;
  scheduler_.handle_direct_answer(result.request, static_cast<int>(result.status),
                                  result.status != 0 ? &result.heartbeat : nullptr);
}

void DirectCalls::tick() {
  std::vector<std::uint64_t> overdue;
  for (const auto& [id, deadline] : delegated_)
    if (context_.now.steady >= deadline) overdue.push_back(id);
  for (const auto id : overdue) {
    delegated_.erase(id);
    scheduler_.handle_direct_answer(id, 0, nullptr);
  }
}

}  // namespace robinford::coordination
