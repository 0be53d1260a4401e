// The lessor: while this controller is the leader, it grants other controllers (lessees) leases on parts of
// the teams' limits. A lease has one part for each team: the capacity from which its lessee may admit jobs.
//
// Invariant, for each team and resource: the capacity of tasks that run or may run, plus the capacity that
// outstanding leases still permit, is at most the team's limit. To keep it, a part is enlarged in memory
// first, then in the durable record, and only then in a message to the lessee. A part shrinks only when the
// lessee reports a smaller size for the current revision. It is removed only with its lease: when the lease
// has expired by every clock, or when a message shows that the lessee process was restarted or holds a later
// lease. Capacity whose state is unknown counts as used.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bookkeeping/launch_guard.hpp"
#include "bookkeeping/state_client.hpp"
#include "protocol/settings.hpp"
#include "quota/claims.hpp"
#include "quota/lease_ledger.hpp"
#include "quota/lease_options.hpp"
#include "quota/lease_record.hpp"
#include "quota/messages.hpp"

namespace robinford::quota {

enum class LessorState : std::uint8_t {
  kIdle,     // this controller does not lead
  kLoading,  // lease records are being read; no task may be placed
  kServing,
};
const char* to_text(LessorState state);

// The state of one job in the leader's job ledger.
struct JobView {
  enum class State : std::uint8_t { kUnknown, kLive, kOver } state = State::kUnknown;
  std::uint32_t remaining = 0;  // tasks that have not completed
  std::uint32_t placed = 0;     // tasks that are or may be on machines, plus reservations
};

// A lease record as read from the state service.
struct StoredLease {
  std::string key;
  std::uint64_t mod_revision = 0;
  boost::json::value value;
};

// A compare-and-swap write for the caller to submit, conditional on leadership and on the mod revision.
struct LeaseWrite {
  std::string key;
  std::uint64_t expected_mod_revision = 0;   // mod revision that the key must have; 0: the key must not exist
  std::optional<boost::json::object> value;  // empty: delete the key
};

class Lessor : public bookkeeping::LaunchGuard {
 public:
  // Lookups in the leader's own ledgers.
  struct LeaderAccounts {
    std::function<JobView(protocol::JobId)> job;
    std::function<Amount(const std::string& team)> used;  // usage counted against the team's limit
  };
  struct Counters {
    std::uint64_t grants_taken = 0;  // lessee grants that were registered
    // Lessee grants refused: empty, of a job that is over or already granted, or covered by no part.
    std::uint64_t grants_refused = 0;
    std::uint64_t refunds = 0;  // refunds issued because a job does not need its whole grant or is unknown
    std::uint64_t revoked_tasks = 0;  // granted tasks that were not placed and were revoked for waiting jobs
    std::uint64_t recalls = 0;        // requests to a lessee to return capacity of a part
    std::uint64_t leases_opened = 0, leases_expired = 0, leases_superseded = 0;
    std::uint64_t growths = 0, writes = 0, write_conflicts = 0;
    std::uint64_t bad_records = 0, bad_messages = 0;
    std::uint64_t launches_refused = 0;  // placements refused because the capacity is leased
  };

  Lessor(const protocol::Settings& settings, const LeaseOptions& options, LeaderAccounts ledgers);

  // ---- leadership ----
  void begin(std::uint64_t term, double now);
  void on_records_loaded(const std::vector<StoredLease>& records, double now);
  void end();

  // ---- lessees ----
  // Processes a lessee's message and returns the reply, if one is due. `incarnation` identifies the lessee's
  // process.
  std::optional<LessorMessage> handle_lessee_message(const std::string& member, std::uint64_t incarnation,
                                                     const LesseeMessage& message, double now);
  void count_bad_message() { ++counters_.bad_messages; }

  // ---- time ----
  void tick(double now);
  // Returns and clears the unsolicited messages that are due: new refunds, recalls and parts that became
  // durable.
  std::vector<std::pair<std::string, LessorMessage>> take_messages();
  // Returns the writes that are due, within the write budget. The caller reports the outcome of each with
  // `written` or `not_written`, unless leadership was lost or the records are being read again.
  std::vector<LeaseWrite> take_writes(double now);
  void written(const std::string& key, std::uint64_t mod_revision);
  void not_written(const std::string& key, bool conflict);
  // Whether all lease records have to be read: after the election, after a failed read, or after a write
  // conflict.
  bool needs_loading() const { return state_ == LessorState::kLoading && reload_needed_; }
  void on_loading_started() { reload_needed_ = false; }
  void on_loading_failed() { reload_needed_ = state_ == LessorState::kLoading; }

