#include "coordination/scheduler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <tuple>

#include "constants.hpp"
#include "protocol/names.hpp"

namespace robinford::coordination {
namespace c = constants;
namespace json = boost::json;
using bookkeeping::FinalState;
using bookkeeping::GangState;
using bookkeeping::Job;
using bookkeeping::JobLedger;
using bookkeeping::JobState;
using bookkeeping::Machine;
using bookkeeping::MachineLedger;
using bookkeeping::MachineState;
using bookkeeping::RunState;
using bookkeeping::TaskRun;
using bookkeeping::WriteOp;
using bookkeeping::WriteOutcome;
using protocol::ExitWhy;
using protocol::JobId;
using protocol::JobSpec;
using protocol::Order;
using protocol::Report;
using protocol::TaskId;
using protocol::TaskPhase;
using protocol::TaskReport;

namespace {

constexpr std::size_t kEarlyReportsMax = 300;  // reports kept while the ledger is read
constexpr double kLoadRetryS = 0.3;            // s between tries to read the ledger
constexpr double kReserveS = 8.0;              // s that room being emptied is kept for its gang
constexpr double kUnknownBackoffS = 2.0;       // s: the worker did not know the job yet
constexpr double kDefaultAllowedRuns = 2;      // an array without any aim may take this many run times
constexpr double kPaceShare = 0.85;            // of a pace, since fetches, stops and changes of task take time
constexpr double kTiersEveryS = 1.0;           // s between two sortings of the late
constexpr double kLastRunShare = 0.7;          // of a run: the last tasks of a job overlap with other jobs' first
constexpr std::size_t kRecentArrays = 256;     // arrivals kept to tell the load
constexpr double kReadyBoots = 2;              // work due within this many boots needs its room ready when it comes
constexpr double kReadyLeast = 0.7;            // share of a steady load that room is kept for in any case
constexpr double kLoadWindowS = 90;            // s of arrivals that the load is reckoned from
constexpr std::size_t kRecentGangs = 64;       // arrivals kept to tell which machines gangs want
constexpr double kClaimAfterS = 40;            // s that a gang waits before it keeps others from the room it needs
constexpr double kRoomBackoffS = 1.0;          // s: our picture of a machine's room was wrong

std::string name_of(const Job& job) { return protocol::job_id_text(job.spec.id); }

}  // namespace

const char* to_text(Duty duty) {
  switch (duty) {
    case Duty::kNone: return "none";
    case Duty::kLoading: return "loading";
    case Duty::kGathering: return "gathering";
    case Duty::kServing: return "serving";
  }
  return "?";
}

Scheduler::Scheduler(Core& core, Election& election, ReplyTo reply)
    : core_(core), election_(election), reply_(std::move(reply)) {}

void Scheduler::set_duty(Duty duty) {
  if (duty_ == duty) return;
  spdlog::info("leader's duty: {} -> {} ({:.2f} s into term {})", to_text(duty_), to_text(duty),
               core_.now.steady - began_, election_.term());
  duty_ = duty;
}

// ---------------------------------------------------------------- loading

void Scheduler::begin() {
  ++generation_;
  began_ = core_.now.steady;
  first_launch_seen_ = false;
  attempt_counter_ = 0;
  core_.jobs.clear();
  core_.machines.clear();
  held_.clear();
  early_.clear();
  waiting_gangs_.clear();
  reading_.clear();
  core_.writer.set_guard("lead", election_.stamp(), [this] { election_.guard_lost(); });
  set_duty(Duty::kLoading);
  load_notices();
}

void Scheduler::end() {
  ++generation_;
  core_.writer.clear_guard();
  for (const auto& [name, held] : held_) reply_(held.token, 503, "");
  for (const auto& [token, body] : early_) reply_(token, 503, "");
  held_.clear();
  early_.clear();
  waiting_gangs_.clear();
  core_.jobs.clear();
  core_.machines.clear();
  set_duty(Duty::kNone);
}

void Scheduler::load_failed(std::function<void()> again) {
  // A page that did not come is asked for again by a cheap read after a pause; the lease bounds how long this goes on.
  const double since = core_.now.steady;
  core_.state.read("term", [this, again = std::move(again), since, generation = generation_](const bookkeeping::StateRead&) {
    if (generation != generation_ || duty_ != Duty::kLoading) return;
    if (core_.now.steady - since > kLoadRetryS || core_.state.reachable(core_.now.steady)) again();
    else load_failed(again);
  });
}

// Notices are left by controllers that wrote about a job themselves. What is there before the jobs are read needs no
// other attention; the watch begins where the list was made, so none is missed.
void Scheduler::load_notices() {
  core_.state.list("n/", "", [this, generation = generation_](const std::optional<bookkeeping::StatePage>& page) {
    if (generation != generation_) return;
    if (!page) return load_failed([this] { load_notices(); });
    for (const auto& item : page->items) core_.writer.submit({{item.key, item.stamp, std::nullopt}}, [](auto, auto) {});
    watch_notices(page->revision);
    load_jobs("");
  });
}

void Scheduler::watch_notices(std::uint64_t after) {
  core_.state.watch("n/", after, [this, after, generation = generation_](const bookkeeping::WatchResult& watch) {
    if (generation != generation_) return;
    for (const auto& event : watch.events) {
      if (event.deleted) continue;
      const auto slash = event.key.rfind('/');
      const auto dot = event.key.find('.');
      if (slash == std::string::npos || dot == std::string::npos) continue;
      if (const auto id = protocol::parse_job_id(event.key.substr(slash + 1, dot - slash - 1))) read_job(*id);
      core_.writer.submit({{event.key, event.stamp, std::nullopt}}, [](auto, auto) {});
    }
    if (watch.good) return watch_notices(std::max(after, watch.revision));
    if (watch.too_old) return election_.guard_lost();  // start over: what happened meanwhile is unknown
    // No answer: pause by way of a read, then watch on from the same place.
    core_.state.read("term", [this, after, generation](const bookkeeping::StateRead&) {
      if (generation == generation_) watch_notices(after);
    });
  });
}

void Scheduler::load_jobs(const std::string& after) {
  core_.state.list(bookkeeping::kLiveJobPrefix, after,
                   [this, after, generation = generation_](const std::optional<bookkeeping::StatePage>& page) {
                     if (generation != generation_) return;
                     if (!page) return load_failed([this, after] { load_jobs(after); });
                     for (const auto& item : page->items) {
                       auto job = JobLedger::from_record(item.value, item.stamp, core_.now.steady);
                       if (!job) {
                         spdlog::error("the record {} makes no sense", item.key);
                         continue;
                       }
                       const JobId id = job->spec.id;
                       core_.jobs.all()[id] = std::move(job);
                     }
                     if (page->more && !page->items.empty()) return load_jobs(page->items.back().key);
                     load_machines("");
                   });
}

void Scheduler::load_machines(const std::string& after) {
  core_.state.list(bookkeeping::kMachinePrefix, after,
                   [this, after, generation = generation_](const std::optional<bookkeeping::StatePage>& page) {
                     if (generation != generation_) return;
                     if (!page) return load_failed([this, after] { load_machines(after); });
                     for (const auto& item : page->items) {
                       const std::string name = item.key.substr(std::string(bookkeeping::kMachinePrefix).size());
                       Machine& machine = core_.machines.add(name, core_.now.steady);
                       machine.note_stamp = item.stamp;
                       if (!MachineLedger::read_note(item.value, machine)) spdlog::error("the record {} makes no sense", item.key);
                       know_type(machine);
                     }
                     if (page->more && !page->items.empty()) return load_machines(page->items.back().key);
                     load_catalog();
                   });
}

void Scheduler::load_catalog() {
  if (!core_.types.empty()) return loaded();
  core_.state.read("cat", [this, generation = generation_](const bookkeeping::StateRead& read) {
    if (generation != generation_) return;
    if (read.found == bookkeeping::StateRead::Found::kYes)
      if (const auto types = protocol::parse_catalog(json::serialize(read.value)))
        for (const auto& type : *types) core_.types[type.name] = type;
    loaded();
  });
}

void Scheduler::loaded() {
  for (auto& [name, machine] : core_.machines.all()) know_type(machine);
  for (auto& [id, job] : core_.jobs.all())
    if (job->done_count == job->spec.tasks) complete(*job);
  for (auto& [id, job] : core_.jobs.all())
    arrived(*job);
  gather_until_ = core_.now.steady + core_.settings.report_s * c::kReportJitter + c::kRoundSlackS;
  spdlog::info("ledger read: {} jobs, {} machines", core_.jobs.all().size(), core_.machines.all().size());
  set_duty(Duty::kGathering);
  auto early = std::move(early_);
  early_.clear();
  for (auto& [token, body] : early) report(token, body);
}

bool Scheduler::gathered() const {
  if (core_.now.steady >= gather_until_) return true;
  // Only machines with a note can have tasks, and the list of the cloud is no help: it lags.
  bool any = false;
  for (const auto& [name, machine] : core_.machines.all()) {
    if (!machine.reported && machine.note_stamp != 0) return false;
    any = any || machine.reported;
  }
  return any;
}

void Scheduler::know_type(Machine& machine) {
  const auto found = core_.types.find(machine.type);
  if (found == core_.types.end()) return;
  machine.cpus = found->second.cpus;
  machine.gpus = found->second.gpus;
  machine.memory_gb = found->second.memory_gb;
}

// ---------------------------------------------------------------- reports

void Scheduler::report(std::uint64_t token, const std::string& body) {
  const auto parsed = protocol::parse_report(body);
  if (!parsed) return reply_(token, 400, protocol::error_json("malformed report"));
  if (parsed->token > election_.term()) {
    election_.higher_term_seen(parsed->token);
    return reply_(token, 503, "");
  }
  if (duty_ == Duty::kLoading) {
    if (early_.size() >= kEarlyReportsMax) return reply_(token, 503, "");
    early_.emplace_back(token, body);
    return;
  }
  if (duty_ == Duty::kNone || !election_.answers()) return reply_(token, 503, "");
  Machine* machine = core_.machines.find(parsed->machine);
  if (machine == nullptr) {
    machine = &core_.machines.add(parsed->machine, core_.now.steady);
    machine->rented_at = core_.now.steady;
    spdlog::info("machine {} reports, unexpected", parsed->machine);
  }
  if (machine->state == MachineState::kGone || !MachineLedger::newer(*machine, parsed->session, parsed->seq))
    return reply_(token, 503, "");
  take_report(*machine, *parsed, false);
  // An answer that is still held belongs to an older report: nobody waits for it any more.
  if (const auto held = held_.find(machine->name); held != held_.end()) {
    reply_(held->second.token, 503, "");
    held_.erase(held);
  }
  if (may_place() && machine->state == MachineState::kUp) {
    // The report that confirms the last hold of a gang carries the launch in its own answer.
    const auto holders = machine->holds;
    for (const auto id : holders)
      if (Job* job = core_.jobs.find(id); job != nullptr && job->state == JobState::kActive) check_gang(*job);
    round();
    fill(*machine);
    bool waits = machine->note_writing;
    for (const auto& task : machine->tasks) {
      Job* job = core_.jobs.find(task.job);
      const auto run = job->runs.find(task.index);
      if (run->second.state == RunState::kPlanned && !noted(*machine, task.job)) waits = true;
    }
    note(*machine);
    if (waits && machine->note_writing) {
      held_[machine->name] = {token, core_.now.steady + c::kReplyHoldS, core_.now.steady};
      return;
    }
  }
  answer_report(*machine, token);
}

void Scheduler::answer_report(Machine& machine, std::uint64_t token) {
  if (!election_.answers()) return reply_(token, 503, "");
  const auto orders = orders_for(machine);
  machine.last_answer = core_.now.steady;
  core_.metrics.count("reports");
  reply_(token, 200, protocol::orders_json(election_.term(), orders));
}

// What a newer report of a machine proves. `direct`: it came as the answer to a direct command, and a launch in the
// answer to the last real report may still be under way to the worker.
void Scheduler::take_report(Machine& machine, const Report& report, bool direct) {
  const double now = core_.now.steady;
  const bool new_session = machine.reported && report.session > machine.session;
  const bool first = !machine.reported;
  machine.addr = report.addr;
  if (machine.type != report.type || machine.zone != report.zone || machine.cpus <= 0) {
    machine.type = report.type;
    machine.zone = report.zone;
    machine.spot = report.spot;
    know_type(machine);
  }
  machine.session = report.session;
  machine.seq = report.seq;
  if (report.token == election_.term()) machine.saw_term = true;
  if (!direct) {
    machine.last_report = now;
    if (first) {
      machine.reported = true;
      machine.up_at = now;
      machine.idle_since = now;
      if (machine.rented_at > 0)
        spdlog::info("machine {} up {:.1f} s after its rental", machine.name, now - machine.rented_at);
    }
    if (machine.state == MachineState::kBooting || machine.state == MachineState::kSilent)
      MachineLedger::set_state(machine, MachineState::kUp);
  }
  const bool had_notice = machine.notice_until.has_value();
  machine.notice_until = report.notice_s ? std::optional(now + *report.notice_s) : std::nullopt;
  if (machine.notice_until && !had_notice) spdlog::info("machine {} will be taken in {:.0f} s", machine.name, *report.notice_s);

  std::map<TaskId, const TaskReport*> shown;
  for (const auto& task : report.tasks) {
    auto& slot = shown[task.task];
    // Should one task stand twice, the live attempt is the one that matters.
    if (slot == nullptr || slot->phase == TaskPhase::kExited) slot = &task;
  }
  machine.strays.clear();
  machine.clears.clear();
  machine.may_hold.clear();  // it has shown all that is on it

  // Runs that we know of.
  std::set<TaskId> settled;
  const std::set<TaskId> known = machine.tasks;
  for (const auto& id : known) {
    Job* job = core_.jobs.find(id.job);
    if (job == nullptr) {
      machine.tasks.erase(id);
      continue;
    }
    const auto found = job->runs.find(id.index);
    if (found == job->runs.end() || found->second.machine != machine.name) {
      machine.tasks.erase(id);
      continue;
    }
    TaskRun& run = found->second;
    const auto entry = shown.find(id);
    const bool matches = entry != shown.end() && entry->second->attempt == run.attempt;
    if (!matches) {
      if (run.state == RunState::kPlanned) continue;
      if (!run.seen) {
        // Not shown yet. A real report that is newer than the one whose answer carried the launch settles it: the
        // worker has taken or dropped that answer before it reported again. A direct answer settles nothing.
        const bool newer = std::tie(machine.session, machine.seq) > std::tie(run.launch_session, run.launch_seq);
        if (direct || !newer) continue;
        run_lost(*job, id.index, "the launch did not arrive");
        continue;
      }
      run_lost(*job, id.index, new_session ? "its machine began a new session" : "it is not on its machine any more");
      continue;
    }
    const TaskReport& task = *entry->second;
    run.seen = true;
    if (task.phase == TaskPhase::kExited) {
      settled.insert(id);
      task_exited(machine, *job, id.index, task);
      continue;
    }
    if (run.state == RunState::kLaunched || run.state == RunState::kPlanned) JobLedger::set_run(*job, run, RunState::kPresent);
    if (task.phase == TaskPhase::kRunning && run.phase != TaskPhase::kRunning) {
      run.running_since = now;
      machine.fetching += (now - run.launched_at) * job->spec.cpus;
      if (job->first_start == 0) {
        job->first_start = now;
        if (job->spec.gang)
          spdlog::debug("gang {} first runs {:.1f} s after its submission", name_of(*job),
                        (core_.now.wall_ms - job->submitted_ms) / 1000.0);
        core_.metrics.record(job->spec.gang ? Metrics::Spread::kGangWait : Metrics::Spread::kArrayWait,
                             std::max(0.0, (core_.now.wall_ms - job->submitted_ms) / 1000.0));
      }
      machine.images[job->spec.image] = now;
    }
    run.phase = task.phase;
  }
  // Tasks that are not in the books: an earlier leader's, or old attempts.
  for (const auto& [id, task] : shown) {
    if (settled.contains(id)) continue;
    Job* job = core_.jobs.find(id.job);
    if (job != nullptr) {
      const auto run = job->runs.find(id.index);
      if (run != job->runs.end() && run->second.machine == machine.name && run->second.attempt == task->attempt) continue;
    }
    adopt(machine, *task);
  }
  for (const auto& task : report.tasks) {
    // The second entry of a task that stands twice.
    if (shown[task.task] != &task && task.phase == TaskPhase::kExited) machine.clears.push_back({task.task, task.attempt, 0});
  }
  // The report is the evidence that holds wait for: the room is still free.
  if (!direct) {
    for (const auto id : machine.holds) {
      Job* job = core_.jobs.find(id);
      if (job == nullptr) continue;
      for (auto& hold : job->holds)
        if (hold.machine == machine.name && hold.made_at < now) hold.confirmed = true;
    }
  }
  if (!machine.tasks.empty() || !machine.holds.empty()) machine.idle_since = now;
  dirty_ = true;
}

void Scheduler::adopt(Machine& machine, const TaskReport& task) {
  Job* job = core_.jobs.find(task.task.job);
  if (task.phase == TaskPhase::kExited) {
    if (job != nullptr && job->state == JobState::kActive && task.why == ExitWhy::kDone &&
        task.task.index < job->spec.tasks) {
      // A result is kept whoever started it.
      if (job->spec.gang) {
        for (std::uint32_t i = 0; i < job->spec.tasks; ++i) job->mark_done(i);
      } else {
        job->mark_done(task.task.index);
      }
      machine.clears.push_back({task.task, task.attempt, job->done_version});
      if (job->done_count == job->spec.tasks) complete(*job);
      return;
    }
    const bool undurable = job != nullptr && task.why == ExitWhy::kDone;
    machine.clears.push_back({task.task, task.attempt, undurable ? job->done_version : 0});
    return;
  }
  const bool wanted = job != nullptr && job->state == JobState::kActive && task.task.index < job->spec.tasks &&
                      !job->done[task.task.index] && !job->runs.contains(task.task.index) &&
                      (!job->spec.gang || job->attempt == 0 || job->attempt == task.attempt);
  if (!wanted) {
    machine.strays.push_back(task);
    return;
  }
  TaskRun run;
  run.machine = machine.name;
  run.attempt = task.attempt;
  run.state = RunState::kPresent;
  run.phase = task.phase;
  run.seen = true;
  run.planned_at = run.launched_at = run.running_since = core_.now.steady;
  job->attempt = task.attempt;
  job->take_task(task.task.index);
  job->runs.emplace(task.task.index, run);
  machine.tasks.insert(task.task);
  machine.images[job->spec.image] = core_.now.steady;
  if (job->spec.gang && job->gang == GangState::kStopping) stop_run(*job, task.task.index, 0);
}

void Scheduler::drop_run(Job& job, std::uint32_t index) {
  const auto found = job.runs.find(index);
  if (found == job.runs.end()) return;
  if (Machine* machine = core_.machines.find(found->second.machine)) machine->tasks.erase({job.spec.id, index});
  job.runs.erase(found);
  dirty_ = true;
}

void Scheduler::task_exited(Machine& machine, Job& job, std::uint32_t index, const TaskReport& task) {
  const double now = core_.now.steady;
  const TaskRun run = job.runs.at(index);
  drop_run(job, index);
  if (run.running_since > 0)
    (task.why == ExitWhy::kDone || task.saved ? machine.useful : machine.lost) += (now - run.running_since) * job.spec.cpus;
  if (spdlog::should_log(spdlog::level::debug))
    spdlog::debug("task {} try {} on {}: {}{}", protocol::task_text(task.task), task.attempt, machine.name,
                  protocol::to_text(task.why), task.saved ? ", saved" : "");
  if (task.why == ExitWhy::kDone) {
    machine.errors = 0;
    machine.error_jobs.clear();
    job.failures = 0;
    job.failed_on.clear();
    if (run.running_since > 0 && run.running_since > run.planned_at) learn(job, now - run.running_since);
    if (job.state == JobState::kActive) {
      if (job.spec.gang) {
        // The tasks of a gang complete together.
        for (std::uint32_t i = 0; i < job.spec.tasks; ++i) job.mark_done(i);
      } else {
        job.mark_done(index);
      }
      if (job.done_count == job.spec.tasks) complete(job);
    }
    machine.clears.push_back({task.task, task.attempt, job.state == JobState::kOver ? 0 : job.done_version});
    core_.metrics.count("tasks_done");
    return;
  }
  machine.clears.push_back({task.task, task.attempt, 0});
  if (job.over()) return;
  switch (task.why) {
    case ExitWhy::kError:
      blame(machine, job);
      break;
    case ExitWhy::kNoRoom:
      job.avoid[machine.name] = now + core_.settings.report_s * 2;
      job.backoff_until = std::max(job.backoff_until, now + kRoomBackoffS);
      break;
    case ExitWhy::kBusy:
      job.backoff_until = std::max(job.backoff_until, now + core_.settings.report_s);
      break;
    case ExitWhy::kUnknown:
      job.backoff_until = std::max(job.backoff_until, now + kUnknownBackoffS);
      break;
    default:
      break;
  }
  if (!job.spec.gang) {
    job.give_back(index);
    return;
  }
  if (job.gang != GangState::kStopping) stop_gang(job, false, protocol::to_text(task.why));
}

void Scheduler::run_lost(Job& job, std::uint32_t index, const char* why) {
  core_.metrics.count("tasks_lost");
  spdlog::debug("task {}/{} lost: {}", name_of(job), index, why);
  drop_run(job, index);
  if (job.over()) return forget_if_clear(job.spec.id);
  if (!job.spec.gang) return job.give_back(index);
  if (job.gang != GangState::kStopping) stop_gang(job, false, why);
}

void Scheduler::lose_tasks(Machine& machine, const char* why) {
  const auto tasks = machine.tasks;
  for (const auto& id : tasks) {
    if (Job* job = core_.jobs.find(id.job)) run_lost(*job, id.index, why);
  }
  machine.tasks.clear();
  machine.strays.clear();
  machine.may_hold.clear();
  const auto holds = machine.holds;
  for (const auto id : holds)
    if (Job* job = core_.jobs.find(id)) {
      release_holds(*job);
      if (job->gang == GangState::kHolding) JobLedger::set_gang(*job, GangState::kQueued, core_.now.steady);
    }
  dirty_ = true;
}

// A failed task speaks against its machine, its job, or both: a machine that fails different jobs is set aside, a
// job that fails on different machines is tried ever more rarely.
void Scheduler::blame(Machine& machine, Job& job) {
  const double now = core_.now.steady;
  ++machine.errors;
  machine.error_jobs.insert(job.spec.id);
  job.failed_on.insert(machine.name);
  ++job.failures;
  job.avoid[machine.name] = now + c::kAvoidS;
  const bool job_suspect = static_cast<int>(job.failed_on.size()) >= c::kJobSuspectMachines;
  const bool works_elsewhere = !job_suspect && (job.done_count > 0 || job.runs.size() > 0);
  if (job_suspect || job.spec.gang) {
    const double pause = std::min(c::kBackoffMaxS, c::kBackoffFirstS * std::pow(2.0, std::max(0.0, job.failed_on.size() - 2.0)));
    job.backoff_until = std::max(job.backoff_until, now + (job_suspect ? pause : 0.0));
  }
  const bool sick = static_cast<int>(machine.error_jobs.size()) >= c::kMachineSuspectErrors ||
                    (works_elsewhere && machine.errors > c::kMachineSuspectErrors);
  spdlog::info("task of {} failed on {} ({} in a row there)", name_of(job), machine.name, machine.errors);
  if (sick && !machine.set_aside) {
    machine.set_aside = true;
    spdlog::info("machine {} is set aside: it failed {} jobs in a row", machine.name, machine.error_jobs.size());
    stop_machine_tasks(machine, "machine set aside");
  }
}

void Scheduler::learn(Job& job, double ran) {
  job.ran_sum += ran;
  ++job.ran_count;
  // A large array must not drown all other jobs of its class.
  if (job.spec.estimate_s <= 0 || job.ran_count > c::kLearnTasksOfJob) return;
  auto& learned = learned_[job.spec.job_class];
  const double weight = std::max(c::kLearnWeight, 1.0 / ++learned.count);
  const auto follow = [&](double seen, double& mean, double& spread) {
    const double off = seen - mean;
    mean += weight * off;
    spread += weight * (off * off - spread);
  };
  follow(std::log(std::max(ran, 0.1)), learned.run, learned.run_spread);
  follow(std::log(std::clamp(ran / job.spec.estimate_s, c::kLearnRatioMin, c::kLearnRatioMax)), learned.error,
         learned.error_spread);
}

// The owner's estimate, put right by what the class is usually off by, and drawn towards the class's usual run time
// the more the estimates scatter. The job's own completions count above all. Never relied on for safety.
double Scheduler::expected_run(const Job& job) const {
  if (job.ran_count >= c::kLearnOwnTasks) return job.ran_sum / job.ran_count;
  const auto found = learned_.find(job.spec.job_class);
  const bool known = found != learned_.end() && found->second.count >= c::kLearnOwnTasks;
  if (job.spec.estimate_s <= 0) return known ? std::exp(found->second.run) : c::kUnknownRunS;
  if (!known) return job.spec.estimate_s;
  const auto& l = found->second;
  const double trust = (l.run_spread + 0.01) / (l.run_spread + l.error_spread + 0.02);
  return std::exp(trust * (std::log(job.spec.estimate_s) + l.error) + (1 - trust) * l.run);
}

std::vector<Order> Scheduler::orders_for(Machine& machine) {
  std::vector<Order> orders;
  const bool may_launch = may_place();
  const auto room = [&] { return orders.size() < c::kOrdersMax; };
  for (const auto& stray : machine.strays)
    if (room()) orders.push_back({Order::Op::kStop, stray.task, stray.attempt, 0});
  for (const auto& clear : machine.clears) {
    const Job* job = core_.jobs.find(clear.task.job);
    const bool durable = clear.needs_version == 0 || job == nullptr || job->state == JobState::kOver ||
                         job->durable_version >= clear.needs_version;
    if (durable && room()) orders.push_back({Order::Op::kForget, clear.task, clear.attempt, 0});
  }
  for (const auto& id : machine.tasks) {
    Job* job = core_.jobs.find(id.job);
    if (job == nullptr || !room()) continue;
    auto& run = job->runs.at(id.index);
    if (run.state == RunState::kStopping) {
      orders.push_back({Order::Op::kStop, id, run.attempt, run.stop_grace});
    } else if (run.state == RunState::kPlanned && may_launch && job->state == JobState::kActive && noted(machine, id.job) &&
               machine.state == MachineState::kUp && (!job->spec.gang || job->gang == GangState::kLaunching)) {
      orders.push_back({Order::Op::kStart, id, run.attempt, 0});
      JobLedger::set_run(*job, run, RunState::kLaunched);
      run.launched_at = core_.now.steady;
      run.launch_session = machine.session;
      run.launch_seq = machine.seq;
      core_.metrics.count("launches");
      if (!first_launch_seen_) {
        first_launch_seen_ = true;
        core_.metrics.record(Metrics::Spread::kTakeover, core_.now.steady - began_);
        spdlog::info("first launch {:.2f} s into term {}", core_.now.steady - began_, election_.term());
      }
    }
  }
  return orders;
}

// ---------------------------------------------------------------- order of work

Scheduler::Rank Scheduler::rank(const Job& job, std::uint32_t tasks) const {
  Rank rank{!core_.quota.within_guarantee(job.spec, tasks),
            -static_cast<int>(job.spec.priority),
            job.tier,
            core_.quota.share_used(job.spec.team, core_.share_of(job.spec.team)),
            time_left(job),
            job.submitted_ms,
            job.spec.id};
  // Gangs that have waited for long come before the turn of the shares, oldest first: none starves.
  if (job.spec.gang && core_.now.steady - job.known_at > kClaimAfterS) {
    rank.tier = -1;
    rank.share = rank.due = 0;
  }
  return rank;
}

double Scheduler::time_left(const Job& job) const {
  const double age = std::max(0.0, (core_.now.wall_ms - job.submitted_ms) / 1000.0);
  if (job.spec.deadline_s) return *job.spec.deadline_s - age;
  for (const auto& objective : core_.settings.objectives)
    if (objective.kind == "finished" && objective.job_class == job.spec.job_class) return objective.within_s - age;
  return kDefaultAllowedRuns * expected_run(job) + c::kUnknownRunS - age;
}

// Not all can be in time when a team asks for more than its limit. Going through its arrays by due time, whenever one
// would be late the largest so far steps back: so the fewest jobs are late. Those that stepped back are sorted the
// same way once more, against one and a half times the time they had.
void Scheduler::sort_tiers() {
  const double now = core_.now.steady;
  if (now < next_tiers_) return;
  next_tiers_ = now + kTiersEveryS;
  struct Entry {
    Job* job;
    double left, late_left, work;
  };
  std::map<std::string, std::vector<Entry>> teams;
  for (auto& [id, job] : core_.jobs.all()) {
    if (job->spec.gang || job->state != JobState::kActive) continue;
    const double left = time_left(*job);
    const double age = std::max(0.0, (core_.now.wall_ms - job->submitted_ms) / 1000.0);
    teams[job->spec.team].push_back(
        {job.get(), left, left + (left + age) * 0.5, job->remaining() * job->spec.cpus * expected_run(*job)});
  }
  // The pace that a team can hope for: its limit less its gangs, and its part of the room there is.
  double supply = 0, asked = 0;
  for (const auto& [name, machine] : core_.machines.all())
    if (machine.state == MachineState::kUp || machine.state == MachineState::kBooting) supply += machine.cpus;
  std::map<std::string, double> pace, gangs;
  for (const auto& [id, job] : core_.jobs.all())
    if (job->spec.gang) gangs[job->spec.team] += job->spec.cpus * (job->runs.size() + job->holds.size());
  for (const auto& [name, cpus] : gangs) supply -= cpus;
  for (const auto& [name, waiting] : teams) {
    const auto* team = core_.settings.team(name);
    if (team == nullptr) continue;
    double cores = 0;
    for (const auto& entry : waiting) cores += entry.job->remaining() * entry.job->spec.cpus;
    asked += pace[name] = std::min(cores, std::max(1.0, team->cpus_max - gangs[name]));
  }
  const double part = kPaceShare * (asked > 0 ? std::clamp(supply / asked, 0.05, 1.0) : 1.0);
  for (auto& [name, waiting] : teams) {
    const double rate = pace[name] * part;
    if (rate <= 0) continue;
    for (int tier = 0; tier < 2; ++tier) {
      const auto limit = [&](const Entry& e) {
        return (tier == 0 ? e.left : e.late_left) - expected_run(*e.job) * kLastRunShare;
      };
      std::sort(waiting.begin(), waiting.end(), [&](const Entry& a, const Entry& b) {
        return std::tuple(limit(a), a.job->spec.id) < std::tuple(limit(b), b.job->spec.id);
      });
      std::vector<Entry> chosen, late;
      double work = 0;
      for (const auto& entry : waiting) {
        chosen.push_back(entry);
        work += entry.work;
        while (!chosen.empty() && work / rate > std::max(0.0, limit(entry))) {
          const auto largest = std::max_element(chosen.begin(), chosen.end(),
                                                [](const Entry& a, const Entry& b) { return a.work < b.work; });
          work -= largest->work;
          late.push_back(*largest);
          chosen.erase(largest);
        }
      }
      for (const auto& entry : chosen) entry.job->tier = tier;
      waiting = std::move(late);
    }
    for (const auto& entry : waiting) entry.job->tier = 2;
  }
}

void Scheduler::arrived(const Job& job) {
  // A new leader reads jobs that came long ago: they must not look like a burst.
  const double now = core_.now.steady - std::max(0.0, (core_.now.wall_ms - job.submitted_ms) / 1000.0);
  if (job.spec.gang) {
    recent_gangs_.emplace_back(now, job.spec);
    if (recent_gangs_.size() > kRecentGangs) recent_gangs_.pop_front();
  } else {
    recent_arrays_.push_back(
        {now, job.spec.team, job.remaining() * job.spec.cpus * expected_run(job), std::max(1.0, time_left(job))});
    while (recent_arrays_.size() > kRecentArrays || core_.now.steady - recent_arrays_.front().at > kLoadWindowS) {
      recent_arrays_.pop_front();
      if (recent_arrays_.empty()) break;
    }
  }
}

double Scheduler::array_load(double boot_s) const {
  const double now = core_.now.steady;
  std::map<std::string, double> teams;
  double first = now;
  for (const auto& arrival : recent_arrays_) {
    if (now - arrival.at > kLoadWindowS) continue;
    first = std::min(first, arrival.at);
    teams[arrival.team] += arrival.work * std::clamp(kReadyBoots * boot_s / arrival.allowed, kReadyLeast, 1.0);
  }
  const double window = std::clamp(now - first, kLoadWindowS / 2, kLoadWindowS);
  double load = 0;
  for (const auto& [name, work] : teams)
    if (const auto* team = core_.settings.team(name)) load += std::min(work / window, team->cpus_max);
  return load;
}

double Scheduler::gang_rate() const {
  double tasks = 0;
  for (const auto& [when, spec] : recent_gangs_)
    if (core_.now.steady - when < c::kGangWindowS) tasks += spec.tasks;
  return tasks / c::kGangWindowS;
}

bool Scheduler::suits_gangs(const Machine& machine) const {
  for (const auto& [when, spec] : recent_gangs_)
    if (kind_allowed(spec, machine.type, machine.zone, machine.spot) &&
        Room{machine.cpus, machine.gpus, machine.memory_gb}.fits(spec))
      return true;
  return false;
}

bool Scheduler::has_gang(const Machine& machine) const {
  if (!machine.holds.empty()) return true;
  return std::any_of(machine.tasks.begin(), machine.tasks.end(), [&](const TaskId& id) {
    const Job* job = core_.jobs.find(id.job);
    return job != nullptr && job->spec.gang;
  });
}

// Arrays fill spot machines first, then those no gang wants, then the rest.
int Scheduler::room_class(const Machine& machine) const {
  if (machine.spot) return 0;
  return suits_gangs(machine) && !has_gang(machine) ? 2 : 1;
}

// An unplaced task may be on a machine that an earlier leader used and that has not shown itself yet.
bool Scheduler::blocked(const Job& job) const {
  for (const auto& [name, machine] : core_.machines.all())
    if (machine.may_hold.contains(job.spec.id)) return true;
  return false;
}

void Scheduler::plan(Job& job, std::uint32_t index, Machine& machine, std::uint64_t attempt) {
  TaskRun run;
  run.machine = machine.name;
  run.attempt = attempt;
  run.planned_at = core_.now.steady;
  job.take_task(index);
  job.runs.emplace(index, run);
  machine.tasks.insert({job.spec.id, index});
}

// Arrays go into the room that the machine's own report shows, in the order of the teams' queues.
void Scheduler::fill(Machine& machine) {
  if (!takes_work(core_, machine)) return;
  Room room = free_room(core_, machine);
  if (machine.reserved_by && core_.now.steady < machine.reserved_until) return;
  if (room.cpus <= 0 || machine.winding_down) return;
  core_.quota.recount(core_.jobs, core_.machines);
  // What waiting gangs need of their teams' limits is not for arrays to take, also while it is still being freed:
  // otherwise arrays take it back task by task and the gang never gets the whole.
  std::map<std::string, double> gang_cpus;
  for (const auto& [id, job] : core_.jobs.all())
    if (job->spec.gang) gang_cpus[job->spec.team] += job->spec.cpus * (job->runs.size() + job->holds.size());
  for (const Job* gang : waiting_gangs_) {
    const auto* team = core_.settings.team(gang->spec.team);
    double& used = gang_cpus[gang->spec.team];
    if (static_cast<int>(gang->failed_on.size()) >= c::kJobSuspectMachines || team == nullptr) continue;
    if (used + gang->spec.cpus * gang->spec.tasks > team->cpus_max) continue;
    used += gang->spec.cpus * gang->spec.tasks;
    core_.quota.charge(gang->spec, gang->spec.tasks);
  }
  sort_tiers();
  // Cores free on machines that should be filled before this one: they report as well, before long.
  double better = 0;
  if (const int own = room_class(machine); own > 0)
    for (const auto& [name, other] : core_.machines.all())
      if (takes_work(core_, other) && !other.winding_down && room_class(other) < own)
        better += std::max(0.0, free_room(core_, other).cpus);
  struct Candidate {
    Job* job;
    std::uint32_t slots;
    ZoneCount zones;
    Rank rank;
  };
  std::vector<Candidate> candidates;
  const double now = core_.now.steady;
  for (auto& [id, job] : core_.jobs.all()) {
    if (job->spec.gang || job->state != JobState::kActive || now < job->backoff_until) continue;
    if (!kind_allowed(job->spec, machine.type, machine.zone, machine.spot) || !room.fits(job->spec)) continue;
    if (!job->next_task() || blocked(*job)) continue;
    if (const auto avoided = job->avoid.find(machine.name); avoided != job->avoid.end() && now < avoided->second) continue;
    std::uint32_t slots = slots_by_count(core_, *job, machine);
    // A job that failed on several machines is tried with a single task until one succeeds.
    if (static_cast<int>(job->failed_on.size()) >= c::kJobSuspectMachines)
      slots = job->runs.empty() ? std::min<std::uint32_t>(slots, 1) : 0;
    if (slots == 0 || !core_.quota.allows(job->spec, 1)) continue;
    if (better > 0) {
      const double waiting = std::min(job->unplaced() * job->spec.cpus, core_.quota.left(job->spec.team));
      better -= waiting;
      if (better >= 0) continue;
    }
    candidates.push_back({job.get(), slots, job->spec.one_zone || job->spec.spread ? zones_of(core_, *job) : ZoneCount{},
                          rank(*job, 1)});
  }
  while (!candidates.empty()) {
    auto best = std::min_element(candidates.begin(), candidates.end(),
                                 [](const Candidate& a, const Candidate& b) { return a.rank < b.rank; });
    Job& job = *best->job;
    const auto index = job.next_task();
    if (!index || best->slots == 0 || !room.fits(job.spec) || !core_.quota.allows(job.spec, 1) ||
        !zone_allowed(job.spec, best->zones, machine.zone)) {
      candidates.erase(best);
      continue;
    }
    plan(job, *index, machine, next_attempt());
    room.take(job.spec);
    core_.quota.charge(job.spec, 1);
    --best->slots;
    ++best->zones.tasks[machine.zone];
    const std::string& team = job.spec.team;
    for (auto& candidate : candidates)
      if (candidate.job->spec.team == team) candidate.rank = rank(*candidate.job, 1);
  }
}

// ---------------------------------------------------------------- gangs

void Scheduler::round() {
  const double now = core_.now.steady;
  if (!may_place() || now - last_round_ < c::kRoundEveryS || !dirty_) return;
  last_round_ = now;
  dirty_ = false;
  claimed_.clear();
  core_.metrics.count("rounds");
  core_.quota.recount(core_.jobs, core_.machines);
  for (auto& [id, job] : core_.jobs.all())
    if (job->spec.gang && job->state == JobState::kActive) check_gang(*job);
  waiting_gangs_.clear();
  for (auto& [id, job] : core_.jobs.all())
    if (job->spec.gang && job->state == JobState::kActive && job->gang == GangState::kQueued) waiting_gangs_.push_back(job.get());
  std::vector<Job*> queue = waiting_gangs_;
  // The teams' shares move with each placement, so the next gang is chosen afresh each time.
  while (!queue.empty()) {
    auto best = std::min_element(queue.begin(), queue.end(), [&](const Job* a, const Job* b) {
      return rank(*a, a->spec.tasks) < rank(*b, b->spec.tasks);
    });
    Job* job = *best;
    queue.erase(best);
    if (now < job->backoff_until || !job->runs.empty() || blocked(*job)) continue;
    if (!core_.quota.allows(job->spec, job->spec.tasks)) {
      free_quota_for(*job);
      continue;
    }
    if (place_gang(*job)) {
      std::erase(waiting_gangs_, job);
      continue;
    }
    preempt_for(*job);
    if (now - job->known_at > kClaimAfterS) claim_rooms(*job);
  }
}

bool Scheduler::place_gang(Job& job) {
  const double now = core_.now.steady;
  std::vector<Offer> offers;
  for (auto& [name, machine] : core_.machines.all()) {
    if (!takes_work(core_, machine) || !kind_allowed(job.spec, machine.type, machine.zone, machine.spot)) continue;
    if (const auto avoided = job.avoid.find(name); avoided != job.avoid.end() && now < avoided->second) continue;
    if (machine.reserved_by && *machine.reserved_by != job.spec.id && now < machine.reserved_until) continue;
    if (claimed_.contains(name)) continue;
    const Room room = free_room(core_, machine);
    const auto slots = std::min(room.tasks_of(job.spec), slots_by_count(core_, job, machine));
    if (slots > 0) offers.push_back({&machine, slots, room.cpus});
  }
  // Extra holds only where the team's limit and the free room allow them.
  auto extra = static_cast<std::uint32_t>(std::floor(job.spec.tasks * core_.policy.overbook + 1e-9));
  while (extra > 0 && !core_.quota.allows(job.spec, job.spec.tasks + extra)) --extra;
  const auto spots = map_gang(job.spec, std::move(offers), job.spec.tasks, extra, core_.policy.concentrate);
  if (!spots) return false;
  std::uint32_t held = 0;
  for (const auto& spot : *spots) {
    Machine& machine = *core_.machines.find(spot.machine);
    for (std::uint32_t i = 0; i < spot.tasks; ++i)
      job.holds.push_back({spot.machine, now, now + c::kHoldReports * core_.settings.report_s, false});
    machine.holds.insert(job.spec.id);
    if (machine.reserved_by == job.spec.id) machine.reserved_by.reset();
    machine.idle_since = now;
    held += spot.tasks;
    note(machine);
  }
  core_.quota.charge(job.spec, held);
  JobLedger::set_gang(job, GangState::kHolding, now);
  return true;
}

// A wide gang that has waited for long keeps the machines that are free for it out of reach of the gangs after it, for
// this round: otherwise narrow ones take each as it comes free. Arrays may use them meanwhile, since they step back.
void Scheduler::claim_rooms(const Job& job) {
  std::uint32_t left = job.spec.tasks;
  for (auto& [name, machine] : core_.machines.all()) {
    if (left == 0) return;
    if (!takes_work(core_, machine) || !kind_allowed(job.spec, machine.type, machine.zone, machine.spot) || claimed_.contains(name))
      continue;
    Room room = free_room(core_, machine);
    for (const auto& id : machine.tasks) {
      const Job* other = core_.jobs.find(id.job);
      if (other != nullptr && !other->spec.gang && other->spec.priority < job.spec.priority) room.give(other->spec);
    }
    const auto slots = std::min(left, room.tasks_of(job.spec));
    if (slots == 0) continue;
    claimed_.insert(name);
    left -= slots;
  }
}

void Scheduler::release_holds(Job& job) {
  for (const auto& hold : job.holds)
    if (Machine* machine = core_.machines.find(hold.machine)) machine->holds.erase(job.spec.id);
  job.holds.clear();
  dirty_ = true;
}

void Scheduler::check_gang(Job& job) {
  const double now = core_.now.steady;
  const bool complete_set = job.runs.size() == job.spec.tasks;
  switch (job.gang) {
    case GangState::kQueued:
      if (job.runs.empty()) return;
      // Taken over from an earlier leader: whole, or it has to start again.
      if (complete_set) JobLedger::set_gang(job, GangState::kRunning, now);
      else if (!blocked(job)) stop_gang(job, false, "found incomplete by a new leader");
      return;
    case GangState::kHolding: {
      const auto confirmed = std::count_if(job.holds.begin(), job.holds.end(), [](const auto& hold) { return hold.confirmed; });
      if (static_cast<std::uint32_t>(confirmed) >= job.spec.tasks) return launch_gang(job);
      const bool lapsed = std::any_of(job.holds.begin(), job.holds.end(),
                                      [&](const auto& hold) { return !hold.confirmed && now > hold.lapses_at; });
      if (!lapsed) return;
      spdlog::info("gang {}: holds lapsed, queued again", name_of(job));
      core_.metrics.count("holds_lapsed");
      release_holds(job);
      JobLedger::set_gang(job, GangState::kQueued, now);
      return;
    }
    case GangState::kLaunching: {
      const bool all_seen = complete_set && std::all_of(job.runs.begin(), job.runs.end(), [](const auto& entry) {
                              return entry.second.state == RunState::kPresent;
                            });
      if (all_seen) return JobLedger::set_gang(job, GangState::kRunning, now);
      if (now - job.gang_since > c::kHoldReports * core_.settings.report_s + core_.settings.gang_wait_s)
        stop_gang(job, false, "its tasks did not all start");
      return;
    }
    case GangState::kRunning:
      return;
    case GangState::kStopping:
      if (job.runs.empty() && !blocked(job)) {
        core_.metrics.count("gangs_requeued");
        job.attempt = 0;
        JobLedger::set_gang(job, GangState::kQueued, now);
      }
      return;
  }
}

void Scheduler::launch_gang(Job& job) {
  std::vector<std::string> places;
  for (const auto& hold : job.holds)
    if (hold.confirmed && places.size() < job.spec.tasks) places.push_back(hold.machine);
  release_holds(job);
  job.attempt = next_attempt();
  for (std::uint32_t i = 0; i < job.spec.tasks; ++i) plan(job, i, *core_.machines.find(places[i]), job.attempt);
  JobLedger::set_gang(job, GangState::kLaunching, core_.now.steady);
}

void Scheduler::stop_run(Job& job, std::uint32_t index, double grace) {
  const auto found = job.runs.find(index);
  if (found == job.runs.end()) return;
  if (found->second.state == RunState::kPlanned) {
    drop_run(job, index);  // never sent
    return;
  }
  found->second.stop_grace = grace;
  JobLedger::set_run(job, found->second, RunState::kStopping);
  dirty_ = true;
}

void Scheduler::stop_gang(Job& job, bool orderly, const char* why) {
  spdlog::info("gang {}: all stop: {}", name_of(job), why);
  release_holds(job);
  JobLedger::set_gang(job, GangState::kStopping, core_.now.steady);
  const double grace = orderly && job.spec.checkpoint_s > 0 ? job.spec.save_s + core_.settings.gang_peer_s : 0;
  std::vector<std::uint32_t> indices;
  for (const auto& [index, run] : job.runs) indices.push_back(index);
  for (const auto index : indices) stop_run(job, index, grace);
  send_stops();
}

void Scheduler::stop_machine_tasks(Machine& machine, const char* why) {
  const auto tasks = machine.tasks;
  for (const auto& id : tasks) {
    Job* job = core_.jobs.find(id.job);
    if (job == nullptr) continue;
    if (job->spec.gang) {
      if (job->gang != GangState::kStopping) stop_gang(*job, true, why);
    } else {
      stop_run(*job, id.index, job->spec.checkpoint_s > 0 ? job->spec.save_s + core_.settings.gang_peer_s : 0);
      job->give_back(id.index);
    }
  }
  send_stops();
}

// Stops also go straight to the machines: a late one does no harm, since attempts are never used twice.
void Scheduler::send_stops() {
  if (!election_.answers()) return;
  const double now = core_.now.steady;
  for (auto& [name, machine] : core_.machines.all()) {
    if (!machine.reported || machine.addr.empty() || machine.state == MachineState::kGone) continue;
    std::vector<Order> orders;
    for (const auto& id : machine.tasks) {
      Job* job = core_.jobs.find(id.job);
      if (job == nullptr) continue;
      auto& run = job->runs.at(id.index);
      if (run.state != RunState::kStopping || now - run.last_stop < c::kStopAgainS || orders.size() >= c::kOrdersMax) continue;
      run.last_stop = now;
      orders.push_back({Order::Op::kStop, id, run.attempt, run.stop_grace});
    }
    if (orders.empty()) continue;
    protocol::Call call{0, protocol::Service::kWorker, machine.addr, "POST", names::kPathCommands,
                        protocol::orders_json(election_.term(), orders, machine.session), c::kDirectTimeoutS, false};
    core_.calls.send(std::move(call), [this, name, generation = generation_](const protocol::CallResult& result) {
      if (generation != generation_ || (result.status != 200 && result.status != 409)) return;
      const auto report = protocol::parse_report(result.body);
      Machine* machine = core_.machines.find(name);
      if (!report || machine == nullptr || report->machine != name || machine->state == MachineState::kGone ||
          !MachineLedger::newer(*machine, report->session, report->seq))
        return;
      take_report(*machine, *report, true);
    });
  }
}

// The limit of a gang's team is used up: its own arrays of lower priority step back, fewest lost seconds first.
void Scheduler::free_quota_for(Job& job) {
  const double now = core_.now.steady;
  const auto* team = core_.settings.team(job.spec.team);
  if (team == nullptr || now < job.quota_freed_until) return;
  const auto& used = core_.quota.usage(job.spec.team);
  double excess = used.cpus + job.spec.cpus * job.spec.tasks - team->cpus_max;
  struct Victim {
    Job* job;
    std::uint32_t index;
    double lost;
  };
  std::vector<Victim> victims;
  for (auto& [id, other] : core_.jobs.all()) {
    if (other->spec.gang || other->spec.team != job.spec.team || other->spec.priority >= job.spec.priority) continue;
    for (const auto& [index, run] : other->runs) {
      if (run.state == RunState::kStopping) excess -= other->spec.cpus;
      else victims.push_back({other.get(), index, (run.running_since > 0 ? now - run.running_since : 0) * other->spec.cpus});
    }
  }
  std::sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) {
    return std::tuple(a.lost, a.job->spec.id, a.index) < std::tuple(b.lost, b.job->spec.id, b.index);
  });
  double possible = 0;
  for (const auto& victim : victims) possible += victim.job->spec.cpus;
  if (possible < excess) return;  // other gangs use the limit: it waits for them
  job.quota_freed_until = now + kReserveS;
  std::size_t stopped = 0;
  for (const auto& victim : victims) {
    if (excess <= 0) break;
    excess -= victim.job->spec.cpus;
    stop_run(*victim.job, victim.index, 0);
    victim.job->give_back(victim.index);
    ++stopped;
    core_.metrics.count("preempted");
  }
  if (stopped > 0) spdlog::info("gang {}: {} tasks of its own team stopped for the team's limit", name_of(job), stopped);
  send_stops();
}

