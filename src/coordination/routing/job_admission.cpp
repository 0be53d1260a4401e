/// @file
/// Implementation of JobAdmission.
#include "coordination/routing/job_admission.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include "constants.hpp"
#include "protocol/names.hpp"

namespace robinford::coordination {
namespace c = constants;
namespace n = names;
using bookkeeping::FinalState;
using bookkeeping::Job;
using bookkeeping::JobLedger;
using bookkeeping::JobState;
using bookkeeping::kCatalogKey;
using bookkeeping::StateRead;
using bookkeeping::WriteOp;
using bookkeeping::WriteOutcome;
using bookkeeping::WritePriority;
using protocol::JobId;
using protocol::JobSpec;

JobAdmission::JobAdmission(ControllerContext& context, const Election& election, Scheduler& scheduler,
                           const PeerVersions& versions, ChangeLogEntries& change_log_entries,
                           JobChanged job_changed)
    : context_(context),
      election_(election),
      scheduler_(scheduler),
      versions_(versions),
      lookup_(scheduler.lookup()),
      change_log_entries_(change_log_entries),
      job_changed_(std::move(job_changed)) {}

void JobAdmission::admit(JobId id, const protocol::JobParse& submission, const UserRequest& request) {
  if (!submission.spec) return refuse_unless_admitted(id, {400, submission.error}, request.reply);
  const JobSpec& spec = *submission.spec;
  check_resources(spec, [this, spec, request](const std::optional<Refusal>& refusal) {
    if (refusal) return refuse_unless_admitted(spec.id, *refusal, request.reply);
    check_dependencies(spec, [this, spec, request](const DependencyVerdict& verdict) {
      apply_verdict(spec, verdict, request);
    });
  });
}

void JobAdmission::apply_verdict(const JobSpec& spec, const DependencyVerdict& verdict,
                                 const UserRequest& request) {
  if (verdict.refusal) return refuse_unless_admitted(spec.id, *verdict.refusal, request.reply);
  if (verdict.any_cancelled) return write_cancelled_job(spec.id, request);
  JobSpec admitted = spec;
  admitted.dependencies = verdict.unfinished;
  write(admitted, request);
}

// A submission of a job that was accepted before must not be reported as refused, so the job's records are
// looked up first.
void JobAdmission::refuse_unless_admitted(JobId id, const Refusal& refusal, const UserReply& reply) {
  if (refusal.status == 503) return reply(unavailable(refusal.reason));
  answer_by_lookup(id, refused(refusal.status, refusal.reason), {reply});
}

void JobAdmission::answer_by_lookup(JobId id, const UserAnswer& if_never,
                                    const std::vector<UserReply>& replies) {
  lookup_.read_state_with_dependencies(id, [this, id, if_never, replies](const JobLookup::Result& known) {
    for (const auto& reply : replies) reply(lookup_answer(id, known, context_.now.steady, if_never));
  });
}

// ---------------------------------------------------------------- resources

void JobAdmission::check_resources(const JobSpec& spec, const ResourcesChecked& done) {
  if (!context_.types.empty()) return done(resource_refusal(spec));
  context_.state.read(kCatalogKey, [this, spec, done](const StateRead& read) {
    if (read.found == StateRead::Found::kYes)
      if (const auto types = protocol::parse_catalog(boost::json::serialize(read.value)))
        for (const auto& type : *types) context_.types[type.name] = type;
    if (context_.types.empty()) return done(Refusal{503, "the machine types are not known yet"});
    done(resource_refusal(spec));
  });
}

std::optional<JobAdmission::Refusal> JobAdmission::resource_refusal(const JobSpec& spec) const {
  const auto* team = context_.settings.team(spec.team);
  if (team == nullptr) return Refusal{422, "unknown team"};
  // A gang runs all its tasks at once; an array can run them one at a time.
  const double tasks_at_once = spec.gang ? spec.tasks : 1;
  if (spec.cpus * tasks_at_once > team->cpus_max || spec.gpus * tasks_at_once > team->gpus_max)
    return Refusal{422, "needs more than the limit of its team"};
  if (!fits_any_machine_type(spec)) return Refusal{422, "a task fits no allowed machine type"};
  return std::nullopt;
}

bool JobAdmission::fits_any_machine_type(const JobSpec& spec) const {
  return std::any_of(context_.types.begin(), context_.types.end(), [&spec](const auto& entry) {
    const auto& [name, type] = entry;
    if (!Resources{type.cpus, type.gpus, type.memory_gb}.fits(spec)) return false;
    return std::any_of(type.zones.begin(), type.zones.end(), [&spec, &type_name = name](const auto& zone) {
      return kind_allowed(spec, type_name, zone, false);
    });
  });
}

// ---------------------------------------------------------------- dependencies

void JobAdmission::check_dependencies(const JobSpec& spec, const DependenciesChecked& done) {
  if (spec.dependencies.empty()) return done({});
  const auto& dependencies = spec.dependencies;
  if (std::find(dependencies.begin(), dependencies.end(), spec.id) != dependencies.end())
    return done(DependencyVerdict::refuse(422, "it needs itself"));
  // A leader of an older version ignores dependencies and would start the job too early.
  if (!leading() && !versions_.upgrade_complete())
    return done(DependencyVerdict::refuse(503, "not every controller knows dependencies yet"));
  read_dependencies(spec, done);
}

// Looks up all dependencies in parallel: on a leader, those that its ledger shows without a final state need
// no read; all others are looked up, in memory or in their records. The job is refused with 422 here only if
// a dependency is known never to have been accepted.
void JobAdmission::read_dependencies(const JobSpec& spec, const DependenciesChecked& done) {
  struct OpenCheck {
    DependencyVerdict verdict;
    std::size_t reads_left;
  };
  auto check = std::make_shared<OpenCheck>(OpenCheck{{}, spec.dependencies.size()});
  for (const auto id : spec.dependencies) {
    const auto on_read = [check, id, done](const JobLookup::Result& known) {
      add_to_verdict(check->verdict, id, known);
      if (--check->reads_left == 0) done(check->verdict);
    };
    const Job* job = leading() ? context_.jobs.find(id) : nullptr;
    if (job != nullptr && !job->over())
      on_read({JobLookup::Result::RecordStatus::kLive, FinalState::kDone, {}});
    else
      lookup_.read_state_with_dependencies(id, on_read);
  }
}

void JobAdmission::add_to_verdict(DependencyVerdict& verdict, JobId id, const JobLookup::Result& known) {
  switch (known.record_status) {
    case JobLookup::Result::RecordStatus::kLive:
      verdict.unfinished.push_back(id);
      return;
    case JobLookup::Result::RecordStatus::kFinal:
      if (known.state == FinalState::kCancelled) verdict.any_cancelled = true;
      return;
    case JobLookup::Result::RecordStatus::kNeverAccepted:
      verdict.refusal = Refusal{422, "it needs " + protocol::job_id_text(id) + ", which was never accepted"};
      return;
    case JobLookup::Result::RecordStatus::kUnknown:
      if (!verdict.refusal) verdict.refusal = Refusal{503, "the state service does not answer"};
      return;
  }
}

// ---------------------------------------------------------------- records

// A job that depends on a cancelled job is accepted and recorded as cancelled.
void JobAdmission::write_cancelled_job(JobId id, const UserRequest& request) {
  std::vector<WriteOp> ops{
      WriteOp{JobLedger::final_key(id), 0, JobLedger::final_record(FinalState::kCancelled)},
      WriteOp{JobLedger::live_key(id), 0, std::nullopt, true}};
  context_.writer.submit(
      std::move(ops),
      [this, id, reply = request.reply](WriteOutcome outcome, std::uint64_t) {
        if (outcome == WriteOutcome::kConflict)
          return answer_by_lookup(id, unavailable("try again"), {reply});
        if (outcome != WriteOutcome::kDone) return reply(unavailable("not written"));
        scheduler_.on_cancelled_elsewhere(id);
        context_.metrics.count("jobs_accepted");
        auto answer = final_state_answer(id, FinalState::kCancelled);
        answer.status = 201;
        reply(answer);
      },
      WritePriority::kUser, request.deadline);
}

void JobAdmission::write(const JobSpec& spec, const UserRequest& request) {
  const JobId id = spec.id;
  Job draft;
  draft.spec = spec;
  draft.done.resize(spec.tasks);
  draft.submitted_ms = context_.now.wall_ms;
  if (!spec.dependencies.empty()) draft.state = JobState::kWaiting;
  bool whole = true;
  auto record = JobLedger::record(draft, c::kRequestBodyBytesMax, whole);
  // The state service would reject a larger record at every attempt, so the job is refused here.
  if (boost::json::serialize(record).size() + c::kValueSlackBytes > context_.settings.value_bytes())
    return request.reply(refused(422, "its description is larger than a record may be"));
  PendingAdmission& pending = pending_admissions_[id];
  pending.replies.push_back(request.reply);
  if (pending.replies.size() > 1) return context_.writer.extend(pending.write, request.deadline);
  std::vector<WriteOp> ops{WriteOp{JobLedger::live_key(id), 0, std::move(record)},
                           WriteOp{JobLedger::final_key(id), 0, std::nullopt, true}};
  const Admission admission{spec, draft.submitted_ms, leading(), election_.term()};
  if (!admission.as_leader) ops.push_back(change_log_entries_.make_admission_entry(id));
  const auto write = context_.writer.submit(
      std::move(ops),
      [this, admission](WriteOutcome outcome, std::uint64_t mod_revision) {
        on_written(admission, outcome, mod_revision);
      },
      WritePriority::kUser, request.deadline);
  // A refused write has been answered already.
  if (const auto queued = pending_admissions_.find(id); queued != pending_admissions_.end())
    queued->second.write = write;
}

void JobAdmission::on_written(const Admission& admission, WriteOutcome outcome, std::uint64_t mod_revision) {
  const JobId id = admission.spec.id;
  const auto found = pending_admissions_.find(id);
  const auto replies = std::move(found->second.replies);
  pending_admissions_.erase(found);
  if (outcome == WriteOutcome::kConflict) return answer_by_lookup(id, unavailable("try again"), replies);
  UserAnswer answer = unavailable("not written");
  if (outcome == WriteOutcome::kDone) {
    apply_admission(admission, mod_revision);
    answer = {201, 0, protocol::job_state_json(id, n::kStateQueued), std::nullopt};
  }
  for (const auto& reply : replies) reply(answer);
}

void JobAdmission::apply_admission(const Admission& admission, std::uint64_t mod_revision) {
  const JobSpec& spec = admission.spec;
  context_.metrics.count("jobs_accepted");
  // The ledger is asked for, not the lease: after a pause of this process the lease is in doubt until it is
  // renewed, and a leader's admission has no change-log entry that would bring the job here later.
  if (!admission.as_leader || !scheduler_.ledger_loaded() || election_.term() != admission.term)
    return job_changed_(spec.id);
  // The result of this write may arrive after the job was cancelled through another controller.
  if (context_.jobs.find(spec.id) != nullptr || context_.jobs.final_state(spec.id)) return;
  scheduler_.on_job_added(context_.jobs.add(spec, mod_revision, admission.submitted_ms, context_.now.steady));
}

}  // namespace robinford::coordination
