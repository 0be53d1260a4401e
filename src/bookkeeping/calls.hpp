// Calls that wait for an answer, whichever service they went to.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <utility>

#include "protocol/events.hpp"

namespace robinford::bookkeeping {

using Answered = std::function<void(const protocol::CallResult&)>;

class CallTable {
 public:
  explicit CallTable(protocol::Outbox& out) : out_(out) {}

  void send(protocol::Call call, Answered answered) {
    call.id = next_++;
    waiting_.emplace(call.id, std::move(answered));
    out_.calls.push_back(std::move(call));
  }

  void on_result(std::uint64_t id, const protocol::CallResult& result) {
    const auto found = waiting_.find(id);
    if (found == waiting_.end()) return;
    const Answered answered = std::move(found->second);
    waiting_.erase(found);
    answered(result);
  }

  std::size_t waiting() const { return waiting_.size(); }

 private:
  protocol::Outbox& out_;
  std::unordered_map<std::uint64_t, Answered> waiting_;
  std::uint64_t next_ = 1;
};

}  // namespace robinford::bookkeeping
