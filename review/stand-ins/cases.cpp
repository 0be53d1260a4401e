#include "cases.hpp"

#include <csignal>
#include <iostream>
#include <vector>

#include "protocol/names.hpp"

namespace review {
namespace n = robinford::names;
namespace p = robinford::protocol;

JobSpec small_job(JobId id) {
  JobSpec spec;
  spec.id = id;
  spec.job_class = "slotscore";
  spec.team = "slotting";
  spec.priority = p::Priority::kNormal;
  spec.tasks = 1;
  spec.cpus = 1;
  spec.memory_gb = 1;
  spec.image = "img-07";
  spec.image_gb = 0.7;
  spec.estimate_s = 2;
  return spec;
}

namespace {

using RunPtr = std::shared_ptr<Run>;

void look_for_leader(const RunPtr& run, const std::function<void(int)>& ready) {
  run->site.find_leader([run, ready](int leader) {
    if (leader >= 0)
      return run->site.after(4, [run, ready] {
        run->site.find_leader([run, ready](int leader) {
          if (leader < 0) return look_for_leader(run, ready);
          run->site.log("herder-" + std::to_string(leader) + " leads");
          ready(leader);
        });
      });
    if (run->site.now() > 20) {
      run->site.log("no controller leads");
      return run->finish(2);
    }
    run->site.after(0.3, [run, ready] { look_for_leader(run, ready); });
  });
}

// One small job now and then, to show that the service goes on.
void keep_submitting(const RunPtr& run, JobId id, double every_s) {
  run->site.submit(small_job(id));
  run->site.after(every_s, [=] { keep_submitting(run, id + 1, every_s); });
}

bool creates_live_job(const StateRequest& request) {
  return request.target == n::kPathTxn && request.body.find("\"put\":\"j/") != std::string::npos;
}

// ---------------------------------------------------------------- lost answers of transactions

constexpr double kLeftWaitingS = 90;  // the rule's bound
constexpr double kLossForS = 5, kLossShare = 0.25;
constexpr int kBurst = 25;

struct LeftWaiting {
  std::map<JobId, double> since;  // beside room that fits, without a pause
};

void look_for_waiting(const RunPtr& run, const std::shared_ptr<LeftWaiting>& waiting, double from) {
  auto& site = run->site;
  std::size_t open = 0, burst_done = 0;
  for (auto& [id, job] : site.jobs) {
    if (id <= kBurst && job.done >= 0) ++burst_done;
    if (job.accepted < 0 || job.first_start >= 0 || job.cancel_asked >= 0 || !site.room_for(job.spec)) {
      waiting->since.erase(id);
      continue;
    }
    const auto [entry, fresh] = waiting->since.emplace(id, std::max(site.now(), job.accepted));
    if (site.now() - entry->second >= kLeftWaitingS) ++open;
  }
  if (open > 0) {
    std::string names;
    for (const auto& [id, since] : waiting->since)
      if (site.now() - since >= kLeftWaitingS) names += " " + p::job_id_text(id);
    std::size_t others = 0;
    for (const auto& [id, job] : site.jobs)
      if (job.accepted > from && job.done >= 0) ++others;
    site.log(std::to_string(others) + " jobs that were accepted after the disruption are done");
    site.broken("left_waiting", "accepted jobs that wait for 90 s beside room that fits:" + names);
    return run->finish(1);
  }
  if (burst_done == kBurst && site.now() > from + 10) return run->finish(site.rules_broken > 0 ? 1 : 0);
  site.after(0.5, [=] { look_for_waiting(run, waiting, from); });
}

void lost_answers(const RunPtr& run) {
  when_serving(run, [run](int) {
    auto& site = run->site;
    keep_submitting(run, 900001, 3);
    site.after(2, [run] {
      auto& site = run->site;
      const double until = site.now() + kLossForS;
      site.log("the disruption begins");
      if (run->trouble)
        site.fate = [run, until, dice = std::make_shared<std::mt19937_64>(42)](const StateRequest& request) {
          Fate fate;
          if (request.target != n::kPathTxn || run->site.now() >= until) return fate;
          if (static_cast<double>((*dice)() % 1000) >= kLossShare * 1000) return fate;
          run->site.log("state service: the answer of a transaction is lost, its connection is reset" +
                        std::string(creates_live_job(request) ? " (it creates a job)" : ""));
          fate.reset = true;
          return fate;
        };
      for (int i = 0; i < kBurst; ++i)
        site.after(i * kLossForS / kBurst, [run, i] { run->site.submit(small_job(static_cast<JobId>(i) + 1)); });
      site.after(kLossForS, [run] {
        run->site.log("the disruption is over");
        look_for_waiting(run, std::make_shared<LeftWaiting>(), run->site.now());
      });
    });
  });
}

// ---------------------------------------------------------------- lower limits of the state service

constexpr double kForgottenS = 90;  // the rule's bound
constexpr std::size_t kBuilds = 150;
constexpr JobId kLongJob = 1, kShortJob = 2;

// A job that many machine types may run, among them both of this site; its description has about 3.5 KB.
JobSpec job_of_many_types(JobId id, double run_s) {
  JobSpec spec = small_job(id);
  spec.estimate_s = run_s;
  spec.types = std::vector<std::string>{"kutia", "sklad"};
  for (std::size_t i = 0; i < kBuilds; ++i) spec.types->push_back("vitosha-" + std::to_string(1000 + i) + "-large");
  return spec;
}

void judge_polls(const RunPtr& run, double from) {
  auto& site = run->site;
  const auto& job = site.jobs.at(kLongJob);
  std::size_t asked = 0, answered = 0, others = 0, others_answered = 0;
  for (const auto& [id, other] : site.jobs)
    for (const auto& poll : other.polls) {
      if (poll.sent < from) continue;
      const bool good = poll.status == 200 || poll.status == 404;
      (id == kLongJob ? asked : others) += 1;
      if (good) (id == kLongJob ? answered : others_answered) += 1;
    }
  if (job.cancelled >= 0 || answered > 0) {
    site.log("the job is known: " + std::to_string(answered) + " of " + std::to_string(asked) + " polls answered" +
             (job.cancelled >= 0 ? ", and its cancellation is confirmed" : ""));
    return run->finish(site.rules_broken > 0 ? 1 : 0);
  }
  if (site.now() - from < kForgottenS) return site.after(0.5, [=] { judge_polls(run, from); });
  site.log("polls of other jobs: " + std::to_string(others_answered) + " of " + std::to_string(others) + " answered");
  if (asked < 12 || others_answered * 2 <= others) return run->finish(2);
  site.broken("forgotten", "all " + std::to_string(asked) + " polls for " + p::job_id_text(kLongJob) +
                               " failed for 90 s, and its cancellation was not answered");
  run->finish(1);
}

void repeat_and_cancel(const RunPtr& run) {
  auto& site = run->site;
  for (int node = 0; node < site.options.controllers; ++node)
    site.submit_once(site.jobs.at(kShortJob).spec, node, [run, node](int status, const std::string&) {
      if (status == 400 || status == 422)
        run->site.broken("forgotten", "a repeated submission of " + p::job_id_text(kShortJob) + " at herder-" +
                                          std::to_string(node) + " is answered with " + std::to_string(status));
    });
  site.after(2, [run] {
    run->site.cancel(kLongJob);
    judge_polls(run, run->site.now());
  });
}

void look_for_new_leader(const RunPtr& run) {
  run->site.find_leader([run](int leader) {
    if (leader < 0) return run->site.after(0.2, [run] { look_for_new_leader(run); });
    run->site.after(3, [run] {
      run->site.log("the state service has its new limits");
      run->site.store().set_limits(run->site.now(), 2.0, 10, 28.0);
      repeat_and_cancel(run);
    });
  });
}

void lower_limits(const RunPtr& run) {
  when_serving(run, [run](int leader) {
    auto& site = run->site;
    keep_submitting(run, 900001, 3);
    site.submit(job_of_many_types(kLongJob, 600));
    site.submit(job_of_many_types(kShortJob, 0.2), false);
    site.after(3.5, [run, leader] {
      auto& site = run->site;
      if (site.jobs.at(kLongJob).starts == 0 || site.jobs.at(kShortJob).completed.empty()) {
        site.log("the jobs do not run");
        return run->finish(2);
      }
      if (!run->trouble) return repeat_and_cancel(run);
      site.options.state_next = "value_kb = 2.0\ntxn_ops = 10\nwrite_rps = 28.0\n";
      site.write_settings();
      site.log("the controllers are restarted with settings that announce the limits to come");
      for (int node = 0; node < site.options.controllers; ++node)
        if (node != leader) site.signal_controller(node, SIGKILL);
      site.after(3, [run, leader] {
        run->site.signal_controller(leader, SIGKILL);
        run->site.after(1.5, [run] { look_for_new_leader(run); });
      });
    });
  });
}

// ---------------------------------------------------------------- an array that is bound to a zone

constexpr JobId kBoundJob = 1, kOtherArray = 2, kGang = 3;
constexpr double kBoundRunS = 30, kLongRunS = 600;

void look_for_bound_job(const RunPtr& run, double lost_at) {
  auto& site = run->site;
  const auto& job = site.jobs.at(kBoundJob);
  if (job.done >= 0) return run->finish(site.rules_broken > 0 ? 1 : 0);
  if (!run->trouble) return site.after(0.5, [=] { look_for_bound_job(run, lost_at); });
  // What ran on the machine is known to be gone once its lease is over; the wait counts from then.
  static double since = -1;
  const bool waits = site.now() > lost_at + site.options.lease_s + 1 && site.machine_of(kBoundJob).empty();
  if (!waits || !site.room_for(job.spec))
    since = -1;
  else if (since < 0)
    since = site.now();
  if (since >= 0 && site.now() - since >= kLeftWaitingS) {
    std::size_t others = 0;
    for (const auto& [id, other] : site.jobs)
      if (other.accepted > lost_at && other.done >= 0) ++others;
    site.log(std::to_string(others) + " jobs that were accepted after the disruption are done");
    site.broken("left_waiting", p::job_id_text(kBoundJob) + " waits for 90 s beside room in its zone");
    return run->finish(1);
  }
  site.after(0.5, [=] { look_for_bound_job(run, lost_at); });
}

void bound_array(const RunPtr& run) {
  auto& site = run->site;
  JobSpec bound = small_job(kBoundJob);
  bound.zone = "dunav";
  bound.estimate_s = kBoundRunS;
  JobSpec other = small_job(kOtherArray);
  other.tasks = 3;
  other.zone = "trakia";
  other.estimate_s = kLongRunS;
  JobSpec gang = small_job(kGang);
  gang.job_class = "wavesolve";
  gang.team = "routing";
  gang.gang = true;
  gang.priority = p::Priority::kHigh;
  gang.types = std::vector<std::string>{"kutia"};
  gang.zone = "dunav";
  gang.cpus = 8;
  gang.memory_gb = 20;
  gang.checkpoint_s = 20;
  gang.save_s = 5;
  gang.estimate_s = kLongRunS;
  site.after(1, [run, other] { run->site.submit(other); });
  site.after(2, [run, bound, gang] {
    run->site.submit(bound);
    run->site.submit(gang);
    keep_submitting(run, 900001, 3);
  });
  site.after(10, [run] {
    auto& site = run->site;
    const std::string machine = site.machine_of(kBoundJob);
    if (machine.empty() || site.machine_of(kGang).empty() || machine == site.machine_of(kGang)) {
      site.log("the jobs do not run as planned");
      return run->finish(2);
    }
    if (run->trouble) site.stop_machine(machine);
    look_for_bound_job(run, site.now());
  });
}

}  // namespace

void when_serving(const RunPtr& run, std::function<void(int)> ready) { look_for_leader(run, ready); }

Options options_of(const std::string& name) {
  Options options;
  if (name == "bound-array") options.rented = {{"sklad", "trakia", 0}, {"sklad", "dunav", 4}, {"kutia", "dunav", 6}};
  return options;
}

void start_case(const std::string& name, const RunPtr& run) {
  if (name == "lost-answers") return lost_answers(run);
  if (name == "bound-array") return bound_array(run);
  if (name == "lower-limits") return lower_limits(run);
  std::cerr << "unknown case " << name << '\n';
  run->finish(2);
}

}  // namespace review
