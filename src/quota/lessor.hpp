// The lessor: hands parts of the teams' limits out to lessees, as long as this controller leads.
//
// Invariant, for each team and resource: what is or may be running, plus what outstanding leases still
// permit, is at most the limit. A part is enlarged in memory first, then on record, and only then told to its
// lessee; it is made smaller only by the lessee's word under the same revision, or once the lease is surely
// over. What is unknown counts as taken.
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
  kLoading,  // the records of leases are being read: nothing may be placed
  kServing,
};
const char* to_text(LessorState state);

// What the leader's ledger of jobs says of one.
struct JobView {
  enum class State : std::uint8_t { kUnknown, kLive, kOver } state = State::kUnknown;
  std::uint32_t remaining = 0;  // tasks that are not done
  std::uint32_t placed = 0;     // tasks that are, or may be, on machines, and reservations
};

// A record as it was read.
struct StoredLease {
  std::string key;
  std::uint64_t mod_revision = 0;
  boost::json::value value;
};

// A write that the caller carries out, conditional on leadership and on the mod revision.
struct LeaseWrite {
  std::string key;
  std::uint64_t expected_mod_revision = 0;   // mod revision that the key must have; 0: it must not exist
  std::optional<boost::json::object> value;  // nothing: delete it
};

class Lessor : public bookkeeping::LaunchGuard {
 public:
  struct LeaderAccounts {
    std::function<JobView(protocol::JobId)> job;
    std::function<Amount(const std::string& team)> used;  // of the team's limit, by the leader's own account
  };
  struct Counters {
    std::uint64_t grants_taken = 0;    // grants of lessees that were taken in
    std::uint64_t grants_refused = 0;  // grants that no valid part covers
    std::uint64_t refunds = 0;         // refunds that were issued
    std::uint64_t revoked_tasks = 0;   // granted tasks revoked for others, since they did not start
    std::uint64_t recalls = 0;         // parts that a lessee was asked to give back from
    std::uint64_t leases_opened = 0, leases_expired = 0, leases_superseded = 0;
    std::uint64_t growths = 0, writes = 0, write_conflicts = 0;
    std::uint64_t bad_records = 0, bad_messages = 0;
    std::uint64_t launches_refused = 0;  // placements refused because capacity is leased
  };

  Lessor(const protocol::Settings& settings, const LeaseOptions& options, LeaderAccounts ledgers);

  // ---- leadership ----
  void begin(std::uint64_t term, double now);
  void loaded(const std::vector<StoredLease>& records, double now);
  void end();

  // ---- lessees ----
  // What a lessee said, and the answer to it.
  std::optional<LessorMessage> handle_lessee_message(const std::string& member, std::uint64_t incarnation,
                                                     const LesseeMessage& message, double now);
  void count_bad_message() { ++counters_.bad_messages; }

  // ---- time ----
  void tick(double now);
  // Messages that should go out without having been asked for.
  std::vector<std::pair<std::string, LessorMessage>> take_messages();
  // Writes that are due, within the budget. Each is answered by one of the two below.
  std::vector<LeaseWrite> take_writes(double now);
  void written(const std::string& key, std::uint64_t mod_revision);
  void not_written(const std::string& key, bool conflict);
  // A record was found changed: all have to be read again.
  bool needs_loading() const { return state_ == LessorState::kLoading && reload_needed_; }
  void loading_started() { reload_needed_ = false; }
  void loading_failed() { reload_needed_ = state_ == LessorState::kLoading; }

  // ---- launches ----
  bool permits(const protocol::JobSpec& spec, std::uint32_t tasks, double used_cpus, double used_gpus,
               double kept_cpus) override;
  bool granted(protocol::JobId job) const override { return ledger_.grant(job) != nullptr; }
  void charged(const protocol::JobSpec& spec, std::uint32_t tasks) override;
  void refunded(const protocol::JobSpec& spec, std::uint32_t tasks) override;

  LessorState state() const { return state_; }
  const LeaseLedger& ledger() const { return ledger_; }
  const Counters& counters() const { return counters_; }
  // Capacity that leases permit and nothing uses, summed over the teams.
  Amount exposure() const;
  // Of it, what is idle while jobs of the same team wait for it.
  Amount idle_while_claimed() const;
  std::string audit() const;

 private:
  struct TeamLimit {
    Amount guarantee, limit;
    bool unlimited = false;
  };
  struct Record {
    std::uint64_t mod_revision = 0;
    bool in_flight = false, unreadable = false;
    double write_at = 1e300;                       // 1e300: nothing to write
    std::map<std::string, std::uint64_t> writing;  // revisions that stand in the write in flight
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

  std::uint32_t slice_for(const std::string& member, const std::string& team) const;
  void write_record(const std::string& member, std::uint32_t slice, double at);
  void write_all_records(const std::string& member, double at);
  std::optional<boost::json::object> record_value(const std::string& key, Record& record) const;

  const protocol::Settings& settings_;
  const LeaseOptions options_;
  LeaderAccounts leader_accounts_;
  LessorState state_ = LessorState::kIdle;
  std::uint64_t term_ = 0, epochs_ = 0, lessor_incarnation_ = 0;
  double began_ = 0, now_ = 0, next_reconcile_ = 0;
  double unreadable_until_ = -1e9;  // until then a record that can't be read may stand for a lease
  bool reload_needed_ = false;
  LeaseLedger ledger_;
  Claims claims_;
  std::map<std::string, Record> records_;  // by key
  std::set<std::string> members_to_notify_;
  std::set<std::string> recalled_teams_;  // teams of which lessees were asked to give back
  std::set<std::string>
      teams_over_limit_;  // teams of which more was leased by an earlier leader than the limit now is
  bookkeeping::TokenBucket write_budget_;
  Counters counters_;
};

}  // namespace robinford::quota
