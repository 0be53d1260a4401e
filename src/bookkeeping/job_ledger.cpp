#include "bookkeeping/job_ledger.hpp"

#include <spdlog/spdlog.h>

#include <limits>

#include "constants.hpp"
#include "protocol/names.hpp"

namespace robinford::bookkeeping {
namespace json = boost::json;

namespace {
constexpr char kSpecField[] = "spec";
constexpr char kSubmittedField[] = "at";
constexpr char kDoneField[] = "done";
constexpr char kFinalField[] = "over";
constexpr char kWithdrawnField[] = "off";  // wall ms of the withdrawal
constexpr char kFinalDone[] = "d";
constexpr char kFinalWithdrawn[] = "w";
}  // namespace

const char* to_text(FinalState state) {
  return state == FinalState::kDone ? names::kStateDone : names::kStateCancelled;
}

const char* to_text(RunState state) {
  switch (state) {
    case RunState::kPlanned:
      return "planned";
    case RunState::kLaunched:
      return "launched";
    case RunState::kPresent:
      return "present";
    case RunState::kStopping:
      return "stopping";
  }
  return "?";
}

const char* to_text(JobState state) {
  switch (state) {
    case JobState::kActive:
      return "active";
    case JobState::kCompleting:
      return "completing";
    case JobState::kWithdrawing:
      return "withdrawing";
    case JobState::kOver:
      return "over";
  }
  return "?";
}

const char* to_text(GangState state) {
  switch (state) {
    case GangState::kQueued:
      return "queued";
    case GangState::kHolding:
      return "holding";
    case GangState::kLaunching:
      return "launching";
    case GangState::kRunning:
      return "running";
    case GangState::kStopping:
      return "stopping";
  }
  return "?";
}

std::uint32_t Job::unplaced() const {
  const auto placed = static_cast<std::uint32_t>(runs.size());
  return placed >= remaining() ? 0 : remaining() - placed;
}

std::optional<std::uint32_t> Job::next_task() const {
  if (!again.empty()) return *again.begin();
  std::uint32_t index = next_fresh;
  while (index < spec.tasks && (done[index] || runs.contains(index))) ++index;
  return index < spec.tasks ? std::optional(index) : std::nullopt;
}

void Job::take_task(std::uint32_t index) {
  again.erase(index);
  while (next_fresh < spec.tasks && (next_fresh == index || done[next_fresh] || runs.contains(next_fresh)))
    ++next_fresh;
}

void Job::give_back(std::uint32_t index) {
  if (!done[index] && !runs.contains(index) && index < next_fresh) again.insert(index);
}

void Job::mark_done(std::uint32_t index) {
  if (done[index]) return;
  done[index] = true;
  ++done_count;
  ++done_version;
  again.erase(index);
}

double Job::due_ms() const {
  return spec.deadline_s ? static_cast<double>(submitted_ms) + *spec.deadline_s * 1000
                         : std::numeric_limits<double>::infinity();
}

void JobLedger::clear() { jobs_.clear(); }

Job* JobLedger::find(JobId id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

Job& JobLedger::add(JobSpec spec, std::uint64_t stamp, std::int64_t submitted_ms, double now) {
  auto job = std::make_unique<Job>();
  job->done.resize(spec.tasks);
  job->spec = std::move(spec);
  job->stamp = stamp;
  job->submitted_ms = submitted_ms;
  job->known_at = now;
  auto& slot = jobs_[job->spec.id];
  slot = std::move(job);
  return *slot;
}

void JobLedger::erase(JobId id) { jobs_.erase(id); }

std::optional<FinalState> JobLedger::final_state(JobId id) const {
  const auto found = finals_.find(id);
  return found == finals_.end() ? std::nullopt : std::optional(found->second);
}

void JobLedger::remember_final(JobId id, FinalState state) {
  if (!finals_.emplace(id, state).second) return;
  final_order_.push_back(id);
  if (final_order_.size() <= constants::kFinalCacheMax) return;
  finals_.erase(final_order_.front());
  final_order_.pop_front();
}

// Completions are ranges "from-to" or "one", joined by commas: tasks start in order, so there are few.
json::object JobLedger::record(const Job& job, std::size_t limit, bool& whole) {
  json::object object;
  object[kSpecField] = protocol::job_json(job.spec);
  object[kSubmittedField] = job.submitted_ms;
  const std::size_t used = json::serialize(object).size() + 32;
  std::string ranges;
  whole = true;
  for (std::uint32_t i = 0; i < job.spec.tasks;) {
    if (!job.done[i]) {
      ++i;
      continue;
    }
    std::uint32_t end = i;
    while (end + 1 < job.spec.tasks && job.done[end + 1]) ++end;
    std::string range = ranges.empty() ? "" : ",";
    range += std::to_string(i);
    if (end > i) range += "-" + std::to_string(end);
    if (used + ranges.size() + range.size() > limit) {
      whole = false;
      break;
    }
    ranges += range;
    i = end + 1;
  }
  object[kDoneField] = ranges;
  return object;
}

json::object JobLedger::withdrawn_record(json::object live, std::int64_t at_ms) {
  live[kWithdrawnField] = at_ms;
  live[kFinalField] = kFinalWithdrawn;
  return live;
}

bool JobLedger::is_withdrawn(const json::value& live) {
  return live.is_object() && live.get_object().contains(kFinalField);
}

std::unique_ptr<Job> JobLedger::from_record(const json::value& value, std::uint64_t stamp, double now) {
  if (!value.is_object()) return nullptr;
  const auto& object = value.get_object();
  const auto* spec = object.if_contains(kSpecField);
  if (spec == nullptr) return nullptr;
  auto parsed = protocol::parse_job(*spec);
  if (!parsed.spec) return nullptr;
  auto job = std::make_unique<Job>();
  job->done.resize(parsed.spec->tasks);
  job->spec = std::move(*parsed.spec);
  job->stamp = stamp;
  job->known_at = now;
  json::error_code error;
  if (const auto* at = object.if_contains(kSubmittedField))
    job->submitted_ms = at->to_number<std::int64_t>(error);
  if (const auto* done = object.if_contains(kDoneField); done != nullptr && done->is_string()) {
    const std::string_view text(done->get_string().data(), done->get_string().size());
    std::size_t at = 0;
    const auto number = [&]() -> std::optional<std::uint32_t> {
      std::uint64_t result = 0;
      const std::size_t begin = at;
      while (at < text.size() && text[at] >= '0' && text[at] <= '9' && at - begin < 9)
        result = result * 10 + (text[at++] - '0');
      if (at == begin || result >= job->spec.tasks) return std::nullopt;
      return static_cast<std::uint32_t>(result);
    };
    while (at < text.size()) {
      const auto from = number();
      if (!from) break;
      std::uint32_t to = *from;
      if (at < text.size() && text[at] == '-') {
        ++at;
        const auto end = number();
        if (!end) break;
        to = *end;
      }
      for (std::uint32_t i = *from; i <= to; ++i) job->mark_done(i);
      if (at < text.size() && text[at] == ',')
        ++at;
      else
        break;
    }
  }
  job->durable_version = job->done_version;
  if (is_withdrawn(value)) {
    job->state = JobState::kOver;
    job->final_state = FinalState::kWithdrawn;
    job->marked = true;
    if (const auto* at = object.if_contains(kWithdrawnField))
      job->withdrawn_ms = at->to_number<std::int64_t>(error);
  }
  return job;
}

json::object JobLedger::final_record(FinalState state) {
  json::object object;
  object[kFinalField] = state == FinalState::kDone ? kFinalDone : kFinalWithdrawn;
  return object;
}

std::optional<FinalState> JobLedger::final_from_record(const json::value& value) {
  if (!value.is_object()) return std::nullopt;
  const auto* over = value.get_object().if_contains(kFinalField);
  if (over == nullptr || !over->is_string()) return std::nullopt;
  if (over->get_string() == kFinalDone) return FinalState::kDone;
  if (over->get_string() == kFinalWithdrawn) return FinalState::kWithdrawn;
  return std::nullopt;
}

void JobLedger::set_state(Job& job, JobState state) {
  if (job.state == state) return;
  spdlog::debug("job {}: {} -> {}", protocol::job_id_text(job.spec.id), to_text(job.state), to_text(state));
  job.state = state;
}

void JobLedger::set_gang(Job& job, GangState state, double now) {
  if (job.gang == state) return;
  spdlog::debug("gang {}: {} -> {} after {:.1f} s", protocol::job_id_text(job.spec.id), to_text(job.gang),
                to_text(state), job.gang_since > 0 ? now - job.gang_since : 0.0);
  job.gang = state;
  job.gang_since = now;
}

void JobLedger::set_run(Job& job, TaskRun& run, RunState state) {
  if (run.state == state) return;
  if (spdlog::should_log(spdlog::level::trace))
    spdlog::trace("task of {} on {}: {} -> {}", protocol::job_id_text(job.spec.id), run.machine,
                  to_text(run.state), to_text(state));
  run.state = state;
}

}  // namespace robinford::bookkeeping
