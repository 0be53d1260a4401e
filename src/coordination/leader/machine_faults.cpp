/// @file
/// Scheduler: cordons machines that fail tasks or cannot be reached.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <string>

#include "constants.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::Job;
using bookkeeping::Machine;

namespace {
std::string name_of(const Job& job) { return protocol::job_id_text(job.spec.id); }
}  // namespace

// A failed task may be the fault of its machine, its job, or both. A machine that fails tasks of different
// jobs, or keeps failing tasks of a job that has other tasks placed or done, is cordoned. A job that fails on
// different machines is retried with an increasing backoff.
void Scheduler::record_failure(Machine& machine, Job& job) {
  const double now = context_.now.steady;
  ++machine.errors;
  machine.error_jobs.insert(job.spec.id);
  job.failed_on.insert(machine.name);
  ++job.failures;
  job.avoid[machine.name] = now + c::kAvoidMachineS;
  const bool job_suspect = static_cast<int>(job.failed_on.size()) >= c::kJobSuspectMachines;
  const bool works_elsewhere = !job_suspect && (job.done_count > 0 || !job.runs.empty());
  if (job_suspect || job.spec.gang) {
    const double pause = std::min(
        c::kBackoffMaxS, c::kBackoffInitialS * std::pow(2.0, std::max(0.0, job.failed_on.size() - 2.0)));
    job.backoff_until = std::max(job.backoff_until, now + (job_suspect ? pause : 0.0));
  }
  const bool sick = static_cast<int>(machine.error_jobs.size()) >= c::kMachineSuspectErrors ||
                    (works_elsewhere && machine.errors > c::kMachineSuspectErrors);
  spdlog::info("a task of job {} failed on machine {} ({} failures in a row there)", name_of(job),
               machine.name, machine.errors);
  if (sick && !machine.cordoned) {
    cordon(machine, "tasks fail on it repeatedly");
    stop_machine_tasks(machine, "its machine was cordoned");
  }
}

void Scheduler::cordon(Machine& machine, const char* why) {
  if (machine.cordoned) return;
  machine.cordoned = true;
  context_.metrics.count("machines_cordoned");
  spdlog::info("machine {} is cordoned: {}", machine.name, why);
}

// Counts commands that newer heartbeats show were never received; a suspicious restart of the agent counts as
// kUndeliveredCommandsMax of them. From kUndeliveredCommandsMax on, probes decide whether the machine is
// unreachable.
void Scheduler::record_undelivered(Machine& machine, int by) {
  machine.undelivered_commands += by;
  if (machine.undelivered_commands >= c::kUndeliveredCommandsMax) probe_if_suspect(machine);
}

void Scheduler::probe_if_suspect(Machine& machine) {
  if (machine.open_probes > 0 || context_.now.steady - machine.last_probe_at < c::kSuspectProbeIntervalS)
    return;
  direct_commands_.probe(machine);
}

}  // namespace robinford::coordination