// Room for a gang is made from work of lower priority, fewest lost seconds first.
void Scheduler::preempt_for(Job& job) {
  const double now = core_.now.steady;
  for (const auto& [name, machine] : core_.machines.all())
    if (machine.reserved_by == job.spec.id && now < machine.reserved_until) return;  // room is being made already
  struct Victim {
    TaskId task;
    double lost;
  };
  struct Option {
    Machine* machine;
    std::vector<Victim> victims;
    double lost = 0;
  };
  std::vector<Option> options;
  std::uint32_t free_slots = 0;
  for (auto& [name, machine] : core_.machines.all()) {
    if (!takes_work(core_, machine) || !kind_allowed(job.spec, machine.type, machine.zone, machine.spot)) continue;
    if (const auto avoided = job.avoid.find(name); avoided != job.avoid.end() && now < avoided->second) continue;
    if ((machine.reserved_by && now < machine.reserved_until) || claimed_.contains(name)) continue;
    Room room = free_room(core_, machine);
    if (room.fits(job.spec)) {
      free_slots += std::min(room.tasks_of(job.spec), slots_by_count(core_, job, machine));
      continue;
    }
    std::vector<Victim> all;
    for (const auto& id : machine.tasks) {
      Job* other = core_.jobs.find(id.job);
      if (other == nullptr || other->spec.gang || other->spec.priority >= job.spec.priority) continue;
      const auto& run = other->runs.at(id.index);
      const double ran = run.running_since > 0 ? now - run.running_since : 0;
      all.push_back({id, ran * other->spec.cpus});
    }
    std::sort(all.begin(), all.end(), [](const Victim& a, const Victim& b) { return a.lost < b.lost; });
    Option option{&machine, {}, 0};
    for (const auto& victim : all) {
      if (room.fits(job.spec)) break;
      room.give(core_.jobs.find(victim.task.job)->spec);
      option.victims.push_back(victim);
      option.lost += victim.lost;
    }
    if (room.fits(job.spec)) options.push_back(std::move(option));
  }
  if (free_slots >= job.spec.tasks) return;  // count is not what keeps it waiting (zones, say)
  const std::size_t needed = job.spec.tasks - free_slots;
  if (options.size() < needed) return;
  std::sort(options.begin(), options.end(), [](const Option& a, const Option& b) {
    return std::tie(a.lost, a.machine->name) < std::tie(b.lost, b.machine->name);
  });
  for (std::size_t i = 0; i < needed; ++i) {
    options[i].machine->reserved_by = job.spec.id;
    options[i].machine->reserved_until = now + std::max(kReserveS, 3 * core_.settings.report_s);
    for (const auto& victim : options[i].victims) {
      Job* other = core_.jobs.find(victim.task.job);
      stop_run(*other, victim.task.index, 0);
      other->give_back(victim.task.index);
      core_.metrics.count("preempted");
    }
    spdlog::info("gang {}: {} tasks preempted on {}, {:.0f} cpu seconds lost", name_of(job), options[i].victims.size(),
                 options[i].machine->name, options[i].lost);
  }
  send_stops();
}

