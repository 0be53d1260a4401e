#include "coordination/routing/job_requests.hpp"

#include <algorithm>
#include <memory>

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

JobRequests::JobRequests(ControllerContext& context, Election& election, Scheduler& scheduler,
                         const PeerVersions& versions, JobChanged job_changed)
    : context_(context),
      election_(election),
      scheduler_(scheduler),
      versions_(versions),
      lookup_(scheduler.lookup()),
      job_changed_(std::move(job_changed)) {}

UserAnswer JobRequests::busy(const char* reason) {
  return {503, c::kRetryAfterS, protocol::error_json(reason), std::nullopt};
}

UserAnswer JobRequests::state_answer(int status, const Job& job) const {
  // Its end may be durable already, and another controller may have read and told it: nothing older from
  // here.
  if (job.state == JobState::kCompleting || job.state == JobState::kCancelling)
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
          state == FinalState::kCancelled ? std::optional(id) : std::nullopt};
}

void JobRequests::answer_known(JobId id, const JobLookup::Known& known, const UserAnswer& never,
                               const Reply& reply) {
  switch (known.what) {
    case JobLookup::Known::What::kLive: {
      const auto job = JobLedger::from_record(known.live.value, known.live.mod_revision, context_.now.steady);
      if (!job) return reply(busy("the record can't be read"));
      return reply({200, 0, protocol::job_poll_json(id, n::kStateQueued, job->done_count, 0), std::nullopt});
    }
    case JobLookup::Known::What::kFinal:
      return reply(final_answer(id, known.state));
    case JobLookup::Known::What::kNever:
      return reply(never);
    case JobLookup::Known::What::kUnknown:
      return reply(busy("the state service does not answer"));
  }
}

// ---------------------------------------------------------------- submissions

void JobRequests::submit(const std::string& body, Reply reply) {
  const auto parsed = protocol::parse_job(body);
  if (!parsed.id) return reply(refuse(400, parsed.error));
  const JobId id = *parsed.id;
  // A known job is answered before its description is judged again.
  if (const auto state = context_.jobs.final_state(id)) return reply(final_answer(id, *state));
  if (leading() && context_.jobs.find(id) != nullptr) return answer_live(id, std::move(reply));
  const auto checked = [this, id, reply](int status, const std::string& reason) {
    if (status == 503) return reply(busy(reason.c_str()));
    lookup_.state(id, [this, id, reply, status, reason](const JobLookup::Known& known) {
      answer_known(id, known, refuse(status, reason), reply);
    });
  };
  if (!parsed.spec) return checked(400, parsed.error);
  validate(*parsed.spec, [this, spec = *parsed.spec, checked, reply](int status, const std::string& reason) {
    if (status != 0) return checked(status, reason);
    check_dependencies(spec, [this, spec, checked, reply](const DependencyVerdict& verdict) {
      if (verdict.status != 0) return checked(verdict.status, verdict.reason);
      if (verdict.cancelled) return admit_cancelled(spec.id, reply);
      JobSpec admitted = spec;
      admitted.dependencies = verdict.unfinished;
      admit(admitted, reply);
    });
  });
}

// The records of all that the job needs, read side by side. Only proof that one was never accepted refuses
// the job for good.
void JobRequests::check_dependencies(const JobSpec& spec,
                                     const std::function<void(const DependencyVerdict&)>& done) {
  if (spec.dependencies.empty()) return done({});
  if (std::find(spec.dependencies.begin(), spec.dependencies.end(), spec.id) != spec.dependencies.end())
    return done({422, "it needs itself", false, {}});
  // A leader of an older version would run it early.
  if (!leading() && !versions_.upgrade_complete())
    return done({503, "not every controller knows dependencies yet", false, {}});
  struct Open {
    DependencyVerdict verdict;
    std::size_t left;
  };
  auto open = std::make_shared<Open>(Open{{}, spec.dependencies.size()});
  for (const auto id : spec.dependencies) {
    const auto take = [open, id, done](const JobLookup::Known& known) {
      add_dependency(open->verdict, id, known);
      if (--open->left == 0) done(open->verdict);
    };
    const Job* job = leading() ? context_.jobs.find(id) : nullptr;
    if (job != nullptr && !job->over())
      take({JobLookup::Known::What::kLive, FinalState::kDone, {}});
    else
      lookup_.state(id, take);
  }
}

