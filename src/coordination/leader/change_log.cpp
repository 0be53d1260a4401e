/// @file
/// Implements ChangeLog.
#include "coordination/leader/change_log.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::WriteOp;
using bookkeeping::WriteOutcome;
using bookkeeping::WritePriority;
using protocol::JobId;

namespace {

constexpr auto& kPrefix = bookkeeping::kChangeLogPrefix;

// Returns the job of an entry from its key, which has the form "n/JOB.INCARNATION.SEQUENCE".
std::optional<JobId> job_of_key(const std::string& key) {
  const auto slash = key.rfind('/');
  const auto dot = key.find('.');
  if (slash == std::string::npos || dot == std::string::npos || dot < slash) return std::nullopt;
  return protocol::parse_job_id(key.substr(slash + 1, dot - slash - 1));
}

bool is_cancellation(const boost::json::value& value) {
  return value.is_object() && value.get_object().contains(bookkeeping::kEntryCancelled);
}

}  // namespace

ChangeLog::ChangeLog(ControllerContext& context, const Election& election, Events events)
    : context_(context), election_(election), events_(std::move(events)) {}

WriteOp ChangeLog::make_entry(JobId id, std::uint64_t incarnation, std::uint64_t sequence, bool cancelled) {
  boost::json::object value;
  if (cancelled) value[bookkeeping::kEntryCancelled] = true;
  return {kPrefix + protocol::job_id_text(id) + "." + std::to_string(incarnation) + "." +
              std::to_string(sequence),
          0, std::move(value)};
}

void ChangeLog::begin(Done done) {
  end();
  context_.cancellations.on_change_log_read_started(context_.now.steady);
  load("", 0, std::move(done));
}

void ChangeLog::end() {
  ++generation_;
  reading_ = false;
  read_began_ = 0;
  failed_deletions_.clear();
  auto waiting = std::move(waiting_for_current_read_);
  for (auto& done : waiting_for_next_read_) waiting.push_back(std::move(done));
  waiting_for_current_read_.clear();
  waiting_for_next_read_.clear();
  for (const auto& done : waiting) done(false);
}

// Deletes, without acting on them, the entries that exist before the jobs are read, since the job records
// already contain their changes. The watch starts at the revision of the first page, so no later entry is
// missed. After a restart of all controllers there may be more than one page.
void ChangeLog::load(const std::string& after, std::uint64_t watch_from, Done done) {
  context_.state.list(kPrefix, after,
                      [this, after, watch_from, done = std::move(done),
                       generation = generation_](const std::optional<bookkeeping::StatePage>& page) {
                        if (generation != generation_) return;
                        if (!page) return done(false);
                        for (const auto& item : page->items) delete_entry(item.key, item.mod_revision);
                        const auto from = after.empty() ? page->revision : watch_from;
                        if (page->more && !page->items.empty())
                          return load(page->items.back().key, from, done);
                        watch(from);
                        done(true);
                      });
}

void ChangeLog::watch(std::uint64_t after) {
  context_.state.watch(kPrefix, after,
                       [this, after, generation = generation_](const bookkeeping::WatchResult& result) {
                         if (generation != generation_) return;
                         for (const auto& event : result.events) handle_event(event);
                         if (result.complete()) return watch(std::max(after, result.revision));
                         if (result.outcome == bookkeeping::WatchResult::Outcome::kTooOld)
                           // The changes after revision `after` were compacted and can't be read any more.
                           return events_.entries_missed();
                         // The watch got no usable answer: reads the term record, only to learn when the
                         // state service answers, and watches again from revision `after` once that read
                         // was answered or has failed.
                         context_.state.read(
                             bookkeeping::kTermKey,
                             [this, after, generation](const bookkeeping::StateRead&) {
                               if (generation == generation_) watch(after);
                             },
                             bookkeeping::StateClient::Urgency::kFirst);
                       });
}

void ChangeLog::handle_event(const bookkeeping::StateEvent& event) {
  if (event.deleted) return;
  if (const auto id = job_of_key(event.key)) {
    if (is_cancellation(event.value))
      events_.cancelled(*id);
    else
      events_.changed(*id);
  }
  delete_entry(event.key, event.mod_revision);
}

// Deletes an entry. A deletion that is refused, usually because too many writes are queued, is retried later,
// since each read of the log would return the remaining entry again.
void ChangeLog::delete_entry(const std::string& key, std::uint64_t mod_revision) {
  context_.writer.submit(
      {{key, mod_revision, std::nullopt}},
      [this, key, mod_revision, generation = generation_](WriteOutcome outcome, std::uint64_t) {
        if (generation == generation_ && outcome == WriteOutcome::kRefused)
          failed_deletions_.push_back({key, mod_revision});
      },
      WritePriority::kBackground);
}

void ChangeLog::retry_deletions() {
  while (!failed_deletions_.empty() && context_.writer.waiting() < c::kBackgroundWriteQueueMax) {
    const StoredEntry entry = failed_deletions_.back();
    failed_deletions_.pop_back();
    delete_entry(entry.key, entry.mod_revision);
  }
}

void ChangeLog::tick() { start_read_if_due(); }

void ChangeLog::after_fresh_read(Done done) {
  waiting_for_next_read_.push_back(std::move(done));
  start_read_if_due();
}

void ChangeLog::start_read_if_due() {
  if (reading_) return;
  const double shortest_pause_s = c::kChangeLogCallsPerRead / context_.settings.state_rps;
  double pause_s = c::kLedgerReadRetryS;
  if (!waiting_for_next_read_.empty())
    pause_s = std::min(shortest_pause_s, c::kChangeLogReadIntervalS);
  else if (election_.caught_up_on_cancellations())
    pause_s = std::max(c::kChangeLogReadIntervalS, shortest_pause_s);
  if (context_.now.steady < read_began_ + pause_s) return;
  reading_ = true;
  read_began_ = context_.now.steady;
  waiting_for_current_read_ = std::move(waiting_for_next_read_);
  waiting_for_next_read_.clear();
  context_.cancellations.on_change_log_read_started(context_.now.steady);
  read("");
}

// Reads the entries whose keys follow `after`. A complete read and a renewal of the leader key together show
// up to which time all cancellations by other controllers are known here. The entries are deleted when
// the watch reports them.
void ChangeLog::read(const std::string& after) {
  context_.state.list(kPrefix, after,
                      [this, generation = generation_](const std::optional<bookkeeping::StatePage>& page) {
                        if (generation != generation_) return;
                        if (!page) return finish_read(false);
                        for (const auto& item : page->items) {
                          if (!is_cancellation(item.value)) continue;
                          if (const auto id = job_of_key(item.key)) events_.cancelled(*id);
                        }
                        if (page->more && !page->items.empty()) return read(page->items.back().key);
                        context_.cancellations.on_change_log_read_finished(election_.last_renewal_sent_at());
                        finish_read(true);
                      });
}

void ChangeLog::finish_read(bool read) {
  reading_ = false;
  const auto waiting = std::exchange(waiting_for_current_read_, {});
  for (const auto& done : waiting) done(read);
}

}  // namespace robinford::coordination
