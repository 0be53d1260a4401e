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
using bookkeeping::WriteClass;
using bookkeeping::WriteOp;
using bookkeeping::WriteOutcome;
using protocol::ExitWhy;
using protocol::JobId;
using protocol::Order;
using protocol::Report;
using protocol::TaskId;
using protocol::TaskPhase;
using protocol::TaskReport;

namespace {

constexpr double kEarlyPerMb = 40;        // reports kept a MB of memory while the ledger is read
constexpr double kLoadRetryS = 0.3;       // s between tries to read the ledger
constexpr double kUnknownBackoffS = 2.0;  // s: the worker did not know the job yet
constexpr double kRoomBackoffS = 1.0;     // s: our picture of a machine's room was wrong
constexpr double kNobodyYetS = 2.0;       // s that a leader with no machine on record waits for any to report
constexpr double kGatherLookS = 0.2;      // s between two looks at whether the round is full
constexpr double kWatchEveryS = 0.25;     // s between two looks at silent machines
constexpr double kSweepEveryS = 0.2;      // s between two looks at jobs that end or have progress to write
constexpr double kTellEveryS = 1.0;       // s between two lines of why a job waits
constexpr double kDoubtEveryS = 2.0;      // s between two questions to a doubtful machine

std::string name_of(const Job& job) { return protocol::job_id_text(job.spec.id); }

}  // namespace

const char* to_text(Duty duty) {
  switch (duty) {
    case Duty::kNone:
      return "none";
    case Duty::kLoading:
      return "loading";
    case Duty::kGathering:
      return "gathering";
    case Duty::kServing:
      return "serving";
  }
  return "?";
}

Scheduler::Scheduler(Core& core, Election& election, Ways ways)
    : core_(core),
      election_(election),
      ways_(std::move(ways)),
      ask_budget_(
          std::max(c::kDirectLeast, core.settings.cpu_share * c::kDirectPerCore) * core.settings.count,
          std::max(c::kDirectLeast, core.settings.cpu_share * c::kDirectPerCore)) {}

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
  core_.quota.clear();
  early_.clear();
  waiting_gangs_.clear();
  reading_.clear();
  queues_.clear();
  stopping_.clear();
  stray_machines_.clear();
  unseen_.clear();
  unseen_total_ = 0;
  to_ask_.clear();
  open_direct_.clear();
  gang_kept_.clear();
  deaf_ = 0;
  queues_dirty_ = dirty_ = true;
  next_queues_ = next_survey_ = next_watch_ = next_sweep_ = next_tiers_ = 0;
  core_.writer.set_guard("lead", election_.stamp(), [this] { election_.guard_lost(); });
  set_duty(Duty::kLoading);
  load_notices();
}

void Scheduler::end() {
  ++generation_;
  core_.writer.clear_guard();
  for (const auto& [key, report] : early_) ways_.answer(key, 421, {});
  early_.clear();
  waiting_gangs_.clear();
  queues_.clear();
  open_direct_.clear();
  core_.jobs.clear();
  core_.machines.clear();
  core_.quota.clear();
  set_duty(Duty::kNone);
}

void Scheduler::load_failed(std::function<void()> again) {
  // A page that did not come is asked for again by a cheap read after a pause; the lease bounds how long this
  // goes on.
  const double since = core_.now.steady;
  core_.state.read("term", [this, again = std::move(again), since,
                            generation = generation_](const bookkeeping::StateRead&) {
    if (generation != generation_ || duty_ != Duty::kLoading) return;
    if (core_.now.steady - since > kLoadRetryS || core_.state.reachable(core_.now.steady))
      again();
    else
      load_failed(again);
  });
}

// Notices are left by controllers that wrote about a job themselves. What is there before the jobs are read
// needs no other attention; the watch begins where the list was made, so none is missed.
void Scheduler::load_notices() {
  core_.state.list("n/", "",
                   [this, generation = generation_](const std::optional<bookkeeping::StatePage>& page) {
                     if (generation != generation_) return;
                     if (!page) return load_failed([this] { load_notices(); });
                     for (const auto& item : page->items)
                       core_.writer.submit(
                           {{item.key, item.stamp, std::nullopt}}, [](auto, auto) {}, WriteClass::kTidy);
                     watch_notices(page->revision);
                     load_jobs("");
                   });
}

