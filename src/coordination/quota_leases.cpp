#include "coordination/quota_leases.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "constants.hpp"

namespace robinford::coordination {
namespace c = constants;
using bookkeeping::StatePage;
using bookkeeping::WriteOp;
using bookkeeping::WriteOutcome;

QuotaLeases::QuotaLeases(ControllerContext& context, Election& election, const PeerVersions& versions,
                         const quota::LeaseOptions& options, Send send)
    : context_(context),
      election_(election),
      versions_(versions),
      options_(options),
      send_(std::move(send)),
      lessee_(options, context.incarnation),
      lessor_(context.settings, options, ledgers(context)) {
  if (options_.enabled) context_.quota.set_guard(&lessor_);
}

quota::Lessor::LeaderAccounts QuotaLeases::ledgers(ControllerContext& context) {
  const auto job = [&context](protocol::JobId id) {
    quota::JobView view;
    if (const auto* known = context.jobs.find(id)) {
      view.state = known->over() ? quota::JobView::State::kOver : quota::JobView::State::kLive;
      view.remaining = known->remaining();
      view.placed = static_cast<std::uint32_t>(known->runs.size() + known->reservations.size());
    } else if (context.jobs.final_state(id)) {
      view.state = quota::JobView::State::kOver;
    }
    return view;
  };
  const auto used = [&context](const std::string& team) {
    const auto usage = context.quota.usage(team);
    return quota::Amount{std::llround(usage.cpus * c::kThousandthsPerUnit),
                         std::llround(usage.gpus * c::kThousandthsPerUnit)};
  };
  return {job, used};
}

// ---------------------------------------------------------------- leadership

void QuotaLeases::begin_leadership() {
  if (!options_.enabled) return;
  ++generation_;
  lessee_.reset(context_.now.steady);
  lessor_.begin(election_.term(), context_.now.steady);
}

void QuotaLeases::end_leadership() {
  if (!options_.enabled) return;
  ++generation_;
  lessor_.end();
}

void QuotaLeases::tick(const std::string& leader) {
  if (!options_.enabled) return;
  const double now = context_.now.steady;
  lessee_.tick(now);
  if (now >= next_renewal_) renew(leader);
  if (!election_.valid()) return;
  if (lessor_.needs_loading() && now >= next_load_) load();
  lessor_.tick(now);
  submit_due_writes();
  send_lessor_messages();
}

// ---------------------------------------------------------------- lessee

bool QuotaLeases::leader_serves_leases(const std::string& leader) const {
  return !leader.empty() && leader != context_.settings.member && versions_.serves_quota_leases(leader);
}

void QuotaLeases::renew(const std::string& leader) {
  if (!leader_serves_leases(leader)) return;
  next_renewal_ =
      context_.now.steady + std::min(c::kLeaseRenewIntervalS, options_.ttl_s / c::kLeaseRenewalsPerTtl);
  send_(leader, quota::encode(lessee_.renewal(context_.now.steady)));
}

void QuotaLeases::grant_from_lease(const std::string& leader, const std::string& body) {
  if (!options_.enabled || !leader_serves_leases(leader)) return;
  const auto parsed = protocol::parse_job(body);
  if (!parsed.spec) return;
  const auto* team = context_.settings.team(parsed.spec->team);
  if (team == nullptr || team->cpus_max >= c::kAmountMax) return;
  if (!lessee_.grant(*parsed.spec, context_.now.steady)) return;
  context_.metrics.record(Metrics::Distribution::kGrantWait, 0);
  while (const auto message = lessee_.new_grants()) send_(leader, quota::encode(*message));
}

// ---------------------------------------------------------------- messages

bool QuotaLeases::on_peer_message(const std::string& member, std::uint64_t incarnation,
                                  const std::string& body) {
  // A controller with quota leases disabled ignores these messages, so the leases of its lessees expire.
  if (!options_.enabled) return true;
  return quota::is_lessor_message(body) ? on_lessor_message(member, body)
                                        : on_lessee_message(member, incarnation, body);
}

bool QuotaLeases::on_lessee_message(const std::string& member, std::uint64_t incarnation,
                                    const std::string& body) {
  const auto message = quota::decode_lessee(body);
  if (!message) {
    lessor_.count_bad_message();
    return false;
  }
  // Without a valid leadership lease, for instance after a pause of the process, quota leases must not be
  // renewed.
  if (!election_.valid()) return true;
  if (const auto reply = lessor_.handle_lessee_message(member, incarnation, *message, context_.now.steady))
    send_(member, quota::encode(*reply));
  return true;
}

bool QuotaLeases::on_lessor_message(const std::string& member, const std::string& body) {
  const auto message = quota::decode_lessor(body);
  if (!message) {
    lessor_.count_bad_message();
    return false;
  }
  if (election_.role() == Role::kLeading) return true;
  if (lessee_.handle_lessor_message(*message, context_.now.steady)) renew(member);
  return true;
}

void QuotaLeases::send_lessor_messages() {
  for (const auto& [member, message] : lessor_.take_messages()) send_(member, quota::encode(message));
}

// ---------------------------------------------------------------- records

void QuotaLeases::load() {
  lessor_.on_loading_started();
  ++generation_;
  loading_.clear();
  load_page("");
}

void QuotaLeases::load_page(const std::string& after) {
  context_.state.list(quota::kLeaseRecordPrefix, after,
                      [this, generation = generation_](const std::optional<StatePage>& page) {
                        if (generation != generation_) return;
                        if (!page) {
                          next_load_ = context_.now.steady + c::kLeaseLoadRetryS;
                          return lessor_.on_loading_failed();
                        }
                        for (const auto& item : page->items)
                          loading_.push_back({item.key, item.mod_revision, item.value});
                        if (page->more && !page->items.empty()) return load_page(page->items.back().key);
                        lessor_.on_records_loaded(std::exchange(loading_, {}), context_.now.steady);
                      });
}

void QuotaLeases::submit_due_writes() {
  for (auto& due : lessor_.take_writes(context_.now.steady)) write(std::move(due));
}

void QuotaLeases::write(quota::LeaseWrite due) {
  const std::string key = due.key;
  context_.writer.submit(
      {WriteOp{key, due.expected_mod_revision, std::move(due.value)}},
      [this, key, generation = generation_](WriteOutcome outcome, std::uint64_t mod_revision) {
        if (generation != generation_) return;
        if (outcome == WriteOutcome::kDone)
          lessor_.written(key, mod_revision);
        else if (outcome != WriteOutcome::kLost)
          lessor_.not_written(key, outcome == WriteOutcome::kConflict);
      },
      bookkeeping::WritePriority::kFleet);
}

// ---------------------------------------------------------------- monitoring

void QuotaLeases::set_gauges() {
  if (!options_.enabled) return;
  auto& metrics = context_.metrics;
  const auto cpus = [](const quota::Amount& amount) {
    return static_cast<double>(amount.cpus) / c::kThousandthsPerUnit;
  };
  const auto& mine = lessee_.counters();
  metrics.gauge("quota_lease_valid", lessee_.valid(context_.now.steady) ? 1 : 0);
  metrics.gauge("quota_lease_held_cpus", cpus(lessee_.held()));
  metrics.gauge("quota_lease_promised_cpus", cpus(lessee_.promised()));
  metrics.gauge("quota_lease_jobs_granted", static_cast<double>(mine.granted));
  metrics.gauge("quota_lease_tasks_granted", static_cast<double>(mine.granted_tasks));
  metrics.gauge("quota_lease_tasks_refunded", static_cast<double>(mine.refunded_tasks));
  metrics.gauge("quota_lease_jobs_not_covered", static_cast<double>(mine.not_covered));
  metrics.gauge("quota_lease_jobs_without_lease", static_cast<double>(mine.not_valid));
  metrics.gauge("quota_leases_lost", static_cast<double>(mine.leases_lost));
  const auto& all = lessor_.counters();
  metrics.gauge("quota_lessor_exposed_cpus", cpus(lessor_.exposure()));
  metrics.gauge("quota_lessor_idle_claimed_cpus", cpus(lessor_.idle_while_claimed()));
  metrics.gauge("quota_lessor_leases", static_cast<double>(lessor_.ledger().leases().size()));
  metrics.gauge("quota_lessor_grants_taken", static_cast<double>(all.grants_taken));
  metrics.gauge("quota_lessor_grants_refused", static_cast<double>(all.grants_refused));
  metrics.gauge("quota_lessor_refunds", static_cast<double>(all.refunds));
  metrics.gauge("quota_lessor_tasks_revoked", static_cast<double>(all.revoked_tasks));
  metrics.gauge("quota_lessor_recalls", static_cast<double>(all.recalls));
  metrics.gauge("quota_lessor_leases_expired", static_cast<double>(all.leases_expired));
  metrics.gauge("quota_lessor_leases_superseded", static_cast<double>(all.leases_superseded));
  metrics.gauge("quota_lessor_writes", static_cast<double>(all.writes));
  metrics.gauge("quota_lessor_write_conflicts", static_cast<double>(all.write_conflicts));
  metrics.gauge("quota_lessor_bad_records", static_cast<double>(all.bad_records));
  metrics.gauge("quota_lessor_bad_messages", static_cast<double>(all.bad_messages));
  metrics.gauge("quota_lessor_launches_refused", static_cast<double>(all.launches_refused));
}

std::string QuotaLeases::audit() const {
  if (!options_.enabled) return {};
  const auto wrong = lessee_.audit();
  return wrong.empty() ? lessor_.audit() : wrong;
}

}  // namespace robinford::coordination
