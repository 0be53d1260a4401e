/// @file
/// Keys of the state service: one line for each key or prefix that a controller reads or writes.
///
/// All are written by compare-and-swap on the mod revision that the writer last saw (0: the key must not
/// exist). "Guarded" means that the transaction also demands that kLeaderKey still has the mod revision of
/// the writer's own election, so that a former leader changes nothing. Sections are those of docs/design.md.
#pragma once

#include <string>

#include "protocol/messages.hpp"

namespace robinford::bookkeeping {

/// The present leader: member, incarnation and term. Bound to a lease of the state service, which deletes it
/// when the leader stops renewing. Written by a candidate, in one transaction with kTermKey, on condition
/// that neither has changed since it read them. Section "Leadership".
inline constexpr char kLeaderKey[] = "lead";

/// The highest term, which is also the fencing token, and what a later leader has to know about the terms
/// before. Not bound to any lease, so the term never goes back. Written only with kLeaderKey.
inline constexpr char kTermKey[] = "term";

/// The cloud's catalog of machine types: the other controllers check submissions against it without calls to
/// the cloud. Written, guarded, by the leader once in its term.
inline constexpr char kCatalogKey[] = "cat";

/// One record for each job that is accepted and not over (job_record.hpp). Created by the controller that
/// admits the job, on condition that neither the live nor the final record exists. Rewritten and deleted,
/// guarded, by the leader; another controller may only mark it cancelled, together with the final record.
/// Sections "What was added" and "Cancellations".
inline constexpr char kLiveJobPrefix[] = "j/";

/// One record for each job that is over, with its final state. Created on condition that none exists, by the
/// leader or by a controller that cancels; never changed or deleted, so that an ended job cannot come back.
inline constexpr char kFinalJobPrefix[] = "f/";

/// Machines that may exist, several to a record (machine_record.hpp). Written and deleted, guarded, by the
/// leader only; nothing is launched on a machine before its record names it with its address. Sections "What
/// was added" and "Limits of the state service".
inline constexpr char kMachinePrefix[] = "m/";

/// The change log: one entry for each change to a job by a controller other than the leader, created in the
/// same transaction as the change. Keys are unique by incarnation and sequence number. Deleted, guarded, by
/// the leader after it has acted on the entry. Section "Cancellations".
inline constexpr char kChangeLogPrefix[] = "n/";

/// One record for each member: the feature level and incarnation of its running process. Written by that
/// process, until it has succeeded once. Section "Rolling upgrade".
inline constexpr char kPeerVersionPrefix[] = "v/";

/// One record for each slice of a quota lease (quota/lease_record.hpp). Written and deleted, guarded, by the
/// leader as lessor; a grant counts only after its slice is durable. Section "Quota leases".
inline constexpr char kLeaseRecordPrefix[] = "q/";

/// Key of a job's live record.
inline std::string live_job_key(protocol::JobId id) { return kLiveJobPrefix + protocol::job_id_text(id); }

/// Key of a job's final record.
inline std::string final_job_key(protocol::JobId id) { return kFinalJobPrefix + protocol::job_id_text(id); }

/// Key of the machine record with that name, as chosen by the MachineLedger.
inline std::string machine_record_key(const std::string& record) { return kMachinePrefix + record; }

}  // namespace robinford::bookkeeping
