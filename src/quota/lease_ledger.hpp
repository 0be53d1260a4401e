// What the leader knows of all quota leases: their parts, the grants made from them, and how much capacity
// they still permit (their *exposure*).
//
// A granted task that is placed is *covered*: it stands in the leader's account of running tasks, so it is
// not counted in the exposure a second time. For each team: exposure = sum over leases of (size - covered).
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
  Amount each;
  std::uint32_t running = 0;  // tasks of the job that are placed, granted or not
  double changed_at = 0;      // when it was registered, or `running` changed last
  bool job_was_live = false;  // the job has been seen in the ledger of jobs
  std::uint32_t covered() const { return std::min(tasks, running); }
};

struct PartEntry {
  std::uint64_t revision = 0;
  Amount size, promised, covered;
  Amount demand;
  std::uint32_t slice = 0;  // of the durable record in which it stands
  bool durable = false;     // the present revision is on record, so that the lessee may be told
  double grown_at = 0;
  Amount keep;  // what it should shrink to; `size` when nothing is recalled
  Amount idle() const { return size - promised; }
};

struct LeaseEntry {
  std::uint64_t epoch = 0, incarnation = 0;
  double ends_at = 0;  // steady; no earlier by the lessee's clock, whatever it drifts
  bool synchronized = false;
  std::uint64_t last_probe = 0;  // of its holder: earlier ones are late copies
  std::uint64_t grants_taken = 0, refunds_made = 0;
  std::deque<Refund> refunds;  // issued refunds that the lessee has not confirmed
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
  const GrantEntry* grant(protocol::JobId job) const;

  LeaseEntry& open(const std::string& member, std::uint64_t epoch, std::uint64_t incarnation, double ends_at);
  // Its parts permit nothing any more, and its grants are void.
  void close(const std::string& member);
  // A part gets a new size under a new revision, or is put in as read from its record.
  void set_part(const std::string& member, const std::string& team, std::uint64_t revision,
                const Amount& size);
  // The lessee gave capacity up; the size never grows this way.
  void shrink_part(const std::string& member, const std::string& team, const Amount& size);

  // False, and nothing changes: the part does not cover it, or the job is granted already.
  bool add_grant(const std::string& member, const NewGrant& new_grant, std::uint32_t running, double now);
  // So many tasks are not promised any more; queued for the lessee.
  void refund(protocol::JobId job, std::uint32_t tasks);
  // A grant that was not taken in is refunded as it came.
  void queue_refusal(const std::string& member, const NewGrant& new_grant);
  void drop_acknowledged_refunds(LeaseEntry& lease, std::uint64_t refunds_taken);
  void change_running_tasks(protocol::JobId job, std::int64_t by, double now);
  void mark_job_live(protocol::JobId job);

  // What the leases still permit of the team's limit beyond what is placed.
  Amount exposure(const std::string& team) const;
  Amount leased(const std::string& team) const;
  // What is wrong with the running sums; empty when nothing is. For tests.
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
