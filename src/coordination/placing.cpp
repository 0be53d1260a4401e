// Which work goes where: the teams' queues, arrays into free room, gangs in rounds of holds, room made by
// preemption.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

#include "constants.hpp"
#include "coordination/scheduler.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::GangState;
using bookkeeping::Job;
using bookkeeping::JobLedger;
using bookkeeping::JobState;
using bookkeeping::Machine;
using bookkeeping::MachineState;
using bookkeeping::RunState;
using bookkeeping::TaskRun;
using protocol::JobId;
using protocol::JobSpec;
using protocol::TaskId;

namespace {

std::string name_of(const Job& job) { return protocol::job_id_text(job.spec.id); }

}  // namespace

// ---------------------------------------------------------------- order of work

Scheduler::Rank Scheduler::rank(const Job& job, std::uint32_t tasks) const {
  Rank rank{!core_.quota.within_guarantee(job.spec, tasks),
            -static_cast<int>(job.priority()),
            job.tier,
            core_.quota.share_used(job.spec.team, core_.share_of(job.spec.team)),
            time_left(job),
            job.submitted_ms,
            job.spec.id};
  // Work that has waited for long comes before the turn of the shares, oldest first: none starves, the
  // largest least.
  if (job.spec.gang ? core_.now.steady - job.known_at > c::kClaimAfterS : waited_too_long(job)) {
    rank.tier = -1;
    rank.share = rank.due = 0;
  }
  return rank;
}

// An array of which nothing has run for long: it has to begin.
bool Scheduler::waited_too_long(const Job& job) const {
  return !job.spec.gang && job.first_start == 0 && core_.now.steady - job.known_at > c::kArrayLongestWaitS;
}

double Scheduler::time_left(const Job& job) const {
  const auto wall_ms = static_cast<double>(core_.now.wall_ms);
  const double inherited = (job.inherited_due_ms - wall_ms) / 1000;
  if (job.spec.deadline_s) return std::min(inherited, (job.due_ms() - wall_ms) / 1000);
  const double age = std::max(0.0, (wall_ms - static_cast<double>(job.eligible_ms())) / 1000);
  for (const auto& objective : core_.settings.objectives)
    if (objective.kind == "finished" && objective.job_class == job.spec.job_class)
      return std::min(inherited, objective.within_s - age);
  return std::min(inherited, c::kDefaultAllowedRuns * expected_run(job) + c::kUnknownRunS - age);
}

// From the moment when it is ready: the image has to be fetched first.
double Scheduler::expected_duration(const Job& job) const {
  double slowest = std::numeric_limits<double>::infinity();
  for (const auto& [name, type] : core_.types)
    if (type.fetch_gb_per_s > 0) slowest = std::min(slowest, type.fetch_gb_per_s);
  const double fetch = std::isfinite(slowest) ? job.spec.image_gb / slowest : 0;
  return expected_run(job) + fetch + 2 * core_.settings.report_s;
}

