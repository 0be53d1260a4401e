/// @file
/// Calls in flight to any service.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>

#include "protocol/events.hpp"

namespace robinford::bookkeeping {

/// Receives the answer to a call. Status 0: no answer came in time, and the call may have been carried out.
using ResultCallback = std::function<void(const protocol::CallResult&)>;

/// Numbers calls, puts them into the outbox and passes each answer to its callback.
///
/// Each callback is called at most once, by on_result() and never by send(). It may send further calls.
class CallTable {
 public:
  explicit CallTable(protocol::Outbox& out) : out_(out) {}

  /// Adds the call to the outbox with a new unique `id`.
  void send(protocol::Call call, ResultCallback answered) {
    call.id = next_id_++;
    waiting_.emplace(call.id, std::move(answered));
    out_.calls.push_back(std::move(call));
  }

  /// Handles the answer to a call or its timeout. A result for an unknown or already answered call is
  /// dropped.
  void on_result(std::uint64_t id, const protocol::CallResult& result) {
    const auto found = waiting_.find(id);
    if (found == waiting_.end()) return;
    const ResultCallback answered = std::move(found->second);
    waiting_.erase(found);
    answered(result);
  }

 private:
  protocol::Outbox& out_;
  std::unordered_map<std::uint64_t, ResultCallback> waiting_;
  std::uint64_t next_id_ = 1;
};

}  // namespace robinford::bookkeeping