// ---------------------------------------------------------------- notes

// The durable note of a machine names every job that may be on it; it is written before the first launch, so that a
// new leader knows what a silent machine may hold. Jobs long gone are dropped when it is written anyway.
void Scheduler::note(Machine& machine) {
  if (machine.note_writing || !election_.valid()) return;
  std::set<JobId> wanted = machine.holds;
  for (const auto& id : machine.tasks) wanted.insert(id.job);
  for (const auto& stray : machine.strays) wanted.insert(stray.task.job);
  for (const auto id : machine.may_hold) wanted.insert(id);
  const bool missing = std::any_of(wanted.begin(), wanted.end(), [&](JobId id) { return !machine.noted.contains(id); });
  if (!missing) return;
  Machine image;
  image.addr = machine.addr;
  image.type = machine.type;
  image.zone = machine.zone;
  image.spot = machine.spot;
  image.noted = wanted;
  machine.note_writing = true;
  // What is on record until the answer is the smaller of the two.
  std::set<JobId> both;
  for (const auto id : wanted)
    if (machine.noted.contains(id)) both.insert(id);
  machine.noted = both;
  core_.writer.submit({WriteOp{MachineLedger::key(machine.name), machine.note_stamp, MachineLedger::note(image)}},
                      [this, name = machine.name, wanted, generation = generation_](WriteOutcome outcome, std::uint64_t stamp) {
                        if (generation != generation_) return;
                        Machine* machine = core_.machines.find(name);
                        if (machine == nullptr) return;
                        machine->note_writing = false;
                        if (outcome == WriteOutcome::kDone) {
                          machine->noted = wanted;
                          machine->note_stamp = stamp;
                        } else if (outcome == WriteOutcome::kConflict) {
                          return election_.guard_lost();  // nobody else may write this: start over from the ledger
                        }
                        const auto held = held_.find(name);
                        if (held == held_.end()) return;
                        const auto token = held->second.token;
                        core_.metrics.record(Metrics::Spread::kReportAnswer, core_.now.steady - held->second.began);
                        held_.erase(held);
                        answer_report(*machine, token);
                      });
}