  // ---- launches ----
  bool permits(const protocol::JobSpec& spec, std::uint32_t tasks, double used_cpus, double used_gpus,
               double kept_cpus) override;
  bool granted(protocol::JobId job) const override { return ledger_.find_grant(job) != nullptr; }
  void charged(const protocol::JobSpec& spec, std::uint32_t tasks) override;
  void refunded(const protocol::JobSpec& spec, std::uint32_t tasks) override;

  LessorState state() const { return state_; }
  const LeaseLedger& ledger() const { return ledger_; }
  const Counters& counters() const { return counters_; }
  // Capacity that leases permit beyond the tasks placed under their grants, summed over the teams in the
  // settings.
  Amount exposure() const;
  // The part of the exposure for which jobs of the same team are waiting.
  Amount idle_while_claimed() const;
  // Describes the first inconsistency of the ledger's sums; empty when there is none. For tests.
  std::string audit() const;

 private:
  struct TeamLimit {
    Amount guarantee, limit;
    bool unlimited = false;
  };
  struct Record {
    std::uint64_t mod_revision = 0;
    bool in_flight = false, unreadable = false;
    double write_at = 1e300;                       // 1e300: no write is due
    std::map<std::string, std::uint64_t> writing;  // by team: revisions contained in the in-flight write
  };
  void set_state(LessorState state);
  std::uint64_t next_epoch();
  double lease_end(double now) const;
  TeamLimit limit_of(const std::string& team) const;
  Amount available(const std::string& team) const;

  void load_record(const StoredLease& stored, std::map<std::string, std::vector<LeaseRecord>>& by_member);
  static bool is_superseded(const LeaseEntry& lease, std::uint64_t incarnation, std::uint64_t epoch);
  LeaseEntry& open_lease(const std::string& member, std::uint64_t incarnation, double now);
  void close_lease(const std::string& member, const char* why, double now);
  void register_grants(const std::string& member, LeaseEntry& lease, const LesseeMessage& message,
                       double now);
  void update_parts(const std::string& member, LeaseEntry& lease, const LesseeMessage& message, double now);
  LessorMessage message_to(const std::string& member, std::uint64_t probe);

  void expire_leases(double now);
  void reconcile_grants(double now);
  void reconcile_grant(protocol::JobId job, double now);
  void recall();
  void cancel_recalls(const std::string& team);
  void recall_from_team(const std::string& team, Amount deficit);
  void revoke_idle_grants(double now);
  void grow(double now);
  void grow_team(const std::string& team, const std::set<std::string>& members, double now);
  void grow_part(const std::string& member, const std::string& team, const Amount& by, double now);

  std::uint32_t record_number_for(const std::string& member, const std::string& team) const;
  void write_record(const std::string& member, std::uint32_t slice, double at);
  void write_all_records(const std::string& member, double at);
  std::optional<boost::json::object> prepare_record_value(const std::string& key, Record& record) const;

  const protocol::Settings& settings_;
  const LeaseOptions options_;
  LeaderAccounts leader_accounts_;
  LessorState state_ = LessorState::kIdle;
  std::uint64_t term_ = 0, epochs_ = 0, lessor_incarnation_ = 0;
  double now_ = 0, next_reconcile_ = 0;
  double unreadable_until_ = -1e9;  // until then a malformed record may stand for a valid lease
  bool reload_needed_ = false;
  LeaseLedger ledger_;
  Claims claims_;
  std::map<std::string, Record> records_;  // by key in the state service
  std::set<std::string> members_to_notify_;
  std::set<std::string> recalled_teams_;    // teams of which capacity is being recalled
  std::set<std::string> teams_over_limit_;  // leases of an earlier leader may exceed the team's limit
  bookkeeping::TokenBucket write_budget_;
  Counters counters_;
};

}  // namespace robinford::quota
