// Users' requests: submissions, polls, cancellations. Any controller can carry them out on the state service.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/controller_context.hpp"
#include "coordination/election/peer_versions.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {

struct UserAnswer {
  int status = 503;
  int retry_after_s = 0;
  std::string body;
  std::optional<protocol::JobId> cancelled;  // the answer says that this job is cancelled
};

class JobRequests {
 public:
  using Reply = std::function<void(UserAnswer)>;
  using JobChanged = std::function<void(protocol::JobId)>;
  JobRequests(ControllerContext& context, Election& election, Scheduler& scheduler,
              const PeerVersions& versions, JobChanged job_changed);

  void submit(const std::string& body, Reply reply);
  void poll(protocol::JobId id, Reply reply);
  void abort(protocol::JobId id, Reply reply);
  void job_over(protocol::JobId id, bookkeeping::FinalState state);
  void end();  // not the leader any more: open requests are settled elsewhere
  static UserAnswer busy(const char* reason);

 private:
  // Whether a job's dependencies let it be admitted.
  struct DependencyVerdict {
    int status = 0;  // 0: they do
    std::string reason;
    bool cancelled = false;                   // one of them is cancelled
    std::vector<protocol::JobId> unfinished;  // those that are not done
  };
  void check_dependencies(const protocol::JobSpec& spec,
                          const std::function<void(const DependencyVerdict&)>& done);
  static void add_dependency(DependencyVerdict& verdict, protocol::JobId id, const JobLookup::Known& known);
  void admit_cancelled(protocol::JobId id, const Reply& reply);
  void validate(const protocol::JobSpec& spec,
                const std::function<void(int status, std::string reason)>& done);
  void admit(const protocol::JobSpec& spec, Reply reply);
  void answer_known(protocol::JobId id, const JobLookup::Known& known, const UserAnswer& never,
                    const Reply& reply);
  void abort_directly(protocol::JobId id, int tries, const Reply& reply);
  bool leading() const { return scheduler_.knows_all_jobs(); }
  void answer_live(protocol::JobId id, Reply reply);
  void answer_from_memory(protocol::JobId id, const Reply& reply);
  void answer_from_records(protocol::JobId id, Reply reply);
  UserAnswer state_answer(int status, const bookkeeping::Job& job) const;
  UserAnswer final_answer(protocol::JobId id, bookkeeping::FinalState state) const;

  ControllerContext& context_;
  Election& election_;
  Scheduler& scheduler_;
  const PeerVersions& versions_;
  JobLookup& lookup_;
  JobChanged job_changed_;
  std::uint64_t log_entries_ = 0;  // written to the change log by this process
  std::map<protocol::JobId, std::vector<Reply>> admitting_, aborting_;
};

}  // namespace robinford::coordination
