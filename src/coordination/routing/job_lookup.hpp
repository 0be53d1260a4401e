// What the durable records say of a job, read afresh. Any controller can ask, leader or not.
#pragma once

#include <functional>

#include "coordination/controller_context.hpp"

namespace robinford::coordination {

class JobLookup {
 public:
  struct Known {
    enum class What { kLive, kFinal, kNever, kUnknown } what = What::kUnknown;
    bookkeeping::FinalState state = bookkeeping::FinalState::kDone;  // kFinal
    bookkeeping::StateRead live;                                     // kLive
  };
  using Done = std::function<void(const Known&)>;

  // `cancelled` hears of each job that a lookup finds to be cancelled.
  JobLookup(ControllerContext& context, std::function<void(protocol::JobId)> cancelled);

  // The job's own records.
  void own_records(protocol::JobId id, Done done);
  // Its state: a job is also cancelled while any job is that it needs, directly or through others. Derived
  // from the records, so that no write has to follow a cancellation before this is the answer everywhere.
  void state(protocol::JobId id, Done done);

 private:
  struct Walk;
  void walk(const std::shared_ptr<Walk>& walk);

  ControllerContext& context_;
  std::function<void(protocol::JobId)> cancelled_;
};

}  // namespace robinford::coordination
