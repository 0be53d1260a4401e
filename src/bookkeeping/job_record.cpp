/// @file
/// Encoding and decoding of live and final job records.
#include "bookkeeping/job_record.hpp"

#include <string>
#include <string_view>
#include <utility>

namespace robinford::bookkeeping {
namespace json = boost::json;

namespace {

constexpr char kSpecField[] = "spec";
constexpr char kSubmittedField[] = "at";  // time of day, ms
constexpr char kDoneField[] = "done";     // completions as ranges: "0-1,4"
constexpr char kFinalField[] = "over";
constexpr char kCancelledField[] = "off";  // time of day of the cancellation, ms
constexpr char kReadyField[] = "ready";    // time of day at which a leader released the job, ms
// Completions as hexadecimal digits, task 0 in the lowest bit of the first digit.
constexpr char kDoneBitsField[] = "bits";
// Prefix of the zone of a job that waits for dependencies. No machine is in such a zone, so during a rolling
// upgrade a leader without support for dependencies keeps the job pending instead of launching it, and keeps
// the zone when it rewrites the record.
constexpr char kWaitingZonePrefix[] = "waiting:";
constexpr char kFinalDone[] = "d";
constexpr char kFinalCancelled[] = "w";

constexpr std::size_t kFieldBytes = 32;  // upper bound on the name, quotes and commas of one field
constexpr std::uint32_t kBitsPerDigit = 4;
// Number of digits after which parsing of a task index stops; valid indexes are shorter.
constexpr std::size_t kIndexDigitsMax = 9;

// As many ranges of completed tasks as fit, from the first task on.
struct DoneRanges {
  std::string text;
  bool complete = true;  // no range was left out
};

// Encodes completions as comma-separated ranges "from-to" or single indexes in at most `limit` bytes. Tasks
// start in order, so there are usually few ranges.
DoneRanges done_ranges(const Job& job, std::size_t limit) {
  DoneRanges ranges;
  std::uint32_t index = 0;
  while (index < job.spec.tasks) {
    if (!job.done[index]) {
      ++index;
      continue;
    }
    std::uint32_t last = index;
    while (last + 1 < job.spec.tasks && job.done[last + 1]) ++last;
    std::string range = ranges.text.empty() ? "" : ",";
    range += std::to_string(index);
    if (last > index) range += "-" + std::to_string(last);
    if (ranges.text.size() + range.size() > limit) {
      ranges.complete = false;
      return ranges;
    }
    ranges.text += range;
    index = last + 1;
  }
  return ranges;
}

std::string done_bits(const Job& job) {
  std::string digits;
  for (std::uint32_t index = 0; index < job.spec.tasks; index += kBitsPerDigit) {
    unsigned value = 0;
    for (std::uint32_t bit = 0; bit < kBitsPerDigit && index + bit < job.spec.tasks; ++bit)
      if (job.done[index + bit]) value |= 1u << bit;
    digits.push_back("0123456789abcdef"[value]);
  }
  return digits;
}

void read_done_bits(Job& job, std::string_view digits) {
  for (std::size_t position = 0; position < digits.size(); ++position) {
    const char digit = digits[position];
    const bool decimal = digit >= '0' && digit <= '9';
    if (!decimal && !(digit >= 'a' && digit <= 'f')) return;
    const unsigned value = decimal ? digit - '0' : digit - 'a' + 10;
    for (std::uint32_t bit = 0; bit < kBitsPerDigit; ++bit) {
      const auto index = position * kBitsPerDigit + bit;
      if ((value >> bit & 1) != 0 && index < job.spec.tasks) job.mark_done(static_cast<std::uint32_t>(index));
    }
  }
}

// Consumes a task index at the front of `text`; empty if there is none below `tasks`.
std::optional<std::uint32_t> take_index(std::string_view& text, std::uint32_t tasks) {
  std::uint64_t index = 0;
  std::size_t digits = 0;
  while (digits < text.size() && digits < kIndexDigitsMax && text[digits] >= '0' && text[digits] <= '9') {
    index = index * 10 + (text[digits] - '0');
    ++digits;
  }
  text.remove_prefix(digits);
  if (digits == 0 || index >= tasks) return std::nullopt;
  return static_cast<std::uint32_t>(index);
}

// Reads the ranges up to the first malformed one.
void read_done_ranges(Job& job, std::string_view text) {
  while (!text.empty()) {
    const auto first = take_index(text, job.spec.tasks);
    if (!first) return;
    std::uint32_t last = *first;
    if (text.starts_with('-')) {
      text.remove_prefix(1);
      const auto end = take_index(text, job.spec.tasks);
      if (!end) return;
      last = *end;
    }
    for (std::uint32_t index = *first; index <= last; ++index) job.mark_done(index);
    if (!text.starts_with(',')) return;
    text.remove_prefix(1);
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

// Removes the waiting prefix from the job's zone, and sets the job to kWaiting if it still has dependencies.
// A record with the prefix but without dependencies was rewritten, after the job's release, by a version that
// does not support dependencies; such a job counts as released.
void read_waiting(Job& job) {
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

}  // namespace

EncodedJob encode_job(const Job& job, std::size_t limit) {
  json::object object;
  JobSpec spec = job.spec;
  if (job.state == JobState::kWaiting || !spec.dependencies.empty())
    spec.zone = kWaitingZonePrefix + spec.zone.value_or("");
  object[kSpecField] = protocol::job_json(spec);
  object[kSubmittedField] = job.submitted_ms;
  if (job.ready_ms > 0) object[kReadyField] = job.ready_ms;
  const std::size_t used = json::serialize(object).size() + kFieldBytes;
  const std::size_t left = limit > used ? limit - used : 0;
  auto ranges = done_ranges(job, left);
  bool complete = ranges.complete;
  if (!complete) {
    // Many scattered completions take fewer bytes as bits. An older version reads only the ranges and runs
    // the tasks that are missing there again.
    const std::string bits = done_bits(job);
    if (bits.size() + kFieldBytes <= left) {
      ranges = done_ranges(job, left - bits.size() - kFieldBytes);
      object[kDoneBitsField] = bits;
      complete = true;
    }
  }
  object[kDoneField] = ranges.text;
  return {std::move(object), complete};
}

boost::system::result<std::unique_ptr<Job>, JobRecordError> decode_job(const json::value& value,
                                                                       std::uint64_t mod_revision,
                                                                       double now) {
  if (!value.is_object()) return JobRecordError::kNotAnObject;
  const auto& object = value.get_object();
  const auto* spec = object.if_contains(kSpecField);
  if (spec == nullptr) return JobRecordError::kNoDescription;
  auto parsed = protocol::parse_job(*spec);
  if (!parsed.spec) return JobRecordError::kMalformedDescription;
  auto job = std::make_unique<Job>();
  job->done.resize(parsed.spec->tasks);
  job->spec = std::move(*parsed.spec);
  job->mod_revision = mod_revision;
  job->known_at = now;
  job->submitted_ms = time_field(object, kSubmittedField);
  job->ready_ms = time_field(object, kReadyField);
  read_waiting(*job);
  read_done_ranges(*job, text_field(object, kDoneField));
  read_done_bits(*job, text_field(object, kDoneBitsField));
  job->durable_version = job->done_version;
  if (is_marked_cancelled(value)) {
    job->state = JobState::kOver;
    job->final_state = FinalState::kCancelled;
    job->cancellation_marked = true;
    job->cancelled_ms = time_field(object, kCancelledField);
  }
  return job;
}

json::object mark_cancelled(json::object live, std::int64_t at_ms) {
  live[kCancelledField] = at_ms;
  live[kFinalField] = kFinalCancelled;
  return live;
}

bool is_marked_cancelled(const json::value& live) {
  return live.is_object() && live.get_object().contains(kFinalField);
}

json::object encode_final(FinalState state) {
  json::object object;
  object[kFinalField] = state == FinalState::kDone ? kFinalDone : kFinalCancelled;
  return object;
}

std::optional<FinalState> decode_final(const json::value& value) {
  if (!value.is_object()) return std::nullopt;
  const auto* over = value.get_object().if_contains(kFinalField);
  if (over == nullptr || !over->is_string()) return std::nullopt;
  if (over->get_string() == kFinalDone) return FinalState::kDone;
  if (over->get_string() == kFinalCancelled) return FinalState::kCancelled;
  return std::nullopt;
}

}  // namespace robinford::bookkeeping
