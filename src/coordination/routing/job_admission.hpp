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

/// Checks submissions and makes them durable, at the leader or at any other controller. A job is accepted by
/// one transaction that demands that neither its live nor its final record exists, so that a repeated
/// submission changes nothing: its user gets the job's state instead. Only what can never run is refused for
/// good (4xx); what can't be decided now is answered 503.
class JobAdmission {
 public:
  /// Called when this process has admitted a job that is not in its own ledger, so that the leader hears of
  /// it before it reads the change log.
  using JobChanged = std::function<void(protocol::JobId)>;

  JobAdmission(ControllerContext& context, const Election& election, Scheduler& scheduler,
               const PeerVersions& versions, ChangeLogEntries& change_log_entries, JobChanged job_changed);

  /// Admits the job, or refuses it. `id` is that of the submission; no state of the job is in memory.
  void admit(protocol::JobId id, const protocol::JobParse& submission, const UserReply& reply);

 private:
  /// Why a submission is not accepted; 503: it can't be decided now.
  struct Refusal {
    int status = 503;
    std::string reason;
  };
  /// Whether a job's dependencies let it be admitted.
  struct DependencyVerdict {
    static DependencyVerdict refuse(int status, const std::string& reason) {
      return {Refusal{status, reason}, false, {}};
    }

    std::optional<Refusal> refusal;
    bool any_cancelled = false;
    std::vector<protocol::JobId> unfinished;  ///< those that are not known to be done
  };
  /// An admission that is being written.
  struct Admission {
    protocol::JobSpec spec;
    std::int64_t submitted_ms = 0;  ///< wall clock
    bool as_leader = false;         ///< written from the leader's ledger, without a change-log entry
    std::uint64_t term = 0;         ///< of that leadership
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
  void apply_verdict(const protocol::JobSpec& spec, const DependencyVerdict& verdict, const UserReply& reply);
  void refuse_unless_admitted(protocol::JobId id, const Refusal& refusal, const UserReply& reply);
  void write_cancelled_job(protocol::JobId id, const UserReply& reply);
  void write(const protocol::JobSpec& spec, const UserReply& reply);
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
  std::map<protocol::JobId, std::vector<UserReply>> pending_admissions_;  ///< who waits for each admission
};

}  // namespace robinford::coordination
