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
constexpr char kCancelledField[] = "off";  // wall ms of the cancellation
constexpr char kReadyField[] = "ready";    // wall ms of the end of the last dependency
constexpr char kDoneBitsField[] =
    "bits";  // completions as hexadecimal digits, task 0 in the lowest bit of the first
// Stands before the zone of a job that waits for others. No machine is in such a zone, so a leader of a
// version that knows no dependencies keeps the job pending, and keeps the zone when it rewrites the record.
constexpr char kWaitingZonePrefix[] = "waiting:";
constexpr char kFinalDone[] = "d";
constexpr char kFinalCancelled[] = "w";
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
    case JobState::kWaiting:
      return "waiting";
    case JobState::kActive:
      return "active";
    case JobState::kCompleting:
      return "completing";
    case JobState::kCancelling:
      return "cancelling";
    case JobState::kOver:
      return "over";
  }
  return "?";
}

const char* to_text(GangState state) {
  switch (state) {
    case GangState::kQueued:
      return "queued";
    case GangState::kReserving:
      return "reserving";
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

Job& JobLedger::add(JobSpec spec, std::uint64_t mod_revision, std::int64_t submitted_ms, double now) {
  auto job = std::make_unique<Job>();
  job->done.resize(spec.tasks);
  job->spec = std::move(spec);
  job->mod_revision = mod_revision;
  job->submitted_ms = submitted_ms;
  job->known_at = now;
  if (!job->spec.dependencies.empty()) {
    job->state = JobState::kWaiting;
    job->ready_on_record = false;
  }
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

namespace {

// Completions as ranges "from-to" or "one", joined by commas, as many as fit into `limit` bytes; `whole`
// tells whether all did. Tasks start in order, so there are few.
std::string done_ranges(const Job& job, std::size_t limit, bool& whole) {
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
    if (ranges.size() + range.size() > limit) {
      whole = false;
      break;
    }
    ranges += range;
    i = end + 1;
  }
  return ranges;
}

std::string done_bits(const Job& job) {
  constexpr std::uint32_t kBitsPerDigit = 4;
  std::string digits;
  for (std::uint32_t i = 0; i < job.spec.tasks; i += kBitsPerDigit) {
    unsigned value = 0;
    for (std::uint32_t bit = 0; bit < kBitsPerDigit && i + bit < job.spec.tasks; ++bit)
      if (job.done[i + bit]) value |= 1u << bit;
    digits.push_back("0123456789abcdef"[value]);
  }
  return digits;
}

void read_done_bits(Job& job, std::string_view digits) {
  constexpr std::uint32_t kBitsPerDigit = 4;
  for (std::size_t i = 0; i < digits.size(); ++i) {
    const char digit = digits[i];
    const bool decimal = digit >= '0' && digit <= '9';
    if (!decimal && !(digit >= 'a' && digit <= 'f')) return;
    const unsigned value = decimal ? digit - '0' : digit - 'a' + 10;
    for (std::uint32_t bit = 0; bit < kBitsPerDigit; ++bit) {
      const auto index = i * kBitsPerDigit + bit;
      if ((value >> bit & 1) != 0 && index < job.spec.tasks) job.mark_done(static_cast<std::uint32_t>(index));
    }
  }
}

void read_done_ranges(Job& job, std::string_view text) {
  std::size_t at = 0;
  const auto number = [&]() -> std::optional<std::uint32_t> {
    std::uint64_t result = 0;
    const std::size_t begin = at;
    while (at < text.size() && text[at] >= '0' && text[at] <= '9' && at - begin < 9)
      result = result * 10 + (text[at++] - '0');
    if (at == begin || result >= job.spec.tasks) return std::nullopt;
    return static_cast<std::uint32_t>(result);
  };
  while (at < text.size()) {
    const auto from = number();
    if (!from) return;
    std::uint32_t to = *from;
    if (at < text.size() && text[at] == '-') {
      ++at;
      const auto end = number();
      if (!end) return;
      to = *end;
    }
    for (std::uint32_t i = *from; i <= to; ++i) job.mark_done(i);
    if (at >= text.size() || text[at] != ',') return;
    ++at;
  }
}

std::string_view text_field(const json::object& object, const char* key) {
  const auto* value = object.if_contains(key);
  if (value == nullptr || !value->is_string()) return {};
  return {value->get_string().data(), value->get_string().size()};
}

std::int64_t time_field(const json::object& object, const char* key) {
  const auto* value = object.if_contains(key);
  json::error_code error;
  const auto time = value == nullptr ? 0 : value->to_number<std::int64_t>(error);
  return error ? 0 : time;
}

}  // namespace

json::object JobLedger::record(const Job& job, std::size_t limit, bool& whole) {
  json::object object;
  JobSpec spec = job.spec;
  if (job.state == JobState::kWaiting || !spec.dependencies.empty())
    spec.zone = kWaitingZonePrefix + spec.zone.value_or("");
  object[kSpecField] = protocol::job_json(spec);
  object[kSubmittedField] = job.submitted_ms;
  if (job.ready_ms > 0) object[kReadyField] = job.ready_ms;
  constexpr std::size_t kFieldBytes = 32;  // names, quotes and commas of the fields added below
  const std::size_t used = json::serialize(object).size() + kFieldBytes;
  const std::size_t left = limit > used ? limit - used : 0;
  std::string ranges = done_ranges(job, left, whole);
  if (!whole) {
    // Many scattered completions take fewer bytes as bits. An older version reads the ranges only, and runs
    // the tasks that it does not find there once more.
    const std::string bits = done_bits(job);
    if (bits.size() + kFieldBytes <= left) {
      bool ignored = false;
      ranges = done_ranges(job, left - bits.size() - kFieldBytes, ignored);
      object[kDoneBitsField] = bits;
      whole = true;
    }
  }
  object[kDoneField] = ranges;
  return object;
}

// A record with the waiting zone and without dependencies was rewritten by a version that knows none, after
// the job had been released.
void JobLedger::read_waiting(Job& job) {
  auto& spec = job.spec;
  const std::string_view prefix = kWaitingZonePrefix;
  if (spec.zone && spec.zone->starts_with(prefix)) {
    spec.zone->erase(0, prefix.size());
    if (spec.zone->empty()) spec.zone.reset();
    job.ready_on_record = false;
  }
  if (spec.dependencies.empty()) return;
  job.ready_on_record = false;
  job.state = JobState::kWaiting;
}

json::object JobLedger::cancelled_record(json::object live, std::int64_t at_ms) {
  live[kCancelledField] = at_ms;
  live[kFinalField] = kFinalCancelled;
  return live;
}

bool JobLedger::is_cancelled(const json::value& live) {
  return live.is_object() && live.get_object().contains(kFinalField);
}

std::unique_ptr<Job> JobLedger::from_record(const json::value& value, std::uint64_t mod_revision,
                                            double now) {
  if (!value.is_object()) return nullptr;
  const auto& object = value.get_object();
  const auto* spec = object.if_contains(kSpecField);
  if (spec == nullptr) return nullptr;
  auto parsed = protocol::parse_job(*spec);
  if (!parsed.spec) return nullptr;
  auto job = std::make_unique<Job>();
  job->done.resize(parsed.spec->tasks);
  job->spec = std::move(*parsed.spec);
  job->mod_revision = mod_revision;
  job->known_at = now;
  json::error_code error;
  job->submitted_ms = time_field(object, kSubmittedField);
  job->ready_ms = time_field(object, kReadyField);
  read_waiting(*job);
  read_done_ranges(*job, text_field(object, kDoneField));
  read_done_bits(*job, text_field(object, kDoneBitsField));
  job->durable_version = job->done_version;
  if (is_cancelled(value)) {
    job->state = JobState::kOver;
    job->final_state = FinalState::kCancelled;
    job->marked = true;
    if (const auto* at = object.if_contains(kCancelledField))
      job->cancelled_ms = at->to_number<std::int64_t>(error);
  }
  return job;
}

json::object JobLedger::final_record(FinalState state) {
  json::object object;
  object[kFinalField] = state == FinalState::kDone ? kFinalDone : kFinalCancelled;
  return object;
}

std::optional<FinalState> JobLedger::final_from_record(const json::value& value) {
  if (!value.is_object()) return std::nullopt;
  const auto* over = value.get_object().if_contains(kFinalField);
  if (over == nullptr || !over->is_string()) return std::nullopt;
  if (over->get_string() == kFinalDone) return FinalState::kDone;
  if (over->get_string() == kFinalCancelled) return FinalState::kCancelled;
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
