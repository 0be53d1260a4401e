// A new leader: reads the ledger, and gathers a full round of reports before it places anything.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "constants.hpp"
#include "coordination/scheduler.hpp"

namespace robinford::coordination {
namespace c = constants;
namespace json = boost::json;
using bookkeeping::JobLedger;
using bookkeeping::JobState;
using bookkeeping::Machine;
using bookkeeping::WriteClass;
using bookkeeping::WriteOutcome;
using protocol::JobId;

namespace {
// The job that a notice is about.
std::optional<JobId> notice_job(const std::string& key) {
  const auto slash = key.rfind('/'), dot = key.find('.');
  if (slash == std::string::npos || dot == std::string::npos || dot < slash) return std::nullopt;
  return protocol::parse_job_id(key.substr(slash + 1, dot - slash - 1));
}
}  // namespace

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
  reread_.clear();
  overdue_.clear();
  looking_at_notices_ = false;
  next_notices_ = 0;
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
  load_notices("", 0);
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
  core_.state.read(
      "term",
      [this, again = std::move(again), since, generation = generation_](const bookkeeping::StateRead&) {
        if (generation != generation_ || duty_ != Duty::kLoading) return;
        if (core_.now.steady - since > c::kLoadRetryS || core_.state.reachable(core_.now.steady))
          again();
        else
          load_failed(again);
      },
      bookkeeping::StateClient::Urgency::kFirst);
}

// Notices are left by controllers that wrote about a job themselves. What is there before the jobs are read
// needs no other attention; the watch begins where the first page was made, so none is missed. After a mass
// restart there may be more than one page.
void Scheduler::load_notices(const std::string& after, std::uint64_t watch_from) {
  if (after.empty()) core_.withdrawals.notices_asked(core_.now.steady);
  core_.state.list(
      "n/", after,
      [this, after, watch_from, generation = generation_](const std::optional<bookkeeping::StatePage>& page) {
        if (generation != generation_) return;
        if (!page) return load_failed([this, after, watch_from] { load_notices(after, watch_from); });
        for (const auto& item : page->items) drop_notice(item.key, item.stamp);
        const auto from = after.empty() ? page->revision : watch_from;
        if (page->more && !page->items.empty()) return load_notices(page->items.back().key, from);
        watch_notices(from);
        load_jobs("");
      });
}

// One that can't be dropped now, since too much waits to be written, is tried again: what is left lying would
// be read by every leader after this one.
void Scheduler::drop_notice(const std::string& key, std::uint64_t stamp) {
  core_.writer.submit(
      {{key, stamp, std::nullopt}},
      [this, key, stamp, generation = generation_](WriteOutcome outcome, std::uint64_t) {
        if (generation == generation_ && outcome == WriteOutcome::kRefused)
          notices_left_.emplace_back(key, stamp);
      },
      WriteClass::kTidy);
}

void Scheduler::watch_notices(std::uint64_t after) {
  core_.state.watch(
      "n/", after, [this, after, generation = generation_](const bookkeeping::WatchResult& watch) {
        if (generation != generation_) return;
        for (const auto& event : watch.events) {
          if (event.deleted) continue;
          if (const auto id = notice_job(event.key)) {
            const bool withdrawn =
                event.value.is_object() && event.value.get_object().contains(bookkeeping::kNoticeWithdrawn);
            if (withdrawn)
              withdrawn_elsewhere(*id);
            else
              read_job(*id);
          }
          drop_notice(event.key, event.stamp);
        }
        if (watch.good) return watch_notices(std::max(after, watch.revision));
        if (watch.too_old) return election_.guard_lost();  // start over: what happened meanwhile is unknown
        // No answer: pause by way of a read, then watch on from the same place.
        core_.state.read(
            "term",
            [this, after, generation](const bookkeeping::StateRead&) {
              if (generation == generation_) watch_notices(after);
            },
            bookkeeping::StateClient::Urgency::kFirst);
      });
}

// The watch tells sooner, but says nothing while it is silent: it may be refused. What this reads proves up
// to when everything that others wrote is known here. The notices themselves are dropped by way of the watch.
void Scheduler::look_at_notices(const std::string& after) {
  if (after.empty()) core_.withdrawals.notices_asked(core_.now.steady);
  looking_at_notices_ = true;
  core_.state.list(
      "n/", after, [this, generation = generation_](const std::optional<bookkeeping::StatePage>& page) {
        if (generation != generation_) return;
        looking_at_notices_ = false;
        if (!page) return;  // again at its time
        for (const auto& item : page->items) {
          if (!item.value.is_object() || !item.value.get_object().contains(bookkeeping::kNoticeWithdrawn))
            continue;
          if (const auto id = notice_job(item.key)) withdrawn_elsewhere(*id);
        }
        if (page->more && !page->items.empty()) return look_at_notices(page->items.back().key);
        core_.withdrawals.notices_read(election_.last_renewed());
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
  core_.state.read(
      "cat",
      [this, generation = generation_](const bookkeeping::StateRead& read) {
        if (generation != generation_) return;
        if (read.found == bookkeeping::StateRead::Found::kYes)
          if (const auto types = protocol::parse_catalog(json::serialize(read.value)))
            for (const auto& type : *types) core_.types[type.name] = type;
        loaded();
      },
      bookkeeping::StateClient::Urgency::kFirst);
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
  // Any machine that has proved nothing yet may hold tasks of what was withdrawn under an earlier leader.
  for (const auto& [id, job] : core_.jobs.all()) {
    if (job->state != JobState::kOver || job->final_state != bookkeeping::FinalState::kWithdrawn) continue;
    for (auto& [name, machine] : core_.machines.all())
      if (machine.unseen && kind_allowed(job->spec, machine.type, machine.zone, machine.spot))
        expect_gone(machine, *job);
  }
  core_.withdrawals.notices_read(election_.last_renewed());
  const double round = core_.settings.report_s * c::kReportJitter + c::kRoundSlackS;
  gather_until_ = core_.now.steady + (unseen_total_ > 0 ? round : std::min(round, c::kNobodyYetS));
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
  next_gather_look_ = now + c::kGatherLookS;
  bool any = false;
  for (const auto& [name, machine] : core_.machines.all()) {
    // One unanswered question is enough here: a silent machine proves nothing by being waited for, and what
    // may be on it stays blocked until it does.
    if (machine.unseen && machine.ask_failures == 0) return false;
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

}  // namespace robinford::coordination