void Scheduler::watch_notices(std::uint64_t after) {
  core_.state.watch(
      "n/", after, [this, after, generation = generation_](const bookkeeping::WatchResult& watch) {
        if (generation != generation_) return;
        for (const auto& event : watch.events) {
          if (event.deleted) continue;
          const auto slash = event.key.rfind('/');
          const auto dot = event.key.find('.');
          if (slash == std::string::npos || dot == std::string::npos) continue;
          if (const auto id = protocol::parse_job_id(event.key.substr(slash + 1, dot - slash - 1))) {
            const bool withdrawn =
                event.value.is_object() && event.value.get_object().contains(bookkeeping::kNoticeWithdrawn);
            if (withdrawn)
              withdrawn_elsewhere(*id);
            else
              read_job(*id);
          }
          core_.writer.submit(
              {{event.key, event.stamp, std::nullopt}}, [](auto, auto) {}, WriteClass::kTidy);
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
  core_.state.list(
      bookkeeping::kLiveJobPrefix, after,
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
          job->before = true;
          core_.jobs.all()[id] = std::move(job);
        }
        if (page->more && !page->items.empty()) return load_jobs(page->items.back().key);
        load_machines("");
      });
}

void Scheduler::load_machines(const std::string& after) {
  core_.state.list(
      bookkeeping::kMachinePrefix, after,
      [this, after, generation = generation_](const std::optional<bookkeeping::StatePage>& page) {
        if (generation != generation_) return;
        if (!page) return load_failed([this, after] { load_machines(after); });
        for (const auto& item : page->items) {
          const std::string group = item.key.substr(std::string(bookkeeping::kMachinePrefix).size());
          if (!core_.machines.read_group(group, item.stamp, item.value, core_.now.steady))
            spdlog::error("the record {} makes no sense", item.key);
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
  for (auto& [name, machine] : core_.machines.all()) {
    know_type(machine);
    if (!machine.unseen) continue;
    ++unseen_[Kind{machine.type, machine.zone, machine.spot}];
    ++unseen_total_;
    if (!machine.addr.empty()) to_ask_.push_back(name);
  }
  for (auto& [id, job] : core_.jobs.all()) {
    // The list may have been made just before another controller withdrew the job.
    if (const auto state = core_.jobs.final_state(id); state && job->state == JobState::kActive) {
      job_over(*job, *state);
      read_job(id);
    }
    if (job->state == JobState::kActive && job->done_count == job->spec.tasks) complete(*job);
    if (job->state == JobState::kActive) arrived(*job);
  }
  count_unseen();
  const double round = core_.settings.report_s * c::kReportJitter + c::kRoundSlackS;
  gather_until_ = core_.now.steady + (unseen_total_ > 0 ? round : std::min(round, kNobodyYetS));
  spdlog::info("ledger read: {} jobs, {} machines", core_.jobs.all().size(), core_.machines.all().size());
  set_duty(Duty::kGathering);
  auto early = std::move(early_);
  early_.clear();
  for (auto& [key, body] : early) report(key, body);
}

// A full round: every machine that an earlier leader may have used has proved what is on it, or does not
// answer.
bool Scheduler::gathered() {
  const double now = core_.now.steady;
  if (now >= gather_until_) return true;
  if (now < next_gather_look_) return false;
  next_gather_look_ = now + kGatherLookS;
  bool any = false;
  for (const auto& [name, machine] : core_.machines.all()) {
    if (machine.unseen && machine.ask_failures < c::kAsksEnough) return false;
    any = any || machine.saw_term;
  }
  return any;
}

void Scheduler::know_type(Machine& machine) {
  const auto found = core_.types.find(machine.type);
  if (found == core_.types.end()) return;
  machine.cpus = found->second.cpus;
  machine.gpus = found->second.gpus;
  machine.memory_gb = found->second.memory_gb;
  machine.room_known = false;
}

// ---------------------------------------------------------------- running books

void Scheduler::place_run(Job& job, std::uint32_t index, TaskRun run, Machine& machine) {
  job.take_task(index);
  job.runs.emplace(index, std::move(run));
  machine.tasks.insert({job.spec.id, index});
  machine.room_known = false;
  if (job.spec.gang) {
    ++machine.gang_tasks;
    machine.gang_cpus += job.spec.cpus;
  }
  core_.quota.charge(job.spec, 1);
}

void Scheduler::drop_run(Job& job, std::uint32_t index) {
  const auto found = job.runs.find(index);
  if (found == job.runs.end()) return;
  if (Machine* machine = core_.machines.find(found->second.machine)) {
    machine->tasks.erase({job.spec.id, index});
    machine->room_known = machine->offered = false;
    if (job.spec.gang) {
      --machine->gang_tasks;
      machine->gang_cpus -= job.spec.cpus;
    }
  }
  core_.quota.refund(job.spec, 1);
  job.runs.erase(found);
  dirty_ = true;
}

void Scheduler::give_back(Job& job, std::uint32_t index) {
  job.give_back(index);
  if (!job.queued) queues_dirty_ = true;
}

void Scheduler::add_hold(Job& job, Machine& machine) {
  const double now = core_.now.steady;
  job.holds.push_back({machine.name, now, now + c::kHoldReports * core_.settings.report_s, false});
  machine.holds.insert(job.spec.id);
  machine.room_known = false;
  machine.gang_cpus += job.spec.cpus;
  machine.idle_since = now;
  core_.quota.charge(job.spec, 1);
}

void Scheduler::release_holds(Job& job) {
  for (const auto& hold : job.holds)
    if (Machine* machine = core_.machines.find(hold.machine)) {
      machine->holds.erase(job.spec.id);
      machine->room_known = machine->offered = false;
      machine->gang_cpus -= job.spec.cpus;
    }
  core_.quota.refund(job.spec, static_cast<std::uint32_t>(job.holds.size()));
  job.holds.clear();
  dirty_ = true;
}

void Scheduler::set_strays(Machine& machine, std::vector<TaskReport> strays) {
  if (strays.empty() && machine.strays.empty()) return;
  core_.quota.refund_strays(machine);
  machine.strays = std::move(strays);
  machine.room_known = false;
  core_.quota.charge_strays(machine, core_.jobs);
  if (machine.strays.empty())
    stray_machines_.erase(machine.name);
  else
    stray_machines_.insert(machine.name);
}

// The machine has proved what is on it, or that nothing of an earlier leader can be.
void Scheduler::clear_unseen(Machine& machine) {
  if (!machine.unseen) return;
  machine.unseen = false;
  const auto found = unseen_.find(Kind{machine.type, machine.zone, machine.spot});
  if (found != unseen_.end() && --found->second <= 0) unseen_.erase(found);
  --unseen_total_;
  unseen_dirty_ = dirty_ = queues_dirty_ = true;
}

// Machines that have proved nothing yet may hold any unplaced task of the jobs that an earlier leader knew.
// Between two counts the sum can only be too high: tasks are adopted and machines seen, and no new task gets
// there.
void Scheduler::count_unseen() {
  unseen_dirty_ = false;
  std::map<std::string, bookkeeping::Usage> usage;
  if (unseen_total_ > 0) {
    for (const auto& [id, job] : core_.jobs.all()) {
      if (!job->before) continue;
      double cpus = 0, gpus = 0;
      for (const auto& [kind, count] : unseen_) {
        if (!kind_allowed(job->spec, std::get<0>(kind), std::get<1>(kind), std::get<2>(kind))) continue;
        const auto type = core_.types.find(std::get<0>(kind));
        cpus += type == core_.types.end() ? c::kAmountMax : type->second.cpus * count;
        gpus += type == core_.types.end() ? c::kAmountMax : type->second.gpus * count;
      }
      auto& used = usage[job->spec.team];
      used.cpus += std::min(cpus, job->unplaced() * job->spec.cpus);
      used.gpus += std::min(gpus, job->unplaced() * job->spec.gpus);
    }
  }
  core_.quota.set_unseen(std::move(usage));
}

std::string Scheduler::audit() {
  const auto right = core_.quota.recount(core_.jobs, core_.machines);
  const auto& books = core_.quota.running();
  for (const auto& team : core_.settings.teams) {
    const auto a = right.find(team.name), b = books.find(team.name);
    const double want = a == right.end() ? 0 : a->second.cpus, have = b == books.end() ? 0 : b->second.cpus;
    if (std::abs(want - have) > 1e-4)
      return "team " + team.name + " uses " + std::to_string(want) + " cpus, the books say " +
             std::to_string(have);
  }
  std::size_t unseen = 0;
  for (auto& [name, machine] : core_.machines.all()) {
    unseen += machine.unseen ? 1 : 0;
    const Room counted = count_room(core_, machine);
    if (machine.room_known && machine.strays.empty() && std::abs(counted.cpus - machine.room.cpus) > 1e-4)
      return "machine " + name + " has " + std::to_string(counted.cpus) + " cpus free, the books say " +
             std::to_string(machine.room.cpus);
    double gangs = 0;
    for (const auto& task : machine.tasks)
      if (const Job* job = core_.jobs.find(task.job); job != nullptr && job->spec.gang)
        gangs += job->spec.cpus;
    for (const auto id : machine.holds)
      for (const auto& hold : core_.jobs.find(id)->holds)
        if (hold.machine == name) gangs += core_.jobs.find(id)->spec.cpus;
    if (std::abs(gangs - machine.gang_cpus) > 1e-4)
      return "machine " + name + ": gangs take " + std::to_string(gangs);
  }
  if (unseen != unseen_total_)
    return std::to_string(unseen) + " machines are unseen, the books say " + std::to_string(unseen_total_);
  for (const auto& [id, job] : core_.jobs.all())
    for (const auto& [index, run] : job->runs) {
      const Machine* machine = core_.machines.find(run.machine);
      if (machine == nullptr || !machine->tasks.contains({id, index}))
        return "a run of " + name_of(*job) + " is on no machine's list";
    }
  return {};
}

// ---------------------------------------------------------------- reports

// Whether this controller may answer a report that shows the token; if not, the report is answered here.
bool Scheduler::entitled(std::uint64_t key, std::uint64_t token) {
  if (token > election_.term()) {
    // Somebody newer leads: the worker must move on at once, while its lease still runs.
    election_.higher_term_seen(token);
    ways_.answer(key, 421, {});
    return false;
  }
  if (duty_ != Duty::kNone && election_.answers()) return true;
  ways_.answer(key, 421, {});
  return false;
}

void Scheduler::report(std::uint64_t key, const Report& report) {
  if (!entitled(key, report.token)) return;
  if (duty_ == Duty::kLoading) {
    if (early_.size() >= core_.per_memory(kEarlyPerMb)) return ways_.answer(key, 503, {});
    early_.emplace_back(key, report);
    return;
  }
  Machine* machine = core_.machines.find(report.machine);
  if (machine == nullptr) {
    machine = &core_.machines.add(report.machine, core_.now.steady);
    machine->rented_at = core_.now.steady;
    spdlog::info("machine {} reports, unexpected", report.machine);
  }
  if (machine->state == MachineState::kGone) return ways_.answer(key, 503, {});
  if (machine->saw_term &&
      (report.token < election_.term() || !MachineLedger::newer(*machine, report.session, report.seq))) {
    // A late copy: it renews nothing. Or the machine was born again, which only a question can tell.
    doubt(*machine);
    return ways_.answer(key, 503, {});
  }
  if (report.token < election_.term()) {
    // It may be a copy from long ago, and an earlier leader's launch may still be on its way: it proves
    // nothing. Our token in the answer ends both, and its next report shows it.
    first_contact(*machine, report);
    machine->last_answer = core_.now.steady;
    return ways_.answer(key, 200, {});
  }
  take_report(*machine, report, false);
  serve_machine(key, *machine);
}

bool Scheduler::same_report(std::uint64_t key, const std::string& name, std::uint64_t session,
                            std::uint64_t seq, std::uint64_t token, std::uint64_t base_seq) {
  Machine* machine =
      duty_ == Duty::kLoading || token != election_.term() ? nullptr : core_.machines.find(name);
  if (machine == nullptr || !machine->saw_term || machine->session != session || machine->seq != base_seq ||
      seq <= base_seq || machine->state == MachineState::kGone || !machine->clears.empty() ||
      !machine->strays.empty())
    return false;
  // A launch that was in flight is settled by a report that does not show it, so those are looked at in full.
  for (const auto& id : machine->tasks)
    if (const Job* job = core_.jobs.find(id.job);
        job == nullptr || job->runs.at(id.index).state == RunState::kLaunched)
      return false;
  if (!entitled(key, token)) return true;
  machine->seq = seq;
  heard(*machine, session, seq);
  confirm_holds(*machine);
  serve_machine(key, *machine);
  return true;
}

// The machine's own report may carry work in its answer.
void Scheduler::serve_machine(std::uint64_t key, Machine& machine) {
  if (may_place() && machine.state == MachineState::kUp) {
    // The report that confirms the last hold of a gang carries the launch in its own answer.
    const auto holders = machine.holds;
    for (const auto id : holders)
      if (Job* job = core_.jobs.find(id); job != nullptr && job->state == JobState::kActive) check_gang(*job);
    fill(machine);
  }
  answer_report(machine, key);
}

void Scheduler::answer_report(Machine& machine, std::uint64_t key) {
  machine.last_answer = core_.now.steady;
  core_.metrics.count("reports");
  ways_.answer(key, 200, orders_for(machine));
}

void Scheduler::first_contact(Machine& machine, const Report& report) {
  machine.addr = report.addr;
  machine.session_guess = std::max(machine.session_guess, report.session);
  if (!machine.unseen && (machine.type != report.type || machine.zone != report.zone)) {
    machine.type = report.type;
    machine.zone = report.zone;
    machine.spot = report.spot;
    know_type(machine);
  }
  if (machine.recorded_addr != machine.addr) core_.machines.touch(machine);
  // It was answered with our token again and again and still does not show it: our answers don't reach it.
  if (++machine.unproven >= c::kUnprovenMost) doubt(machine);
}

// Liveness: only a newer word of the machine counts.
void Scheduler::heard(Machine& machine, std::uint64_t session, std::uint64_t seq) {
  const double now = core_.now.steady;
  machine.session = session;
  machine.seq = seq;
  machine.saw_term = true;
  machine.unproven = 0;
  clear_unseen(machine);
  machine.last_report = now;
  if (!machine.reported) {
    machine.reported = true;
    machine.up_at = now;
    machine.idle_since = now;
    if (machine.rented_at > 0)
      spdlog::info("machine {} up {:.1f} s after its rental", machine.name, now - machine.rented_at);
  }
  if (machine.state == MachineState::kBooting || machine.state == MachineState::kSilent)
    MachineLedger::set_state(machine, MachineState::kUp);
  if (!machine.tasks.empty() || !machine.holds.empty()) machine.idle_since = now;
  dirty_ = true;
}

// The report is the evidence that holds wait for: the room is still free.
void Scheduler::confirm_holds(Machine& machine) {
  for (const auto id : machine.holds) {
    Job* job = core_.jobs.find(id);
    if (job == nullptr) continue;
    for (auto& hold : job->holds)
      if (hold.machine == machine.name && hold.made_at < core_.now.steady) hold.confirmed = true;
  }
}

// What a newer report of a machine proves, once it shows our token. `direct`: it came as the answer to a
// direct command, and a launch in the answer to the last real report may still be under way to the worker.
void Scheduler::take_report(Machine& machine, const Report& report, bool direct) {
  const double now = core_.now.steady;
  const bool new_session = machine.saw_term && report.session > machine.session;
  if (new_session) {
    // Its lease ran out though we answered its reports in time: the answers don't get there.
    if (now - machine.last_answer < core_.settings.lease_s * 0.5) unheard(machine, c::kUnheardMost);
    // Commands for the old session are refused from now on.
    machine.direct.clear();
  }
  machine.addr = report.addr;
  if (machine.type != report.type || machine.zone != report.zone || machine.spot != report.spot ||
      machine.cpus <= 0) {
    clear_unseen(machine);
    machine.type = report.type;
    machine.zone = report.zone;
    machine.spot = report.spot;
    know_type(machine);
  }
  if (machine.recorded_addr != machine.addr) core_.machines.touch(machine);
  heard(machine, report.session, report.seq);
  const bool had_notice = machine.notice_until.has_value();
  machine.notice_until = report.notice_s ? std::optional(now + *report.notice_s) : std::nullopt;
  if (machine.notice_until && !had_notice)
    spdlog::info("machine {} will be taken in {:.0f} s", machine.name, *report.notice_s);

  std::map<TaskId, const TaskReport*> shown;
  for (const auto& task : report.tasks) {
    auto& slot = shown[task.task];
    // Should one task stand twice, the live attempt is the one that matters.
    if (slot == nullptr || slot->phase == TaskPhase::kExited) slot = &task;
  }
  set_strays(machine, {});
  machine.clears.clear();

  // Runs that we know of.
  std::set<TaskId> settled;
  const std::set<TaskId> known = machine.tasks;
  for (const auto& id : known) {
    Job* job = core_.jobs.find(id.job);
    if (job == nullptr) continue;
    const auto found = job->runs.find(id.index);
    if (found == job->runs.end()) continue;
    TaskRun& run = found->second;
    const auto entry = shown.find(id);
    const bool matches = entry != shown.end() && entry->second->attempt == run.attempt;
    if (!matches) {
      if (run.state == RunState::kPlanned) continue;
      if (!run.seen) {
        // Not shown yet. A direct command may still be carried out while its session lasts. Else a real
        // report that is newer than the one whose answer carried the launch settles it: the worker has taken
        // or dropped that answer before it reported again. A direct answer settles nothing.
        const bool settled_now = run.direct ? machine.session > run.launch_session
                                            : !direct && std::tie(machine.session, machine.seq) >
                                                             std::tie(run.launch_session, run.launch_seq);
        if (!settled_now) continue;
        if (!run.direct) {
          unheard(machine, 1);
          job->avoid[machine.name] = now + core_.settings.report_s;
        }
        run_lost(*job, id.index, "the launch did not arrive");
        continue;
      }
      run_lost(*job, id.index,
               new_session ? "its machine began a new session" : "it is not on its machine any more");
      continue;
    }
    const TaskReport& task = *entry->second;
    if (!run.seen) machine.unheard = machine.ask_failures = 0;  // it took an order
    run.seen = true;
    if (task.phase == TaskPhase::kExited) {
      settled.insert(id);
      task_exited(machine, *job, id.index, task);
      continue;
    }
    if (run.state == RunState::kLaunched || run.state == RunState::kPlanned)
      JobLedger::set_run(*job, run, RunState::kPresent);
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
      if (run != job->runs.end() && run->second.machine == machine.name &&
          run->second.attempt == task->attempt)
        continue;
    }
    adopt(machine, *task);
  }
  for (const auto& task : report.tasks) {
    // The second entry of a task that stands twice.
    if (shown[task.task] != &task && task.phase == TaskPhase::kExited) clear_later(machine, task);
  }
  confirm_holds(machine);
}

// An attempt that a direct command started stays listed: the command may come once more, and would start it
// again.
void Scheduler::clear_later(Machine& machine, const TaskReport& task) {
  if (!machine.direct.contains({task.task, task.attempt}))
    machine.clears.push_back({task.task, task.attempt});
}

void Scheduler::adopt(Machine& machine, const TaskReport& task) {
  Job* job = core_.jobs.find(task.task.job);
  if (task.phase == TaskPhase::kExited) {
    clear_later(machine, task);
    if (job == nullptr || job->state != JobState::kActive || task.why != ExitWhy::kDone ||
        task.task.index >= job->spec.tasks)
      return;
    // A result is kept whoever started it. The tasks of a gang complete together.
    if (job->spec.gang) {
      for (std::uint32_t i = 0; i < job->spec.tasks; ++i) job->mark_done(i);
    } else {
      job->mark_done(task.task.index);
    }
    if (job->done_count == job->spec.tasks) complete(*job);
    return;
  }
  const bool wanted = job != nullptr && job->state == JobState::kActive &&
                      task.task.index < job->spec.tasks && !job->done[task.task.index] &&
                      !job->runs.contains(task.task.index) &&
                      (!job->spec.gang || job->attempt == 0 || job->attempt == task.attempt);
  if (!wanted) {
    auto strays = machine.strays;
    strays.push_back(task);
    set_strays(machine, std::move(strays));
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
  place_run(*job, task.task.index, run, machine);
  machine.images[job->spec.image] = core_.now.steady;
  if (job->spec.gang && job->gang == GangState::kStopping) stop_run(*job, task.task.index, 0);
}

void Scheduler::task_exited(Machine& machine, Job& job, std::uint32_t index, const TaskReport& task) {
  const double now = core_.now.steady;
  const TaskRun run = job.runs.at(index);
  drop_run(job, index);
  if (run.running_since > 0)
    (task.why == ExitWhy::kDone || task.saved ? machine.useful : machine.lost) +=
        (now - run.running_since) * job.spec.cpus;
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
    clear_later(machine, task);
    core_.metrics.count("tasks_done");
    return;
  }
  clear_later(machine, task);
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
    give_back(job, index);
    return;
  }
  if (job.gang != GangState::kStopping) stop_gang(job, false, protocol::to_text(task.why));
}

void Scheduler::run_lost(Job& job, std::uint32_t index, const char* why) {
  core_.metrics.count("tasks_lost");
  spdlog::debug("task {}/{} lost: {}", name_of(job), index, why);
  drop_run(job, index);
  if (job.over()) return;
  if (!job.spec.gang) return give_back(job, index);
  if (job.gang != GangState::kStopping) stop_gang(job, false, why);
}

void Scheduler::lose_tasks(Machine& machine, const char* why) {
  const auto tasks = machine.tasks;
  for (const auto& id : tasks) {
    if (Job* job = core_.jobs.find(id.job)) run_lost(*job, id.index, why);
  }
  set_strays(machine, {});
  clear_unseen(machine);
  const auto holds = machine.holds;
  for (const auto id : holds)
    if (Job* job = core_.jobs.find(id)) {
      release_holds(*job);
      if (job->gang == GangState::kHolding) JobLedger::set_gang(*job, GangState::kQueued, core_.now.steady);
    }
  dirty_ = true;
}

// A failed task speaks against its machine, its job, or both: a machine that fails different jobs is set
// aside, a job that fails on different machines is tried ever more rarely.
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
    const double pause = std::min(
        c::kBackoffMaxS, c::kBackoffFirstS * std::pow(2.0, std::max(0.0, job.failed_on.size() - 2.0)));
    job.backoff_until = std::max(job.backoff_until, now + (job_suspect ? pause : 0.0));
  }
  const bool sick = static_cast<int>(machine.error_jobs.size()) >= c::kMachineSuspectErrors ||
                    (works_elsewhere && machine.errors > c::kMachineSuspectErrors);
  spdlog::info("task of {} failed on {} ({} in a row there)", name_of(job), machine.name, machine.errors);
  if (sick && !machine.set_aside) {
    set_aside(machine, "it fails the tasks of different jobs");
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

// The owner's estimate, put right by what the class is usually off by, and drawn towards the class's usual
// run time the more the estimates scatter. The job's own completions count above all. Never relied on for
// safety.
double Scheduler::expected_run(const Job& job) const {
  return job.ran_count >= c::kLearnOwnTasks ? job.ran_sum / job.ran_count : expected_run(job.spec);
}

double Scheduler::expected_run(const protocol::JobSpec& spec) const {
  const auto found = learned_.find(spec.job_class);
  const bool known = found != learned_.end() && found->second.count >= c::kLearnOwnTasks;
  if (spec.estimate_s <= 0) return known ? std::exp(found->second.run) : c::kUnknownRunS;
  const double estimate = std::log(spec.estimate_s);
  if (!known) {
    // Before anything of the class has run, other owners' estimates temper one that is far off.
    if (found == learned_.end() || found->second.estimated < c::kLearnOwnTasks) return spec.estimate_s;
    return std::exp(c::kEstimateTrust * estimate + (1 - c::kEstimateTrust) * found->second.estimates);
  }
  const auto& l = found->second;
  const double trust = (l.run_spread + 0.01) / (l.run_spread + l.error_spread + 0.02);
  return std::exp(trust * (estimate + l.error) + (1 - trust) * l.run);
}

void Scheduler::set_aside(Machine& machine, const char* why) {
  if (machine.set_aside) return;
  machine.set_aside = true;
  core_.metrics.count("machines_set_aside");
  spdlog::info("machine {} is set aside: {}", machine.name, why);
}

// Orders that newer reports show were never taken. Whether the machine is deaf is settled by a question.
void Scheduler::unheard(Machine& machine, int by) {
  machine.unheard += by;
  if (machine.unheard >= c::kUnheardMost) doubt(machine);
}

void Scheduler::doubt(Machine& machine) {
  if (machine.asking > 0 || core_.now.steady - machine.asked_at < kDoubtEveryS) return;
  ask(machine);
}

void Scheduler::launched(Machine& machine, Job& job, TaskRun& run, bool direct) {
  JobLedger::set_run(job, run, RunState::kLaunched);
  run.launched_at = core_.now.steady;
  run.launch_session = machine.session;
  run.launch_seq = machine.seq;
  run.direct = direct;
  core_.metrics.count(direct ? "launches_direct" : "launches");
  if (first_launch_seen_) return;
  first_launch_seen_ = true;
  core_.metrics.record(Metrics::Spread::kTakeover, core_.now.steady - began_);
  spdlog::info("first launch {:.2f} s into term {}", core_.now.steady - began_, election_.term());
}

std::vector<Order> Scheduler::orders_for(Machine& machine) {
  std::vector<Order> orders;
  const bool may_launch = may_place() && machine.state == MachineState::kUp && machine.recorded;
  const auto room = [&] { return orders.size() < c::kOrdersMax; };
  for (const auto& stray : machine.strays)
    if (room()) orders.push_back({Order::Op::kStop, stray.task, stray.attempt, 0});
  // Completions may be cleared before they are durable: a task that is started again ends at once, as done.
  if (election_.valid()) {
    for (const auto& clear : machine.clears)
      if (room()) orders.push_back({Order::Op::kForget, clear.task, clear.attempt, 0});
  }
  for (const auto& id : machine.tasks) {
    Job* job = core_.jobs.find(id.job);
    if (job == nullptr || !room()) continue;
    auto& run = job->runs.at(id.index);
    if (run.state == RunState::kStopping) {
      // A direct launch that nobody answered may still come. Begun and ended here it stays listed as ended,
      // and then does nothing. Of a job that is over nothing may begin: its machine is given up instead
      // (watch_machines).
      if (run.direct && !run.seen && !job->over()) orders.push_back({Order::Op::kStart, id, run.attempt, 0});
      orders.push_back({Order::Op::kStop, id, run.attempt, run.stop_grace});
    } else if (run.state == RunState::kLaunched && run.direct && !run.seen && may_launch &&
               job->state == JobState::kActive) {
      orders.push_back({Order::Op::kStart, id, run.attempt, 0});  // the direct command may be lost
    } else if (run.state == RunState::kPlanned && may_launch && job->state == JobState::kActive &&
               (!job->spec.gang || job->gang == GangState::kLaunching)) {
      orders.push_back({Order::Op::kStart, id, run.attempt, 0});
      launched(machine, *job, run, false);
    }
  }
  return orders;
}

// ---------------------------------------------------------------- durable job and machine states

// A machine's group has to be on record before anything is launched there: a new leader so knows where to
// look.
void Scheduler::write_groups() {
  if (!election_.valid() || duty_ == Duty::kLoading) return;
  const double now = core_.now.steady;
  for (auto& [name, group] : core_.machines.groups()) {
    const double pause = group.urgent ? c::kRecordUrgentS : c::kRecordTidyS;
    if (group.writing || (!group.urgent && !group.outdated) || now - group.last_write < pause) continue;
    std::vector<std::string> named;
    auto record = core_.machines.group_record(name, named);
    std::map<std::string, std::string> addrs;
    for (const auto& member : named) addrs[member] = core_.machines.find(member)->addr;
    const auto urgency = group.urgent ? WriteClass::kFleet : WriteClass::kTidy;
    group.urgent = group.outdated = false;
    if (named.empty() && group.stamp == 0) continue;
    group.writing = true;
    group.last_write = now;
    // What is on record until the answer is known to be what both versions name.
    for (const auto& member : group.members)
      if (Machine* machine = core_.machines.find(member); machine != nullptr && !addrs.contains(member))
        machine->recorded = false;
    WriteOp op{MachineLedger::group_key(name), group.stamp, std::move(record)};
    if (named.empty()) op.value.reset();
    core_.writer.submit(
        {std::move(op)},
        [this, name = name, addrs, generation = generation_](WriteOutcome outcome, std::uint64_t stamp) {
          if (generation != generation_) return;
          auto& group = core_.machines.groups()[name];
          group.writing = false;
          if (outcome == WriteOutcome::kConflict)
            return election_.guard_lost();  // start over from the ledger
          if (outcome != WriteOutcome::kDone) {
            group.urgent = true;
            return;
          }
          group.stamp = addrs.empty() ? 0 : stamp;
          for (const auto& [member, addr] : addrs) {
            Machine* machine = core_.machines.find(member);
            if (machine == nullptr) continue;
            machine->recorded = !addr.empty();
            machine->recorded_addr = addr;
          }
          dirty_ = true;
        },
        urgency);
  }
}

void Scheduler::write_job(Job& job) {
  bool whole = true;
  const auto limit = static_cast<std::size_t>(core_.settings.value_kb * 1024) - c::kValueSlackBytes;
  auto record = JobLedger::record(job, limit, whole);
  job.writing = true;
  job.last_write = core_.now.steady;
  core_.writer.submit(
      {WriteOp{JobLedger::live_key(job.spec.id), job.stamp, std::move(record)}},
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
      },
      WriteClass::kTidy);
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
  // Of a job that is done nothing is left to run. The description of a withdrawn one stays until nothing of
  // it is on any machine, so that a new leader knows what else may be out there and whose limit it counts
  // against.
  WriteOp live{JobLedger::live_key(id), job.stamp, std::nullopt};
  if (state == FinalState::kWithdrawn) {
    bool whole = true;
    live.value = JobLedger::withdrawn_record(JobLedger::record(
        job, static_cast<std::size_t>(core_.settings.value_kb * 1024) - c::kValueSlackBytes, whole));
  }
  core_.writer.submit({WriteOp{JobLedger::final_key(id), 0, JobLedger::final_record(state)}, std::move(live)},
                      [this, id, state, generation = generation_](WriteOutcome outcome, std::uint64_t stamp) {
                        if (generation != generation_) return;
                        Job* job = core_.jobs.find(id);
                        if (job == nullptr) return;
                        job->writing = false;
                        if (outcome == WriteOutcome::kDone) {
                          job->stamp = stamp;
                          job->marked = state == FinalState::kWithdrawn;
                          job_over(*job, state);
                        } else if (outcome == WriteOutcome::kConflict)
                          read_job(id);
                      });
}

// Told before its user is, so that no answer from these books is older than what the user heard.
void Scheduler::withdrawn_elsewhere(JobId id) {
  core_.jobs.remember_final(id, FinalState::kWithdrawn);
  if (!books_good()) return;
  if (Job* job = core_.jobs.find(id); job != nullptr) job_over(*job, FinalState::kWithdrawn);
  read_job(id);  // for the stamp of its record, which is deleted in the end
}

void Scheduler::read_job(JobId id) {
  // A read that is open may have been answered before the write that this call is about: then once more after
  // it. A withdrawal told of while the read of the admission was open was overlooked so, and its job went on
  // as pending.
  if (const auto open = reading_.find(id); open != reading_.end()) {
    open->second = true;
    return;
  }
  reading_.emplace(id, false);
  core_.state.read(JobLedger::live_key(id), [this, id,
                                             generation = generation_](const bookkeeping::StateRead& read) {
    if (generation != generation_) return;
    const bool again = reading_.at(id);
    reading_.erase(id);
    if (again || read.found == bookkeeping::StateRead::Found::kUnknown) return read_job(id);
    Job* job = core_.jobs.find(id);
    if (read.found == bookkeeping::StateRead::Found::kYes) {
      const bool withdrawn = JobLedger::is_withdrawn(read.value);
      if (job != nullptr) {
        if (read.stamp < job->stamp) return;  // answered before what we know of
        job->stamp = read.stamp;
        job->marked = withdrawn;
        if (withdrawn)
          job_over(*job, FinalState::kWithdrawn);
        else
          push_final(*job);
        return;
      }
      auto fresh = JobLedger::from_record(read.value, read.stamp, core_.now.steady);
      if (!fresh || (core_.jobs.final_state(id) && fresh->state == JobState::kActive)) return;
      auto& slot = core_.jobs.all()[id];
      slot = std::move(fresh);
      if (slot->state == JobState::kOver) {
        // Withdrawn before anything of it was placed.
        core_.jobs.remember_final(id, slot->final_state);
        return;
      }
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
    spdlog::debug(
        "job {} ({}, {}) {} {:.1f} s after its submission, first task ran after {:.1f} s; {} tasks of {} "
        "cpus, estimate {:.0f} s, "
        "ran {:.0f} s on average, {:.0f} s left",
        name_of(job), job.spec.job_class, job.spec.team, bookkeeping::to_text(state),
        (core_.now.wall_ms - job.submitted_ms) / 1000.0,
        job.first_start > 0 ? job.first_start - job.known_at : -1.0, job.spec.tasks, job.spec.cpus,
        job.spec.estimate_s, job.ran_count > 0 ? job.ran_sum / job.ran_count : 0.0, time_left(job));
  queues_dirty_ = true;
  if (core_.job_over) core_.job_over(job.spec.id, state);
  release_holds(job);
  std::vector<std::uint32_t> indices;
  for (const auto& [index, run] : job.runs) indices.push_back(index);
  for (const auto index : indices) stop_run(job, index, 0);
  send_stops();
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
  return core_.now.steady - silent_since >
         std::max(c::kSilentMinS, c::kSilentReports * core_.settings.report_s);
}

void Scheduler::watch_machines() {
  const double now = core_.now.steady;
  const double patience = core_.settings.report_s * c::kReportJitter + c::kRoundSlackS;
  for (auto& [name, machine] : core_.machines.all()) {
    const bool expected = machine.reported || (machine.unseen && duty_ == Duty::kServing);
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
    // Launches sent straight to the machine that nobody answered: while its session lasts they may still be
    // carried out, and neither silence nor a lease that is over ends that. Only the cloud's word does.
    bool open_launch = false;
    if (!machine.direct.empty() && machine.state != MachineState::kGone) {
      for (const auto& id : machine.tasks) {
        const Job* job = core_.jobs.find(id.job);
        if (job == nullptr) continue;
        const auto& run = job->runs.at(id.index);
        if (!run.direct || run.seen) continue;
        open_launch = true;
        if (job->over() && now - run.launched_at > c::kDirectDoubtS &&
            machine.state != MachineState::kReturning) {
          spdlog::info("machine {} is given back: a launch of withdrawn work may still reach it", name);
          MachineLedger::set_state(machine, MachineState::kReturning);
        }
      }
    }
    if (machine.state == MachineState::kSilent || machine.state == MachineState::kReturning) {
      const bool holds_work = !machine.tasks.empty() || machine.unseen || !machine.strays.empty();
      if (!holds_work || now <= lease_over_at(machine) || machine.reborn) continue;
      if (open_launch) {
        MachineLedger::set_state(machine, MachineState::kReturning);
        continue;
      }
      spdlog::info("machine {}: its lease is surely over", name);
      lose_tasks(machine, "the lease of its machine is over");
    }
  }
}

void Scheduler::machine_gone(Machine& machine) {
  lose_tasks(machine, "its machine was returned");
  MachineLedger::set_state(machine, MachineState::kGone);
  // Only of machines that this leader has known all their life.
  if (machine.reported && machine.rented_at > 0 && machine.cpus > 0 &&
      machine.known_at - machine.rented_at < 1) {
    const double lived = core_.now.steady - machine.rented_at, all = lived * machine.cpus / 100;
    spdlog::info(
        "machine {} ({}{}) lived {:.0f} s: boot {:.0f} s, useful {:.0f}%, lost {:.0f}%, fetching {:.0f}%",
        machine.name, machine.type, machine.spot ? " spot" : "", lived, machine.up_at - machine.rented_at,
        machine.useful / all, machine.lost / all, machine.fetching / all);
  }
  machine.direct.clear();
  core_.machines.touch(machine);
}

// One line whenever the reason changes for which a job with nothing placed waits.
void Scheduler::tell_waits() {
  if (!spdlog::should_log(spdlog::level::debug) || core_.now.steady < next_tell_) return;
  next_tell_ = core_.now.steady + kTellEveryS;
  for (auto& [id, job] : core_.jobs.all()) {
    if (job->state != JobState::kActive || !job->runs.empty() || !job->holds.empty()) continue;
    const char* why = why_waiting(*job);
    if (job->told_why == why) continue;
    job->told_why = why;
    spdlog::debug("job {} waits: {}", name_of(*job), why);
  }
}

// Jobs that are about to be over, progress worth writing, and jobs of which nothing is left.
void Scheduler::sweep_jobs() {
  const double now = core_.now.steady;
  std::vector<JobId> gone;
  for (auto& [id, job] : core_.jobs.all()) {
    push_final(*job);
    // Progress is only a help to the next leader, so it waits for a quiet moment of the state service.
    if (job->state == JobState::kActive && !job->writing && job->durable_version < job->done_version &&
        now - job->last_write > c::kLedgerEveryS && core_.writer.waiting() < c::kQuietWriter)
      write_job(*job);
    if (job->state != JobState::kOver || !job->runs.empty() || !job->holds.empty() || job->writing ||
        blocked(*job))
      continue;
    const bool strayed =
        std::any_of(stray_machines_.begin(), stray_machines_.end(), [&, id = id](const std::string& name) {
          const Machine* machine = core_.machines.find(name);
          return machine != nullptr &&
                 std::any_of(machine->strays.begin(), machine->strays.end(),
                             [&](const TaskReport& stray) { return stray.task.job == id; });
        });
    if (!strayed) gone.push_back(id);
  }
  if (gone.empty()) return;
  std::erase_if(waiting_gangs_, [](const Job* job) { return job->over(); });
  sort_queues();
  for (const auto id : gone) {
    Job& job = *core_.jobs.find(id);
    if (job.marked)
      core_.writer.submit(
          {WriteOp{JobLedger::live_key(id), job.stamp, std::nullopt}}, [](auto, auto) {}, WriteClass::kTidy);
    core_.jobs.erase(id);
  }
}

void Scheduler::tick() {
  const double now = core_.now.steady;
  if (duty_ == Duty::kNone) return;
  core_.writer.set_paused(!election_.valid());
  if (duty_ == Duty::kLoading) return;
  ask_budget_.refill(now);
  if (duty_ == Duty::kGathering && election_.valid() && gathered()) {
    set_duty(Duty::kServing);
    dirty_ = true;
  }
  if (now >= next_watch_) {
    next_watch_ = now + kWatchEveryS;
    watch_machines();
  }
  send_stops();
  if (!election_.valid()) return;
  ask_unseen();
  write_groups();
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweepEveryS;
    if (unseen_dirty_) count_unseen();
    sweep_jobs();
  }
  if (duty_ == Duty::kServing) {
    // Holds lapse and waits end by time alone, so a quiet moment needs rounds too.
    if (now - last_round_ > std::min(1.0, core_.settings.report_s / 2)) dirty_ = true;
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