// ---------------------------------------------------------------- durable job states

void Scheduler::write_job(Job& job) {
  bool whole = true;
  const auto limit = static_cast<std::size_t>(core_.settings.value_kb * 1024) - c::kValueSlackBytes;
  auto record = JobLedger::record(job, limit, whole);
  job.writing = true;
  job.last_write = core_.now.steady;
  core_.writer.submit({WriteOp{JobLedger::live_key(job.spec.id), job.stamp, std::move(record)}},
                      [this, id = job.spec.id, version = job.done_version, whole, generation = generation_](
                          WriteOutcome outcome, std::uint64_t stamp) {
                        if (generation != generation_) return;
                        Job* job = core_.jobs.find(id);
                        if (job == nullptr) return;
                        job->writing = false;
                        if (outcome == WriteOutcome::kDone) {
                          job->stamp = stamp;
                          if (whole) job->durable_version = version;
                          push_final(*job);
                        } else if (outcome == WriteOutcome::kConflict) {
                          read_job(id);
                        }
                      });
}

void Scheduler::complete(Job& job) {
  if (job.state != JobState::kActive) return;
  JobLedger::set_state(job, JobState::kCompleting);
  push_final(job);
}

void Scheduler::withdraw(Job& job) {
  if (job.state != JobState::kActive) return;
  // Nothing of it starts from here on, whatever becomes of the write.
  JobLedger::set_state(job, JobState::kWithdrawing);
  push_final(job);
}

