// The leader's ledger of all quota leases: their parts, the grants made from them, and the capacity that
// lessees may still cause to be used (the *exposure*).
//
// A granted task that is placed is *covered*: the leader already counts it in the team's usage, so the
// exposure leaves it out. For each team: exposure = sum over leases of (size - covered).
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "protocol/messages.hpp"
#include "quota/amount.hpp"
#include "quota/messages.hpp"

namespace robinford::quota {

struct GrantEntry {
  std::string member, team;
  std::uint32_t tasks = 0;
  Amount each;                // of one task
  std::uint32_t placed = 0;   // placed tasks of the job, whether granted or not
  double changed_at = 0;      // time of registration or of the last change of `placed`
  bool job_was_live = false;  // the job has appeared as live in the job ledger
  std::uint32_t covered() const { return std::min(tasks, placed); }
};

struct PartEntry {
  std::uint64_t revision = 0;
  Amount size, promised, covered;
  Amount demand;
  std::uint32_t slice = 0;  // number of the durable record that holds this part
  bool durable = false;     // the state service has recorded the current revision, so it may be sent
  double grown_at = 0;
  Amount keep;  // size to which the lessee should shrink it; equals `size` when nothing is recalled
  Amount idle() const { return size - promised; }
};

struct LeaseEntry {
  std::uint64_t epoch = 0, incarnation = 0;
  // Steady time by which the lease has expired at the lessee too, if both clocks keep to the allowed drift.
  double ends_at = 0;
  bool synchronized = false;  // the lessee uses this lessor incarnation and epoch
  // Highest probe of the lessee so far; a message whose probe is not higher (and not 0) is a duplicate or out
  // of order.
  std::uint64_t last_probe = 0;
  std::uint64_t grants_taken = 0, refunds_made = 0;
  std::deque<Refund> refunds;  // issued refunds that the lessee has not acknowledged
  std::map<std::string, PartEntry> parts;
  double next_growth = 0;
};

class LeaseLedger {
 public:
  void clear();

  std::map<std::string, LeaseEntry>& leases() { return leases_; }
  const std::map<std::string, LeaseEntry>& leases() const { return leases_; }
  LeaseEntry* find(const std::string& member);
  const std::map<protocol::JobId, GrantEntry>& grants() const { return grants_; }
  const GrantEntry* find_grant(protocol::JobId job) const;

  LeaseEntry& open(const std::string& member, std::uint64_t epoch, std::uint64_t incarnation, double ends_at);
  // Removes the lease with its parts and grants.
  void close(const std::string& member);
  // Sets the size and revision of a part: a growth, or the values read from its record.
  void set_part(const std::string& member, const std::string& team, std::uint64_t revision,
                const Amount& size);
  // Applies a smaller size reported by the lessee. Never grows the part.
  void shrink_part(const std::string& member, const std::string& team, const Amount& size);

  // Registers a grant. Returns false and changes nothing if the part does not cover it, the job already has a
  // grant, or the grant is empty.
  bool add_grant(const std::string& member, const NewGrant& new_grant, std::uint32_t placed, double now);
  // Takes `tasks` tasks back from the job's grant and queues the refund for the lessee.
  void refund(protocol::JobId job, std::uint32_t tasks);
  // Queues a refund of all tasks of a grant that was not registered.
  void queue_refusal(const std::string& member, const NewGrant& new_grant);
  void drop_acknowledged_refunds(LeaseEntry& lease, std::uint64_t refunds_taken);
  void change_placed_tasks(protocol::JobId job, std::int64_t by, double now);
  void mark_job_live(protocol::JobId job);

  // Capacity of the team that leases permit beyond the placed tasks of their grants.
  Amount exposure(const std::string& team) const;
  Amount leased(const std::string& team) const;
  // Describes the first running sum that does not match its entries; empty when all match. For tests.
  std::string audit() const;

 private:
  void change_exposure(const std::string& team, const Amount& by);
  void set_covered(GrantEntry& grant, std::uint32_t before);
  PartEntry* part_of(const GrantEntry& grant);

  std::map<std::string, LeaseEntry> leases_;
  std::map<protocol::JobId, GrantEntry> grants_;
  std::map<std::string, Amount> exposure_;
};

}  // namespace robinford::quota
