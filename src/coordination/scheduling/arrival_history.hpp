/// @file
/// Recent job arrivals: the load from new gangs and arrays, and which kinds of machines suit recent gangs.
#pragma once

#include <deque>
#include <map>

#include "coordination/controller_context.hpp"
#include "coordination/scheduling/machine_kind.hpp"
#include "coordination/scheduling/run_times.hpp"

namespace robinford::coordination {

/// Keeps copies of the specifications of recently eligible jobs, at most `kRecentGangsMax` gangs and
/// `kRecentArraysMax` arrays. The fleet uses them to decide how much capacity to keep ready; they do not
/// affect safety. The history is kept across terms of leadership, since the arrival rate does not depend on
/// the leader.
class ArrivalHistory {
 public:
  /// The references must outlive the object. `run_times` predicts the work of recorded arrays.
  ArrivalHistory(const ControllerContext& context, const RunTimes& run_times)
      : context_(context), run_times_(run_times) {}

  /// Records a job that became eligible. `time_left_s`: seconds until the job should be over.
  void record(const bookkeeping::Job& job, double time_left_s);

  /// Whether a task of some recent gang may run on the machine and fits it when it is empty.
  bool suits_gangs(const bookkeeping::Machine& machine) const { return gang_use(machine).fits; }
  /// Whether, for some recent gang that may run on the machine, at least one and at most
  /// `kMachineFillingGangTasksMax` of its tasks fit the machine when it is empty. Machines are kept ready
  /// only for such gangs, since gangs with smaller tasks fit beside other work.
  bool kept_for_gangs(const bookkeeping::Machine& machine) const { return gang_use(machine).fills; }
  /// The last recorded gang of which at most `kMachineFillingGangTasksMax` tasks fit one machine of any type
  /// that it allows; else the last recorded gang; null if none is recorded. Valid until the next call of
  /// `record`.
  const protocol::JobSpec* typical_gang() const;
  /// Machines per second that arriving gangs need if nothing else runs on them, averaged over the last
  /// `kGangArrivalWindowS`.
  double gang_machines_per_second() const;
  /// Cores needed on average by the arrays that arrived in the last `kArrayLoadWindowS`, for each team at
  /// most its limit. An array counts for less, but at least for `kReadyCapacityShareMin`, if more than
  /// `kReadyCapacityBoots` boots of `boot_s` seconds fit into the time allowed for it.
  double array_cores(double boot_s) const;

 private:
  struct GangArrival {
    double at;  // steady time, s
    protocol::JobSpec spec;
  };
  struct ArrayArrival {
    double at;  // steady time, s
    protocol::JobSpec spec;
    double cores;      // cpus of all tasks that were not done when it was recorded
    double allowed_s;  // from its recording to its due time, at least 1
  };
  // Answers of `suits_gangs` and `kept_for_gangs` for machines of one kind.
  struct GangUse {
    bool fits = false;
    bool fills = false;
  };

  GangUse gang_use(const bookkeeping::Machine& machine) const;
  std::uint32_t tasks_per_machine(const protocol::JobSpec& spec) const;

  const ControllerContext& context_;
  const RunTimes& run_times_;
  std::deque<GangArrival> gangs_;
  std::deque<ArrayArrival> arrays_;
  // Results of `gang_use` by kind, kept for at most `kGangUseCacheS`.
  mutable std::map<MachineKind, GangUse> gang_use_cache_;
  mutable double gang_use_cached_until_ = 0;
};

}  // namespace robinford::coordination