// Writes the final record of a job that is about to be over; called again until that is done.
void Scheduler::push_final(Job& job) {
  if (job.writing || (job.state != JobState::kCompleting && job.state != JobState::kWithdrawing)) return;
  const JobId id = job.spec.id;
  const FinalState state = job.state == JobState::kCompleting ? FinalState::kDone : FinalState::kWithdrawn;
  job.writing = true;
  core_.writer.submit({WriteOp{JobLedger::final_key(id), 0, JobLedger::final_record(state)},
                       WriteOp{JobLedger::live_key(id), job.stamp, std::nullopt}},
                      [this, id, state, generation = generation_](WriteOutcome outcome, std::uint64_t) {
                        if (generation != generation_) return;
                        Job* job = core_.jobs.find(id);
                        if (job == nullptr) return;
                        job->writing = false;
                        if (outcome == WriteOutcome::kDone) job_over(*job, state);
                        else if (outcome == WriteOutcome::kConflict) read_job(id);
                      });
}

void Scheduler::read_job(JobId id) {
  if (!reading_.insert(id).second) return;
  core_.state.read(JobLedger::live_key(id), [this, id, generation = generation_](const bookkeeping::StateRead& read) {
    if (generation != generation_) return;
    reading_.erase(id);
    Job* job = core_.jobs.find(id);
    if (read.found == bookkeeping::StateRead::Found::kUnknown) return read_job(id);
    if (read.found == bookkeeping::StateRead::Found::kYes) {
      if (job != nullptr) {
        job->stamp = read.stamp;
        push_final(*job);
        return;
      }
      auto fresh = JobLedger::from_record(read.value, read.stamp, core_.now.steady);
      if (!fresh) return;
      auto& slot = core_.jobs.all()[id];
      slot = std::move(fresh);
      arrived(*slot);
      job_added();
      return;
    }
    if (job == nullptr) return;
    core_.state.read(JobLedger::final_key(id), [this, id, generation](const bookkeeping::StateRead& final) {
      if (generation != generation_) return;
      Job* job = core_.jobs.find(id);
      if (job == nullptr) return;
      if (final.found != bookkeeping::StateRead::Found::kYes) return read_job(id);
      if (const auto state = JobLedger::final_from_record(final.value)) job_over(*job, *state);
    });
  });
}