// Not all can be in time when a team asks for more than its limit. Going through its arrays by due time,
// whenever one would be late the largest so far steps back: so the fewest jobs are late. Those that stepped
// back are sorted the same way once more, against one and a half times the time they had.
void Scheduler::sort_tiers() {
  const double now = core_.now.steady;
  if (now < next_tiers_) return;
  next_tiers_ = now + c::kTiersEveryS;
  dependencies_.inherit([this](const Job& job) { return expected_duration(job); });
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
  double supply = survey_.supply, asked = 0;
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
  const double part = c::kPaceShare * (asked > 0 ? std::clamp(supply / asked, 0.05, 1.0) : 1.0);
  for (auto& [name, waiting] : teams) {
    const double rate = pace[name] * part;
    if (rate <= 0) continue;
    for (int tier = 0; tier < 2; ++tier) {
      const auto limit = [&](const Entry& e) {
        return (tier == 0 ? e.left : e.late_left) - expected_run(*e.job) * c::kLastRunShare;
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
          const auto largest = std::max_element(
              chosen.begin(), chosen.end(), [](const Entry& a, const Entry& b) { return a.work < b.work; });
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
  if (job.spec.estimate_s > 0) {
    auto& learned = learned_[job.spec.job_class];
    learned.estimates += (std::log(job.spec.estimate_s) - learned.estimates) / ++learned.estimated;
  }
  // A new leader reads jobs that came long ago: they must not look like a burst.
  const double now = core_.now.steady - std::max(0.0, (core_.now.wall_ms - job.eligible_ms()) / 1000.0);
  if (job.spec.gang) {
    recent_gangs_.emplace_back(now, job.spec);
    if (recent_gangs_.size() > c::kRecentGangs) recent_gangs_.pop_front();
  } else {
    recent_arrays_.push_back({now, job.spec, job.remaining() * job.spec.cpus, std::max(1.0, time_left(job))});
    while (recent_arrays_.size() > c::kRecentArrays ||
           core_.now.steady - recent_arrays_.front().at > c::kLoadWindowS) {
      recent_arrays_.pop_front();
      if (recent_arrays_.empty()) break;
    }
  }
}

double Scheduler::array_load(double boot_s) const {
  const double now = core_.now.steady;
  std::map<std::string, double> teams;
  for (const auto& arrival : recent_arrays_) {
    if (now - arrival.at > c::kLoadWindowS) continue;
    teams[arrival.spec.team] += arrival.cores * expected_run(arrival.spec) *
                                std::clamp(c::kReadyBoots * boot_s / arrival.allowed, c::kReadyLeast, 1.0);
  }
  // What a service finds waiting when it starts is no rate: the window is never taken as shorter.
  const double window = c::kLoadWindowS;
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
  if (core_.now.steady >= suits_until_) {
    suits_.clear();
    suits_until_ = core_.now.steady + c::kSuitsS;
  }
  const auto [found, fresh] = suits_.try_emplace(Kind{machine.type, machine.zone, machine.spot}, false);
  if (fresh) {
    for (const auto& [when, spec] : recent_gangs_)
      if (kind_allowed(spec, machine.type, machine.zone, machine.spot) &&
          Room{machine.cpus, machine.gpus, machine.memory_gb}.fits(spec)) {
        found->second = true;
        break;
      }
  }
  return found->second;
}

// Arrays fill spot machines first, then those no gang wants, then the rest.
int Scheduler::room_class(const Machine& machine) const {
  if (machine.spot) return 0;
  return suits_gangs(machine) && !has_gang(machine) ? 2 : 1;
}

// An unplaced task may be on a machine that an earlier leader used and that has proved nothing yet.
bool Scheduler::blocked(const Job& job) const {
  if (!job.before || unseen_.empty()) return false;
  return std::any_of(unseen_.begin(), unseen_.end(), [&](const auto& entry) {
    return kind_allowed(job.spec, std::get<0>(entry.first), std::get<1>(entry.first),
                        std::get<2>(entry.first));
  });
}

// The fleet's room at a glance, so that no report has to look at all machines.
void Scheduler::survey() {
  next_survey_ = core_.now.steady + c::kSurveyEveryS;
  survey_ = {};
  for (auto& [name, machine] : core_.machines.all()) {
    if (machine.state == MachineState::kUp || machine.state == MachineState::kBooting)
      survey_.supply += machine.cpus;
    if (!takes_work(core_, machine) || machine.winding_down) continue;
    const double free = std::max(0.0, free_room(core_, machine).cpus);
    for (int above = room_class(machine) + 1; above <= 2; ++above) survey_.better[above] += free;
  }
  std::map<std::string, double> teams;
  for (const auto& [name, queue] : queues_)
    for (const Job* job : queue) teams[name] += job->unplaced() * job->spec.cpus;
  for (const auto& [name, cpus] : teams) survey_.array_demand += std::min(cpus, core_.quota.left(name));
}

// Arrays with tasks to place, each team's in its own order.
void Scheduler::sort_queues() {
  next_queues_ = core_.now.steady + c::kQueuesEveryS;
  queues_dirty_ = false;
  queues_.clear();
  std::map<const Job*, Rank> ranks;
  for (auto& [id, job] : core_.jobs.all()) {
    job->queued = false;
    if (job->spec.gang || job->state != JobState::kActive || job->unplaced() == 0) continue;
    job->queued = true;
    queues_[job->spec.team].push_back(job.get());
    ranks.emplace(job.get(), rank(*job, 1));
  }
  const auto key = [&](const Job* job) {
    const Rank& r = ranks.at(job);
    return std::tuple(r.priority, r.tier, r.due, r.submitted, r.id);
  };
  for (auto& [team, queue] : queues_)
    std::sort(queue.begin(), queue.end(), [&](const Job* a, const Job* b) { return key(a) < key(b); });
}

void Scheduler::plan(Job& job, std::uint32_t index, Machine& machine, std::uint64_t attempt) {
  TaskRun run;
  run.machine = machine.name;
  run.attempt = attempt;
  run.planned_at = core_.now.steady;
  place_run(job, index, std::move(run), machine);
}

// Whether a task of the array may go to the machine now, and how many by count.
bool Scheduler::array_fits(Job& job, Machine& machine, const Room& room, std::uint32_t& slots) {
  const double now = core_.now.steady;
  if (job.state != JobState::kActive || now < job.backoff_until || job.unplaced() == 0 || !job.next_task())
    return false;
  if (!kind_allowed(job.spec, machine.type, machine.zone, machine.spot) || !room.fits(job.spec) ||
      blocked(job))
    return false;
  if (const auto avoided = job.avoid.find(machine.name); avoided != job.avoid.end() && now < avoided->second)
    return false;
  const auto kept = gang_kept_.find(job.spec.team);
  if (!core_.quota.allows(job.spec, 1, kept == gang_kept_.end() ? 0 : kept->second)) return false;
  slots = slots_by_count(core_, job, machine);
  // One that goes before the others by its age begins with a single task: the rest keeps its place in the
  // order of due times. Whole arrays let through by age made others late that were in time.
  if (waited_too_long(job)) slots = job.runs.empty() ? std::min<std::uint32_t>(slots, 1) : 0;
  // A job that failed on several machines is tried with a single task until one succeeds.
  if (static_cast<int>(job.failed_on.size()) >= c::kJobSuspectMachines)
    slots = job.runs.empty() ? std::min<std::uint32_t>(slots, 1) : 0;
  if (slots == 0) return false;
  return !(job.spec.one_zone || job.spec.spread) ||
         zone_allowed(job.spec, zones_of(core_, job, stray_machines_), machine.zone);
}

// Arrays go into the room that the machine's own report shows, in the order of the teams' queues.
std::uint32_t Scheduler::fill(Machine& machine) {
  const double now = core_.now.steady;
  if (!takes_work(core_, machine) || machine.winding_down) return 0;
  if (machine.reserved_by && now < machine.reserved_until) return 0;
  if (queues_dirty_ && now >= next_queues_) sort_queues();
  if (queues_.empty() || free_room(core_, machine).cpus <= 0) return 0;
  if (now >= next_survey_) survey();
  // Room that just came free is the waiting gangs' first: arrays that took it would be stopped again at once.
  if (!machine.offered && !waiting_gangs_.empty() && suits_gangs(machine)) return 0;
  // Machines that should be filled before this one have room for all that waits: they report as well, before
  // long.
  if (survey_.better[room_class(machine)] > survey_.array_demand) return 0;
  struct Turn {
    std::vector<Job*>* queue;
    std::size_t at;
    std::uint32_t slots;
    Rank rank;
  };
  std::vector<Turn> turns;
  Room room = free_room(core_, machine);
  // Moves on to the team's first job that may go here; false when there is none.
  const auto next = [&](Turn& turn) {
    for (; turn.at < turn.queue->size(); ++turn.at) {
      Job& job = *(*turn.queue)[turn.at];
      if (!array_fits(job, machine, room, turn.slots)) continue;
      turn.rank = rank(job, 1);
      return true;
    }
    return false;
  };
  for (auto& [team, queue] : queues_) {
    Turn turn{&queue, 0, 0, {}};
    if (next(turn)) turns.push_back(turn);
  }
  std::uint32_t placed = 0;
  while (!turns.empty()) {
    auto best = std::min_element(turns.begin(), turns.end(),
                                 [](const Turn& a, const Turn& b) { return a.rank < b.rank; });
    Job& job = *(*best->queue)[best->at];
    plan(job, *job.next_task(), machine, next_attempt());
    room.take(job.spec);
    survey_.array_demand -= job.spec.cpus;
    ++placed;
    // The room is smaller now, and the team's share larger.
    const auto at = static_cast<std::size_t>(best - turns.begin());
    for (std::size_t i = turns.size(); i-- > 0;)
      if ((i == at || !room.fits((*turns[i].queue)[turns[i].at]->spec)) && !next(turns[i]))
        turns.erase(turns.begin() + static_cast<std::ptrdiff_t>(i));
  }
  return placed;
}

// With long report intervals, work that has come would wait for most of one: the leader launches by direct
// commands.
void Scheduler::fill_idle() {
  if (!directly() || queues_.empty() || survey_.array_demand <= 0) return;
  for (auto& [name, machine] : core_.machines.all()) {
    if (!direct_room() || !ask_budget_.covers(1)) return;
    if (machine.asking > 0 || !machine.recorded || machine.unheard > 0 ||
        machine.direct.size() >= c::kDirectListMax)
      continue;
    if (fill(machine) > 0) launch_directly(machine);
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
  if (unseen_dirty_) count_unseen();
  waiting_gangs_.clear();
  for (auto& [id, job] : core_.jobs.all()) {
    if (!job->spec.gang || job->state != JobState::kActive) continue;
    if (job->gang != GangState::kRunning) check_gang(*job);
    if (job->gang == GangState::kQueued) waiting_gangs_.push_back(job.get());
  }
  sort_tiers();
  if (now >= next_queues_) sort_queues();
  if (now >= next_survey_) survey();
  std::vector<std::pair<Rank, Job*>> queue;
  for (Job* job : waiting_gangs_)
    if (now >= job->backoff_until && job->runs.empty() && !blocked(*job))
      queue.emplace_back(rank(*job, job->spec.tasks), job);
  std::vector<Offer> open;
  if (!queue.empty()) {
    for (auto& [name, machine] : core_.machines.all())
      if (takes_work(core_, machine) && free_room(core_, machine).cpus > 0) open.push_back({&machine, 0, 0});
  }
  int searches = 0, claims = 0;
  std::vector<const JobSpec*> failed;  // what found no room in this round
  // The teams' shares move with each placement, so the next gang is chosen afresh after each.
  while (!queue.empty()) {
    const auto best = std::min_element(queue.begin(), queue.end());
    Job* job = best->second;
    queue.erase(best);
    const auto& spec = job->spec;
    const auto alike = [&](const JobSpec* other) {
      return other->cpus <= spec.cpus && other->gpus <= spec.gpus && other->memory_gb <= spec.memory_gb &&
             other->tasks <= spec.tasks && other->spot == spec.spot && other->zone == spec.zone &&
             other->types == spec.types && other->one_zone == spec.one_zone && other->spread == spec.spread;
    };
    if (!core_.quota.allows(spec, spec.tasks)) {
      free_quota_for(*job);
      continue;
    }
    const bool hopeless = !job->avoid.empty() ? false : std::any_of(failed.begin(), failed.end(), alike);
    if (!hopeless && place_gang(*job, open)) {
      std::erase(waiting_gangs_, job);
      for (auto& [rank_of, other] : queue)
        if (other->spec.team == spec.team) rank_of = rank(*other, other->spec.tasks);
      continue;
    }
    if (!hopeless) failed.push_back(&spec);
    if (now >= job->next_preempt && searches < c::kPreemptsMost) {
      ++searches;
      job->next_preempt = now + c::kPreemptEveryS;
      preempt_for(*job);
    }
    if (now - job->known_at > c::kClaimAfterS && claims < c::kClaimsMost) {
      ++claims;
      claim_rooms(*job);
      std::erase_if(open, [&](const Offer& offer) { return claimed_.contains(offer.machine->name); });
    }
  }
  for (const auto& offer : open) offer.machine->offered = true;
  // What waiting gangs need of their teams' limits is not for arrays to take, also while it is still being
  // freed: otherwise arrays take it back task by task and the gang never gets the whole.
  gang_kept_.clear();
  std::map<std::string, double> gang_cpus;
  for (const auto& [id, job] : core_.jobs.all())
    if (job->spec.gang) gang_cpus[job->spec.team] += job->spec.cpus * (job->runs.size() + job->holds.size());
  for (const Job* gang : waiting_gangs_) {
    const auto* team = core_.settings.team(gang->spec.team);
    double& used = gang_cpus[gang->spec.team];
    if (static_cast<int>(gang->failed_on.size()) >= c::kJobSuspectMachines || team == nullptr) continue;
    if (used + gang->spec.cpus * gang->spec.tasks > team->cpus_max) continue;
    used += gang->spec.cpus * gang->spec.tasks;
    gang_kept_[gang->spec.team] += gang->spec.cpus * gang->spec.tasks;
  }
  fill_idle();
}

bool Scheduler::place_gang(Job& job, std::vector<Offer>& open) {
  const double now = core_.now.steady;
  std::vector<Offer> offers;
  std::uint32_t all = 0;
  for (const auto& offer : open) {
    Machine& machine = *offer.machine;
    const Room& room = free_room(core_, machine);
    if (!room.fits(job.spec) || !kind_allowed(job.spec, machine.type, machine.zone, machine.spot)) continue;
    if (const auto avoided = job.avoid.find(machine.name);
        avoided != job.avoid.end() && now < avoided->second)
      continue;
    if (machine.reserved_by && *machine.reserved_by != job.spec.id && now < machine.reserved_until) continue;
    if (claimed_.contains(machine.name)) continue;
    // An earlier attempt of this gang stays listed there: a new one might be refused.
    if (!machine.direct.empty() &&
        std::any_of(machine.direct.begin(), machine.direct.end(),
                    [&](const auto& entry) { return entry.first.job == job.spec.id; }))
      continue;
    const auto slots = std::min(room.tasks_of(job.spec), slots_by_count(core_, job, machine));
    if (slots == 0) continue;
    offers.push_back({&machine, slots, room.cpus, machine.images.contains(job.spec.image)});
    all += slots;
  }
  if (all < job.spec.tasks) return false;
  // Extra holds only where the team's limit and the free room allow them.
  auto extra = static_cast<std::uint32_t>(std::floor(job.spec.tasks * core_.policy.overbook + 1e-9));
  while (extra > 0 && !core_.quota.allows(job.spec, job.spec.tasks + extra)) --extra;
  const auto spots = map_gang(job.spec, std::move(offers), job.spec.tasks, extra, core_.policy.concentrate);
  if (!spots) return false;
  for (const auto& spot : *spots) {
    Machine& machine = *core_.machines.find(spot.machine);
    for (std::uint32_t i = 0; i < spot.tasks; ++i) add_hold(job, machine);
    if (machine.reserved_by == job.spec.id) machine.reserved_by.reset();
    // With long report intervals the leader asks for the report that confirms the hold.
    if (directly() && direct_room()) ask(machine);
  }
  std::erase_if(open, [&](const Offer& offer) { return free_room(core_, *offer.machine).cpus <= 0; });
  JobLedger::set_gang(job, GangState::kHolding, now);
  return true;
}

// A wide gang that has waited for long keeps the machines that are free for it out of reach of the gangs
// after it, for this round: otherwise narrow ones take each as it comes free. Arrays may use them meanwhile,
// since they step back.
void Scheduler::claim_rooms(const Job& job) {
  std::uint32_t left = job.spec.tasks;
  for (auto& [name, machine] : core_.machines.all()) {
    if (left == 0) return;
    if (!takes_work(core_, machine) || !kind_allowed(job.spec, machine.type, machine.zone, machine.spot) ||
        claimed_.contains(name))
      continue;
    Room room = free_room(core_, machine);
    for (const auto& id : machine.tasks) {
      const Job* other = core_.jobs.find(id.job);
      if (other != nullptr && !other->spec.gang && other->priority() < job.priority()) room.give(other->spec);
    }
    const auto slots = std::min(left, room.tasks_of(job.spec));
    if (slots == 0) continue;
    claimed_.insert(name);
    left -= slots;
  }
}

void Scheduler::check_gang(Job& job) {
  const double now = core_.now.steady;
  const bool complete_set = job.runs.size() == job.spec.tasks;
  switch (job.gang) {
    case GangState::kQueued:
      if (job.runs.empty()) return;
      // Taken over from an earlier leader: whole, or it has to start again.
      if (complete_set)
        JobLedger::set_gang(job, GangState::kRunning, now);
      else if (!blocked(job))
        stop_gang(job, false, "found incomplete by a new leader");
      return;
    case GangState::kHolding: {
      const auto confirmed =
          std::count_if(job.holds.begin(), job.holds.end(), [](const auto& hold) { return hold.confirmed; });
      if (static_cast<std::uint32_t>(confirmed) >= job.spec.tasks) return launch_gang(job);
      const bool lapsed = std::any_of(job.holds.begin(), job.holds.end(), [&](const auto& hold) {
        return !hold.confirmed && now > hold.lapses_at;
      });
      if (!lapsed) return;
      spdlog::info("gang {}: holds lapsed, queued again", name_of(job));
      core_.metrics.count("holds_lapsed");
      release_holds(job);
      JobLedger::set_gang(job, GangState::kQueued, now);
      return;
    }
    case GangState::kLaunching: {
      const bool all_seen =
          complete_set && std::all_of(job.runs.begin(), job.runs.end(), [](const auto& entry) {
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
  for (std::uint32_t i = 0; i < job.spec.tasks; ++i)
    plan(job, i, *core_.machines.find(places[i]), job.attempt);
  JobLedger::set_gang(job, GangState::kLaunching, core_.now.steady);
  if (!directly()) return;
  for (const auto& name : std::set<std::string>(places.begin(), places.end()))
    if (direct_room()) launch_directly(*core_.machines.find(name));
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
  stopping_.insert(found->second.machine);
  dirty_ = true;
}

void Scheduler::stop_gang(Job& job, bool orderly, const char* why) {
  spdlog::info("gang {}: all stop: {}", name_of(job), why);
  release_holds(job);
  JobLedger::set_gang(job, GangState::kStopping, core_.now.steady);
  const double grace =
      orderly && job.spec.checkpoint_s > 0 ? job.spec.save_s + core_.settings.gang_peer_s : 0;
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
      stop_run(*job, id.index,
               job->spec.checkpoint_s > 0 ? job->spec.save_s + core_.settings.gang_peer_s : 0);
      give_back(*job, id.index);
    }
  }
  send_stops();
}

// The limit of a gang's team is used up: its own arrays of lower priority step back, fewest lost seconds
// first.
void Scheduler::free_quota_for(Job& job) {
  const double now = core_.now.steady;
  const auto* team = core_.settings.team(job.spec.team);
  if (team == nullptr || now < job.quota_freed_until || now < job.next_preempt) return;
  job.next_preempt = now + c::kPreemptEveryS;
  const auto used = core_.quota.usage(job.spec.team);
  double excess = used.cpus + job.spec.cpus * job.spec.tasks - team->cpus_max;
  struct Victim {
    Job* job;
    std::uint32_t index;
    double lost;
  };
  std::vector<Victim> victims;
  for (auto& [id, other] : core_.jobs.all()) {
    if (other->spec.gang || other->spec.team != job.spec.team || other->priority() >= job.priority())
      continue;
    for (const auto& [index, run] : other->runs) {
      if (run.state == RunState::kStopping)
        excess -= other->spec.cpus;
      else
        victims.push_back(
            {other.get(), index, (run.running_since > 0 ? now - run.running_since : 0) * other->spec.cpus});
    }
  }
  std::sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) {
    return std::tuple(a.lost, a.job->spec.id, a.index) < std::tuple(b.lost, b.job->spec.id, b.index);
  });
  double possible = 0;
  for (const auto& victim : victims) possible += victim.job->spec.cpus;
  if (possible < excess) return;  // other gangs use the limit: it waits for them
  job.quota_freed_until = now + c::kReserveS;
  std::size_t stopped = 0;
  for (const auto& victim : victims) {
    if (excess <= 0) break;
    excess -= victim.job->spec.cpus;
    stop_run(*victim.job, victim.index, 0);
    give_back(*victim.job, victim.index);
    ++stopped;
    core_.metrics.count("preempted");
  }
  if (stopped > 0)
    spdlog::info("gang {}: {} tasks of its own team stopped for the team's limit", name_of(job), stopped);
  send_stops();
}

// Room for a gang is made from work of lower priority, fewest lost seconds first.
void Scheduler::preempt_for(Job& job) {
  const double now = core_.now.steady;
  for (const auto& [name, machine] : core_.machines.all())
    if (machine.reserved_by == job.spec.id && now < machine.reserved_until)
      return;  // room is being made already
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
    if (!takes_work(core_, machine) || !kind_allowed(job.spec, machine.type, machine.zone, machine.spot))
      continue;
    if (const auto avoided = job.avoid.find(name); avoided != job.avoid.end() && now < avoided->second)
      continue;
    if ((machine.reserved_by && now < machine.reserved_until) || claimed_.contains(name)) continue;
    Room room = free_room(core_, machine);
    if (room.fits(job.spec)) {
      free_slots += std::min(room.tasks_of(job.spec), slots_by_count(core_, job, machine));
      continue;
    }
    std::vector<Victim> all;
    for (const auto& id : machine.tasks) {
      Job* other = core_.jobs.find(id.job);
      if (other == nullptr || other->spec.gang || other->priority() >= job.priority()) continue;
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
    options[i].machine->reserved_until = now + std::max(c::kReserveS, 3 * core_.settings.report_s);
    for (const auto& victim : options[i].victims) {
      Job* other = core_.jobs.find(victim.task.job);
      stop_run(*other, victim.task.index, 0);
      give_back(*other, victim.task.index);
      core_.metrics.count("preempted");
    }
    spdlog::info("gang {}: {} tasks preempted on {}, {:.0f} cpu seconds lost", name_of(job),
                 options[i].victims.size(), options[i].machine->name, options[i].lost);
  }
  send_stops();
}

}  // namespace robinford::coordination
