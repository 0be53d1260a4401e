/// @file
/// Admission of submitted jobs.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/controller_context.hpp"
#include "coordination/election/election.hpp"
#include "coordination/election/peer_versions.hpp"
#include "coordination/routing/change_log_entries.hpp"
#include "coordination/routing/job_lookup.hpp"
#include "coordination/routing/user_answer.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {

/// Checks submissions and makes them durable, on the leader or on any other controller. A job is accepted by
/// one transaction that requires that neither its live nor its final record exists. A repeated submission
/// therefore changes nothing and is answered with the job's state. A job is refused with 4xx only if it is
/// invalid or can never run; if that can't be decided now, the answer is 503.
class JobAdmission {
 public:
  /// Called after this process has admitted a job without recording it as cancelled, and did not add it to
  /// its own ledger, so that the leader can be notified before it next reads the change log.
  using JobChanged = std::function<void(protocol::JobId)>;

  JobAdmission(ControllerContext& context, const Election& election, Scheduler& scheduler,
               const PeerVersions& versions, ChangeLogEntries& change_log_entries, JobChanged job_changed);

  /// Admits or refuses the job. `id` is the job id in the submission. The caller has checked that no final
  /// state of the job is in memory and, on a leader that knows all jobs, that the job is not in its ledger.
  void admit(protocol::JobId id, const protocol::JobParse& submission, const UserRequest& request);

 private:
  /// Why a submission is not accepted. Status 503 means that this can't be decided now.
  struct Refusal {
    int status = 503;
    std::string reason;
  };
  /// Result of checking a job's dependencies.
  struct DependencyVerdict {
    static DependencyVerdict refuse(int status, const std::string& reason) {
      return {Refusal{status, reason}, false, {}};
    }

    std::optional<Refusal> refusal;
    bool any_cancelled = false;
    std::vector<protocol::JobId> unfinished;  ///< dependencies that were accepted and have no final state
  };
  /// An admission whose write is in progress.
  struct Admission {
    protocol::JobSpec spec;
    std::int64_t submitted_ms = 0;  ///< wall clock
    bool as_leader = false;         ///< written by a leader, without a change-log entry
    std::uint64_t term = 0;         ///< of the leader that writes it
  };
  /// The one write of a job's admission that is queued or in flight, and the replies that wait for it.
  struct PendingAdmission {
    std::vector<UserReply> replies;
    bookkeeping::WriteId write = 0;
  };
  using ResourcesChecked = std::function<void(const std::optional<Refusal>&)>;
  using DependenciesChecked = std::function<void(const DependencyVerdict&)>;

  bool leading() const { return scheduler_.knows_all_jobs(); }
  void check_resources(const protocol::JobSpec& spec, const ResourcesChecked& done);
  std::optional<Refusal> resource_refusal(const protocol::JobSpec& spec) const;
  bool fits_any_machine_type(const protocol::JobSpec& spec) const;
  void check_dependencies(const protocol::JobSpec& spec, const DependenciesChecked& done);
  void read_dependencies(const protocol::JobSpec& spec, const DependenciesChecked& done);
  static void add_to_verdict(DependencyVerdict& verdict, protocol::JobId id, const JobLookup::Result& known);
  void apply_verdict(const protocol::JobSpec& spec, const DependencyVerdict& verdict,
                     const UserRequest& request);
  void refuse_unless_admitted(protocol::JobId id, const Refusal& refusal, const UserReply& reply);
  void write_cancelled_job(protocol::JobId id, const UserRequest& request);
  void write(const protocol::JobSpec& spec, const UserRequest& request);
  void on_written(const Admission& admission, bookkeeping::WriteOutcome outcome, std::uint64_t mod_revision);
  void apply_admission(const Admission& admission, std::uint64_t mod_revision);
  void answer_by_lookup(protocol::JobId id, const UserAnswer& if_never,
                        const std::vector<UserReply>& replies);

  ControllerContext& context_;
  const Election& election_;
  Scheduler& scheduler_;
  const PeerVersions& versions_;
  JobLookup& lookup_;
  ChangeLogEntries& change_log_entries_;
  JobChanged job_changed_;
  std::map<protocol::JobId, PendingAdmission> pending_admissions_;
};

}  // namespace robinford::coordination