void JobRequests::add_dependency(DependencyVerdict& verdict, JobId id, const JobLookup::Known& known) {
  switch (known.what) {
    case JobLookup::Known::What::kLive:
      verdict.unfinished.push_back(id);
      return;
    case JobLookup::Known::What::kFinal:
      verdict.cancelled = verdict.cancelled || known.state == FinalState::kCancelled;
      return;
    case JobLookup::Known::What::kNever:
      verdict.status = 422;
      verdict.reason = "it needs " + protocol::job_id_text(id) + ", which was never accepted";
      return;
    case JobLookup::Known::What::kUnknown:
      if (verdict.status != 0) return;
      verdict.status = 503;
      verdict.reason = "the state service does not answer";
      return;
  }
}

// A job that needs a cancelled one is accepted, and cancelled with it.
void JobRequests::admit_cancelled(JobId id, const Reply& reply) {
  context_.writer.submit(
      {WriteOp{JobLedger::final_key(id), 0, JobLedger::final_record(FinalState::kCancelled)},
       WriteOp{JobLedger::live_key(id), 0, std::nullopt, true}},
      [this, id, reply](WriteOutcome outcome, std::uint64_t) {
        if (outcome == WriteOutcome::kDone) {
          scheduler_.on_cancelled_elsewhere(id);
          context_.metrics.count("jobs_accepted");
          auto answer = final_answer(id, FinalState::kCancelled);
          answer.status = 201;
          return reply(answer);
        }
        if (outcome != WriteOutcome::kConflict) return reply(busy("not written"));
        lookup_.state(id, [this, id, reply](const JobLookup::Known& known) {
          answer_known(id, known, busy("try again"), reply);
        });
      });
}

// Status 0: acceptable. Only what can never run is refused for good.
void JobRequests::validate(const JobSpec& spec, const std::function<void(int, std::string)>& done) {
  const auto decide = [this, spec, done] {
    const auto* team = context_.settings.team(spec.team);
    if (team == nullptr) return done(422, "unknown team");
    const double tasks = spec.gang ? spec.tasks : 1;
    if (spec.cpus * tasks > team->cpus_max || spec.gpus * tasks > team->gpus_max)
      return done(422, "needs more than the limit of its team");
    for (const auto& [name, type] : context_.types) {
      if (!Resources{type.cpus, type.gpus, type.memory_gb}.fits(spec)) continue;
      for (const auto& zone : type.zones)
        if (kind_allowed(spec, name, zone, false)) return done(0, "");
    }
    done(422, "a task fits no allowed machine type");
  };
  if (!context_.types.empty()) return decide();
  context_.state.read(bookkeeping::kCatalogKey, [this, decide, done](const StateRead& read) {
    if (read.found == StateRead::Found::kYes)
      if (const auto types = protocol::parse_catalog(boost::json::serialize(read.value)))
        for (const auto& type : *types) context_.types[type.name] = type;
    if (context_.types.empty()) return done(503, "the machine types are not known yet");
    decide();
  });
}

void JobRequests::admit(const JobSpec& spec, Reply reply) {
  const JobId id = spec.id;
  Job draft;
  draft.spec = spec;
  draft.done.resize(spec.tasks);
  draft.submitted_ms = context_.now.wall_ms;
  if (!spec.dependencies.empty()) draft.state = JobState::kWaiting;
  bool whole = true;
  auto record = JobLedger::record(draft, c::kBodyMax, whole);
  // What the state service would never take must not be tried again and again.
  if (boost::json::serialize(record).size() + c::kValueSlackBytes > context_.settings.value_bytes())
    return reply(refuse(422, "its description is larger than a record may be"));
  auto& waiting = admitting_[id];
  waiting.push_back(std::move(reply));
  if (waiting.size() > 1) return;  // the same job is being written already
  std::vector<WriteOp> ops{WriteOp{JobLedger::live_key(id), 0, std::move(record)},
                           WriteOp{JobLedger::final_key(id), 0, std::nullopt, true}};
  // A leader that did not write this itself learns of it by the notice.
  const bool from_memory = leading();
  if (!from_memory) ops.push_back(ChangeLog::entry(id, context_.incarnation, ++log_entries_, false));
  const auto submitted = draft.submitted_ms;
  const std::uint64_t term = election_.term();
  context_.writer.submit(std::move(ops), [this, id, spec, submitted, from_memory, term](
                                             WriteOutcome outcome, std::uint64_t mod_revision) {
    const auto found = admitting_.find(id);
    if (found == admitting_.end()) return;
    const auto replies = std::move(found->second);
    admitting_.erase(found);
    const auto all = [&](const UserAnswer& answer) {
      for (const auto& reply : replies) reply(answer);
    };
    if (outcome == WriteOutcome::kDone) {
      if (from_memory && leading() && election_.term() == term) {
        // The answer may come after that to a cancellation which went another way.
        if (context_.jobs.find(id) == nullptr && !context_.jobs.final_state(id)) {
          Job& job = context_.jobs.add(spec, mod_revision, submitted, context_.now.steady);
          scheduler_.job_added(job);
        }
      } else {
        job_changed_(id);
      }
      context_.metrics.count("jobs_accepted");
      return all({201, 0, protocol::job_state_json(id, n::kStateQueued), std::nullopt});
    }
    if (outcome == WriteOutcome::kConflict) {
      lookup_.state(id, [this, id, replies](const JobLookup::Known& known) {
        for (const auto& reply : replies) answer_known(id, known, busy("try again"), reply);
      });
      return;
    }
    all(busy("not written"));
  });
}

