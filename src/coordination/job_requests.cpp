#include "coordination/job_requests.hpp"

#include <spdlog/spdlog.h>

#include "constants.hpp"
#include "protocol/names.hpp"

namespace robinford::coordination {
namespace c = constants;
namespace n = names;
using bookkeeping::FinalState;
using bookkeeping::Job;
using bookkeeping::JobLedger;
using bookkeeping::JobState;
using bookkeeping::StateRead;
using bookkeeping::WriteOp;
using bookkeeping::WriteOutcome;
using protocol::JobId;
using protocol::JobSpec;

namespace {
UserAnswer refuse(int status, const std::string& reason) {
  return {status, 0, protocol::error_json(reason), std::nullopt};
}
}  // namespace

JobRequests::JobRequests(Core& core, Election& election, Scheduler& scheduler, Nudge nudge)
    : core_(core), election_(election), scheduler_(scheduler), nudge_(std::move(nudge)) {}

UserAnswer JobRequests::busy(const char* reason) {
  return {503, c::kRetryAfterS, protocol::error_json(reason), std::nullopt};
}

UserAnswer JobRequests::state_answer(int status, const Job& job) const {
  // Its end may be durable already, and another controller may have read and told it: nothing older from
  // here.
  if (job.state == JobState::kCompleting || job.state == JobState::kWithdrawing)
    return busy("its end is being written");
  if (job.state == JobState::kOver) return final_answer(job.spec.id, job.final_state);
  std::uint32_t active = 0;
  for (const auto& [index, run] : job.runs)
    if (run.phase == protocol::TaskPhase::kRunning && run.seen) ++active;
  return {status, 0,
          protocol::job_poll_json(job.spec.id, active > 0 ? n::kStateRunning : n::kStateQueued,
                                  job.done_count, active),
          std::nullopt};
}

UserAnswer JobRequests::final_answer(JobId id, FinalState state) const {
  return {200, 0, protocol::job_state_json(id, bookkeeping::to_text(state)),
          state == FinalState::kWithdrawn ? std::optional(id) : std::nullopt};
}

void JobRequests::look_up(JobId id, std::function<void(const Known&)> done) {
  if (const auto state = core_.jobs.final_state(id)) return done({Known::What::kFinal, *state, {}});
  core_.state.read(JobLedger::live_key(id), [this, id, done = std::move(done)](const StateRead& live) {
    if (live.found == StateRead::Found::kUnknown) return done({});
    if (live.found == StateRead::Found::kYes) {
      if (!JobLedger::is_withdrawn(live.value)) return done({Known::What::kLive, FinalState::kDone, live});
      scheduler_.withdrawn_elsewhere(id);
      return done({Known::What::kFinal, FinalState::kWithdrawn, {}});
    }
    // A job moves from live to final and never back, so this order misses none.
    core_.state.read(JobLedger::final_key(id), [this, id, done](const StateRead& final) {
      if (final.found == StateRead::Found::kUnknown) return done({});
      if (final.found == StateRead::Found::kNo) return done({Known::What::kNever, FinalState::kDone, {}});
      const auto state = JobLedger::final_from_record(final.value);
      if (!state) return done({});
      if (*state == FinalState::kWithdrawn)
        scheduler_.withdrawn_elsewhere(id);
      else
        core_.jobs.remember_final(id, *state);
      done({Known::What::kFinal, *state, {}});
    });
  });
}

void JobRequests::answer_known(JobId id, const Known& known, const UserAnswer& never, const Reply& reply) {
  switch (known.what) {
    case Known::What::kLive: {
      const auto job = JobLedger::from_record(known.live.value, known.live.stamp, core_.now.steady);
      if (!job) return reply(busy("the record can't be read"));
      return reply({200, 0, protocol::job_poll_json(id, n::kStateQueued, job->done_count, 0), std::nullopt});
    }
    case Known::What::kFinal:
      return reply(final_answer(id, known.state));
    case Known::What::kNever:
      return reply(never);
    case Known::What::kUnknown:
      return reply(busy("the state service does not answer"));
  }
}

// ---------------------------------------------------------------- submissions

void JobRequests::submit(const std::string& body, Reply reply) {
  const auto parsed = protocol::parse_job(body);
  if (!parsed.id) return reply(refuse(400, parsed.error));
  const JobId id = *parsed.id;
  // A known job is answered before its description is judged again.
  if (const auto state = core_.jobs.final_state(id)) return reply(final_answer(id, *state));
  if (leading() && core_.jobs.find(id) != nullptr) return answer_live(id, std::move(reply));
  const auto judged = [this, id, reply](int status, const std::string& reason) {
    if (status == 503) return reply(busy(reason.c_str()));
    look_up(id, [this, id, reply, status, reason](const Known& known) {
      answer_known(id, known, refuse(status, reason), reply);
    });
  };
  if (!parsed.spec) return judged(400, parsed.error);
  validate(*parsed.spec, [this, spec = *parsed.spec, judged, reply](int status, const std::string& reason) {
    if (status != 0) return judged(status, reason);
    admit(spec, reply);
  });
}

// Status 0: acceptable. Only what can never run is refused for good.
void JobRequests::validate(const JobSpec& spec, const std::function<void(int, std::string)>& done) {
  const auto judge = [this, spec, done] {
    const auto* team = core_.settings.team(spec.team);
    if (team == nullptr) return done(422, "unknown team");
    const double tasks = spec.gang ? spec.tasks : 1;
    if (spec.cpus * tasks > team->cpus_max || spec.gpus * tasks > team->gpus_max)
      return done(422, "needs more than the limit of its team");
    for (const auto& [name, type] : core_.types) {
      if (!Room{type.cpus, type.gpus, type.memory_gb}.fits(spec)) continue;
      for (const auto& zone : type.zones)
        if (kind_allowed(spec, name, zone, false)) return done(0, "");
    }
    done(422, "a task fits no allowed machine type");
  };
  if (!core_.types.empty()) return judge();
  core_.state.read("cat", [this, judge, done](const StateRead& read) {
    if (read.found == StateRead::Found::kYes)
      if (const auto types = protocol::parse_catalog(boost::json::serialize(read.value)))
        for (const auto& type : *types) core_.types[type.name] = type;
    if (core_.types.empty()) return done(503, "the machine types are not known yet");
    judge();
  });
}

void JobRequests::admit(const JobSpec& spec, Reply reply) {
  const JobId id = spec.id;
  auto& waiting = admitting_[id];
  waiting.push_back(std::move(reply));
  if (waiting.size() > 1) return;  // the same job is being written already
  Job draft;
  draft.spec = spec;
  draft.done.resize(spec.tasks);
  draft.submitted_ms = core_.now.wall_ms;
  bool whole = true;
  std::vector<WriteOp> ops{WriteOp{JobLedger::live_key(id), 0, JobLedger::record(draft, c::kBodyMax, whole)},
                           WriteOp{JobLedger::final_key(id), 0, std::nullopt, true}};
  // A leader that did not write this itself learns of it by the notice.
  const bool own_books = leading();
  if (!own_books) ops.push_back(ChangeLog::entry(id, core_.incarnation, ++log_entries_, false));
  const auto submitted = draft.submitted_ms;
  const std::uint64_t term = election_.term();
  core_.writer.submit(std::move(ops), [this, id, spec, submitted, own_books, term](WriteOutcome outcome,
                                                                                   std::uint64_t stamp) {
    const auto found = admitting_.find(id);
    if (found == admitting_.end()) return;
    const auto replies = std::move(found->second);
    admitting_.erase(found);
    const auto all = [&](const UserAnswer& answer) {
      for (const auto& reply : replies) reply(answer);
    };
    if (outcome == WriteOutcome::kDone) {
      if (own_books && leading() && election_.term() == term) {
        // The answer may come after that to a cancellation which went another way.
        if (core_.jobs.find(id) == nullptr && !core_.jobs.final_state(id)) {
          scheduler_.arrived(core_.jobs.add(spec, stamp, submitted, core_.now.steady));
          scheduler_.job_added();
        }
      } else {
        nudge_(id);
      }
      core_.metrics.count("jobs_accepted");
      return all({201, 0, protocol::job_state_json(id, n::kStateQueued), std::nullopt});
    }
    if (outcome == WriteOutcome::kConflict) {
      look_up(id, [this, id, replies](const Known& known) {
        for (const auto& reply : replies) answer_known(id, known, busy("try again"), reply);
      });
      return;
    }
    all(busy("not written"));
  });
}

// ---------------------------------------------------------------- polls

void JobRequests::poll(JobId id, Reply reply) {
  if (const auto state = core_.jobs.final_state(id)) return reply(final_answer(id, *state));
  if (leading() && core_.jobs.find(id) != nullptr) return answer_live(id, std::move(reply));
  answer_from_records(id, std::move(reply));
}

// The leader's own state of the job is the answer, once no other controller can have told a user anything
// newer: at once while all of them are in touch, else after a read of the change log, which all questions
// that wait share. One read of the record for each question exhausted the state service's limit as soon as
// one controller was away.
void JobRequests::answer_live(JobId id, Reply reply) {
  if (core_.withdrawals.current(core_.now.steady)) return answer_from_memory(id, reply);
  scheduler_.change_log().after_fresh_read([this, id, reply = std::move(reply)](bool read) {
    if (!read || !leading()) return reply(busy("the state service does not answer"));
    answer_from_memory(id, reply);
  });
}

void JobRequests::answer_from_memory(JobId id, const Reply& reply) {
  if (const auto state = core_.jobs.final_state(id)) return reply(final_answer(id, *state));
  if (const Job* job = core_.jobs.find(id)) return reply(state_answer(200, *job));
  answer_from_records(id, reply);
}

void JobRequests::answer_from_records(JobId id, Reply reply) {
  look_up(id, [this, id, reply = std::move(reply)](const Known& known) {
    // Its record, read since the question came, says that it is not withdrawn; the leader knows more of its
    // tasks.
    if (known.what == Known::What::kLive && leading())
      if (const Job* job = core_.jobs.find(id)) return reply(state_answer(200, *job));
    answer_known(id, known, refuse(404, "no such job"), reply);
  });
}

// ---------------------------------------------------------------- cancellations

void JobRequests::abort(JobId id, Reply reply) {
  if (const auto state = core_.jobs.final_state(id)) return reply(final_answer(id, *state));
  if (leading()) {
    if (Job* job = core_.jobs.find(id)) {
      // Registered first: with a final state on its way the answer is whichever becomes durable.
      aborting_[id].push_back(std::move(reply));
      scheduler_.withdraw(*job);
      return;
    }
  }
  abort_directly(id, c::kAbortTries, reply);
}

void JobRequests::job_over(JobId id, FinalState state) {
  const auto found = aborting_.find(id);
  if (found == aborting_.end()) return;
  const auto replies = std::move(found->second);
  aborting_.erase(found);
  for (const auto& reply : replies) reply(final_answer(id, state));
}

void JobRequests::end() {
  const auto aborting = std::move(aborting_);
  aborting_.clear();
  for (const auto& [id, replies] : aborting)
    for (const auto& reply : replies) reply(busy("leadership changes"));
}

void JobRequests::abort_directly(JobId id, int tries, const Reply& reply) {
  if (tries == 0) return reply(busy("the job is changing"));
  look_up(id, [this, id, tries, reply](const Known& known) {
    if (known.what != Known::What::kLive) return answer_known(id, known, refuse(404, "no such job"), reply);
    core_.writer.submit(
        {WriteOp{JobLedger::final_key(id), 0, JobLedger::final_record(FinalState::kWithdrawn)},
         WriteOp{JobLedger::live_key(id), known.live.stamp,
                 JobLedger::withdrawn_record(known.live.value.get_object(), core_.now.wall_ms)},
         ChangeLog::entry(id, core_.incarnation, ++log_entries_, true)},
        [this, id, tries, reply](WriteOutcome outcome, std::uint64_t) {
          if (outcome == WriteOutcome::kDone) {
            scheduler_.withdrawn_elsewhere(id);
            return reply(final_answer(id, FinalState::kWithdrawn));
          }
          if (outcome == WriteOutcome::kConflict) return abort_directly(id, tries - 1, reply);
          reply(busy("not written"));
        });
  });
}

}  // namespace robinford::coordination
