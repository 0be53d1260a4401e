/// @file
/// Keys of the state service: one constant for each key or prefix that a controller reads or writes.
///
/// All are written by compare-and-swap on the mod revision that the writer last read (0: the key must not
/// exist). "Guarded" means that the transaction also requires that kLeaderKey still has the mod revision of
/// the writer's own election, so that a former leader cannot change anything. Sections are those of
/// docs/design.md.
#pragma once

#include <string>

#include "protocol/messages.hpp"

namespace robinford::bookkeeping {

/// The current leader: member, incarnation and term. Attached to a lease of the state service, which deletes
/// the key when the leader stops renewing. Written by a candidate in one transaction with kTermKey, on
/// condition that neither key has changed since the candidate read it. Section "Leadership".
inline constexpr char kLeaderKey[] = "lead";

/// The highest term, which is also the fencing token, and what a later leader must know about earlier terms.
/// Not attached to a lease, so the term never decreases. Written only with kLeaderKey.
inline constexpr char kTermKey[] = "term";

/// The cloud's catalog of machine types, against which the other controllers check submissions without
/// calling the cloud. Written, guarded, by the leader once per term.
inline constexpr char kCatalogKey[] = "cat";

/// One record for each job that is accepted and not over, and for each cancelled job of which a machine may
/// still hold tasks (job_record.hpp). Created by the controller that admits the job, on condition that
/// neither the live nor the final record exists. Rewritten and deleted, guarded, by the leader; another
/// controller may only mark it cancelled, together with the final record. Sections "What was added" and
/// "Cancellations".
inline constexpr char kLiveJobPrefix[] = "j/";

/// One record for each job that is over, with its final state; for a job that was cancelled through a
/// dependency, it may be written some time after the cancellation of the dependency. Created on condition
/// that none exists, by the leader or by a controller that cancels the job or admits it as cancelled. Never
/// changed or deleted, so that a finished job cannot be admitted again.
inline constexpr char kFinalJobPrefix[] = "f/";

/// Machines that may exist, several per record (machine_record.hpp). Written and deleted, guarded, only by
/// the leader. Nothing is launched on a machine before its record names it with an address. Sections "What
/// was added" and "Limits of the state service".
inline constexpr char kMachinePrefix[] = "m/";

/// The change log: one entry for each live record that a controller other than the leader creates, or that is
/// marked cancelled other than through the leader's ledger. Created in the same transaction as the change.
/// Keys are unique by incarnation and sequence number. Deleted, guarded, by the leader: at once if the entry
/// is older than the job records that a new leader loads, since they contain the change, otherwise when the
/// leader handles the entry. Section "Cancellations".
inline constexpr char kChangeLogPrefix[] = "n/";

/// One record for each member: the feature level and incarnation of its running process, and whether it
/// serves quota leases. Written by that process, which retries until a write succeeds. Section "Rolling
/// upgrade".
inline constexpr char kPeerVersionPrefix[] = "v/";

/// One record for each slice of a quota lease (quota/lease_record.hpp). Written and deleted, guarded, by the
/// leader as lessor; a lessee is told of more quota only after its slice is durable. Section "Quota leases".
inline constexpr char kLeaseRecordPrefix[] = "q/";

/// Key of a job's live record.
inline std::string live_job_key(protocol::JobId id) { return kLiveJobPrefix + protocol::job_id_text(id); }

/// Key of a job's final record.
inline std::string final_job_key(protocol::JobId id) { return kFinalJobPrefix + protocol::job_id_text(id); }

/// Key of the machine record with this name, which MachineLedger assigns.
inline std::string machine_record_key(const std::string& record) { return kMachinePrefix + record; }

}  // namespace robinford::bookkeeping
