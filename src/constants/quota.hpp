/// @file
/// Constants of quota leases.
#pragma once

#include <cstddef>
#include <cstdint>

namespace robinford::constants {

/// @name Quota leases
/// @{

/// Amounts of leases are counted in whole thousandths, so that sums are exact.
inline constexpr double kThousandthsPerUnit = 1000;
/// Largest amount in a message. It is far above any limit, and sums of such amounts do not overflow.
inline constexpr std::uint64_t kThousandthsMax = 1'000'000'000'000'000;
/// Milliseconds per second.
inline constexpr double kMsPerS = 1000;
/// Maximum time between two renewals of a lease.
inline constexpr double kLeaseRenewIntervalS = 1.0;
/// Minimum number of renewals per TTL of a lease, so that a few of them may be lost.
inline constexpr double kLeaseRenewalsPerTtl = 4;
/// Retry delay after a failed read of the lease records.
inline constexpr double kLeaseLoadRetryS = 0.5;
/// Delay before a reduced or closed lease is written, during which its record may show more than is leased.
/// Also the delay before a failed write is retried.
inline constexpr double kLazyRecordWriteS = 5.0;
/// Bytes of a part in a record apart from its team's name: three numbers, brackets and commas.
inline constexpr std::size_t kLeasePartOverheadBytes = 64;
/// Bytes of a record apart from its parts and its member's name.
inline constexpr std::size_t kLeaseRecordOverheadBytes = 128;
/// Characters of the last segment of a record's key, including its slash.
inline constexpr std::size_t kSliceSuffixCharsMax = 7;
/// Outstanding grants of one lessee. Further jobs get no grant. The lessor also registers no more grants of
/// a lessee that has not acknowledged this many refunds.
inline constexpr std::size_t kGrantsMax = 20'000;
/// Grants or refunds in one message, to stay within the size limit of a frame.
inline constexpr std::size_t kGrantsPerMessageMax = 500;
/// Half-life of the recorded demand for a lease.
inline constexpr double kDemandHalfLifeS = 2.0;
/// A part of a lease grows only by at least its size divided by this value, because each growth costs a
/// write.
inline constexpr std::int64_t kLeaseGrowthDivisor = 8;
/// Time between two reviews of grants, claims and recalls.
inline constexpr double kSettleGrantsIntervalS = 0.25;
/// Time for which a grant is kept whose job has not become known yet. Users wait 5 s for the answer to a
/// submission, and forwarded requests take less.
inline constexpr double kOrphanGrantS = 8.0;
/// Time after which a waiting job's claim on leased capacity is dropped if it was not repeated.
inline constexpr double kClaimStaleS = 2.0;

/// @}

}  // namespace robinford::constants