void Scheduler::job_over(Job& job, FinalState state) {
  if (job.state == JobState::kOver) return;
  JobLedger::set_state(job, JobState::kOver);
  job.final_state = state;
  core_.jobs.remember_final(job.spec.id, state);
  core_.metrics.count(state == FinalState::kDone ? "jobs_done" : "jobs_withdrawn");
  if (spdlog::should_log(spdlog::level::debug))
    spdlog::debug("job {} ({}, {}) {} {:.1f} s after its submission, first task ran after {:.1f} s; {} tasks of {} cpus, estimate {:.0f} s, "
                  "ran {:.0f} s on average, {:.0f} s left",
                  name_of(job), job.spec.job_class, job.spec.team, bookkeeping::to_text(state),
                  (core_.now.wall_ms - job.submitted_ms) / 1000.0,
                  job.first_start > 0 ? job.first_start - job.known_at : -1.0, job.spec.tasks, job.spec.cpus, job.spec.estimate_s,
                  job.ran_count > 0 ? job.ran_sum / job.ran_count : 0.0, time_left(job));
  if (core_.job_over) core_.job_over(job.spec.id, state);
  release_holds(job);
  std::vector<std::uint32_t> indices;
  for (const auto& [index, run] : job.runs) indices.push_back(index);
  for (const auto index : indices) stop_run(job, index, 0);
  send_stops();
  forget_if_clear(job.spec.id);
}