// ---------------------------------------------------------------- polls

void JobRequests::poll(JobId id, Reply reply) {
  if (const auto state = context_.jobs.final_state(id)) return reply(final_answer(id, *state));
  if (leading() && context_.jobs.find(id) != nullptr) return answer_live(id, std::move(reply));
  answer_from_records(id, std::move(reply));
}

// The leader's own state of the job is the answer, once no other controller can have told a user anything
// newer: at once while all of them are in touch, else after a read of the change log, which all questions
// that wait share. One read of the record for each question exhausted the state service's limit as soon as
// one controller was away.
void JobRequests::answer_live(JobId id, Reply reply) {
  if (context_.cancellations.current(context_.now.steady)) return answer_from_memory(id, reply);
  scheduler_.change_log().after_fresh_read([this, id, reply = std::move(reply)](bool read) {
    if (!read || !leading()) return reply(busy("the state service does not answer"));
    answer_from_memory(id, reply);
  });
}

void JobRequests::answer_from_memory(JobId id, const Reply& reply) {
  if (const auto state = context_.jobs.final_state(id)) return reply(final_answer(id, *state));
  const Job* job = context_.jobs.find(id);
  const bool waits = job != nullptr && job->state == JobState::kWaiting;
  if (job != nullptr && (!waits || scheduler_.dependencies_settled())) return reply(state_answer(200, *job));
  answer_from_records(id, reply);
}

void JobRequests::answer_from_records(JobId id, Reply reply) {
  lookup_.state(id, [this, id, reply = std::move(reply)](const JobLookup::Known& known) {
    // Its record, read since the question came, says that it is not cancelled; the leader knows more of its
    // tasks.
    if (known.what == JobLookup::Known::What::kLive && leading())
      if (const Job* job = context_.jobs.find(id)) return reply(state_answer(200, *job));
    answer_known(id, known, refuse(404, "no such job"), reply);
  });
}

// ---------------------------------------------------------------- cancellations

void JobRequests::abort(JobId id, Reply reply) {
  if (const auto state = context_.jobs.final_state(id)) return reply(final_answer(id, *state));
  if (leading()) {
    if (Job* job = context_.jobs.find(id)) {
      // Registered first: with a final state on its way the answer is whichever becomes durable.
      aborting_[id].push_back(std::move(reply));
      scheduler_.cancel(*job);
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
  lookup_.state(id, [this, id, tries, reply](const JobLookup::Known& known) {
    if (known.what != JobLookup::Known::What::kLive)
      return answer_known(id, known, refuse(404, "no such job"), reply);
    context_.writer.submit(
        {WriteOp{JobLedger::final_key(id), 0, JobLedger::final_record(FinalState::kCancelled)},
         WriteOp{JobLedger::live_key(id), known.live.mod_revision,
                 JobLedger::cancelled_record(known.live.value.get_object(), context_.now.wall_ms)},
         ChangeLog::entry(id, context_.incarnation, ++log_entries_, true)},
        [this, id, tries, reply](WriteOutcome outcome, std::uint64_t) {
          if (outcome == WriteOutcome::kDone) {
            scheduler_.on_cancelled_elsewhere(id);
            return reply(final_answer(id, FinalState::kCancelled));
          }
          if (outcome == WriteOutcome::kConflict) return abort_directly(id, tries - 1, reply);
          reply(busy("not written"));
        });
  });
}

}  // namespace robinford::coordination