void Scheduler::forget_if_clear(JobId id) {
  Job* job = core_.jobs.find(id);
  // Erased at the next tick, so that callers may go on using the reference.
  if (job != nullptr && job->state == JobState::kOver && job->runs.empty()) dirty_ = true;
}

// ---------------------------------------------------------------- time

double Scheduler::lease_over_at(const Machine& machine) const {
  const double lease = core_.settings.lease_s * (1 + 2 * c::kClockDrift) + c::kLeaseMarginS;
  double last = std::max(machine.last_answer, began_);
  if (!machine.saw_term) last = std::max(last, election_.quiet_at());
  return last + lease;
}

bool Scheduler::give_up(const Machine& machine) const {
  if (machine.state != MachineState::kSilent) return false;
  const double silent_since = std::max(machine.last_report, began_);
  return core_.now.steady - silent_since > std::max(c::kSilentMinS, c::kSilentReports * core_.settings.report_s);
}

void Scheduler::watch_machines() {
  const double now = core_.now.steady;
  const double patience = core_.settings.report_s * c::kReportJitter + c::kRoundSlackS;
  for (auto& [name, machine] : core_.machines.all()) {
    const bool expected = machine.reported || (machine.note_stamp != 0 && duty_ == Duty::kServing);
    if ((machine.state == MachineState::kUp || machine.state == MachineState::kBooting) && expected &&
        now - std::max(machine.last_report, began_) > 2 * patience) {
      MachineLedger::set_state(machine, MachineState::kSilent);
      const auto holds = machine.holds;
      for (const auto id : holds)
        if (Job* job = core_.jobs.find(id); job != nullptr && job->gang == GangState::kHolding) {
          release_holds(*job);
          JobLedger::set_gang(*job, GangState::kQueued, now);
        }
    }
    if (machine.state == MachineState::kSilent || machine.state == MachineState::kReturning) {
      const bool holds_work = !machine.tasks.empty() || !machine.may_hold.empty() || !machine.strays.empty();
      if (holds_work && now > lease_over_at(machine)) {
        spdlog::info("machine {}: its lease is surely over", name);
        lose_tasks(machine, "the lease of its machine is over");
      }
    }
  }
}

void Scheduler::machine_gone(Machine& machine) {
  lose_tasks(machine, "its machine was returned");
  MachineLedger::set_state(machine, MachineState::kGone);
  // Only of machines that this leader has known all their life.
  if (machine.reported && machine.rented_at > 0 && machine.cpus > 0 && machine.known_at - machine.rented_at < 1) {
    const double lived = core_.now.steady - machine.rented_at, all = lived * machine.cpus / 100;
    spdlog::info("machine {} ({}{}) lived {:.0f} s: boot {:.0f} s, useful {:.0f}%, lost {:.0f}%, fetching {:.0f}%", machine.name,
                 machine.type, machine.spot ? " spot" : "", lived, machine.up_at - machine.rented_at, machine.useful / all,
                 machine.lost / all, machine.fetching / all);
  }
  if (machine.note_stamp == 0 || machine.note_writing) return;
  core_.writer.submit({WriteOp{MachineLedger::key(machine.name), machine.note_stamp, std::nullopt}}, [](auto, auto) {});
  machine.note_stamp = 0;
}

// One line whenever the reason changes for which a job with nothing placed waits.
void Scheduler::tell_waits() {
  if (!spdlog::should_log(spdlog::level::debug)) return;
  for (auto& [id, job] : core_.jobs.all()) {
    if (job->state != JobState::kActive || !job->runs.empty() || !job->holds.empty()) continue;
    const char* why = why_waiting(*job);
    if (job->told_why == why) continue;
    job->told_why = why;
    spdlog::debug("job {} waits: {}", name_of(*job), why);
  }
}

void Scheduler::tick() {
  const double now = core_.now.steady;
  if (duty_ == Duty::kNone) return;
  core_.writer.set_paused(!election_.valid());
  for (auto it = held_.begin(); it != held_.end();) {
    if (now < it->second.until) {
      ++it;
      continue;
    }
    const auto token = it->second.token;
    Machine* machine = core_.machines.find(it->first);
    it = held_.erase(it);
    if (machine != nullptr) answer_report(*machine, token);
    else reply_(token, 503, "");
  }
  if (duty_ == Duty::kLoading) return;
  if (duty_ == Duty::kGathering && election_.valid() && gathered()) {
    set_duty(Duty::kServing);
    dirty_ = true;
  }
  watch_machines();
  send_stops();
  if (!election_.valid()) return;
  // Completions of arrays become durable in batches; one job's record at a time is enough.
  for (auto& [id, job] : core_.jobs.all()) {
    push_final(*job);
    if (job->state == JobState::kActive && !job->writing && job->durable_version < job->done_version &&
        now - job->last_write > c::kLedgerEveryS)
      write_job(*job);
  }
  // Before the jobs themselves: a gang cancelled while it waits must not be looked at after it is gone.
  std::erase_if(waiting_gangs_, [](const Job* job) { return job->over(); });
  std::erase_if(core_.jobs.all(), [](const auto& entry) {
    return entry.second->state == JobState::kOver && entry.second->runs.empty();
  });
  for (auto& [name, machine] : core_.machines.all()) note(machine);
  if (duty_ == Duty::kServing) {
    // Holds lapse and waits end by time alone, so a quiet moment needs rounds too.
    if (now - last_round_ > core_.settings.report_s / 2) dirty_ = true;
    round();
    tell_waits();
  }
}

const char* Scheduler::why_waiting(const Job& job) const {
  if (core_.now.steady < job.backoff_until) return "backs off after failures";
  if (blocked(job)) return "a silent machine may still hold its tasks";
  if (!core_.quota.allows(job.spec, job.spec.gang ? job.spec.tasks : 1)) return "its team's limit is reached";
  if (job.tier > 0) return "steps back: it would be late anyway";
  return "no room";
}

}  // namespace robinford::coordination
