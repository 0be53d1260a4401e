/// @file
/// Constants of quota leases.
#pragma once

#include <cstddef>
#include <cstdint>

namespace robinford::constants {

/// @name Quota leases
/// @{

/// Amounts of leases are whole thousandths, so that sums are exact.
inline constexpr double kThousandthsPerUnit = 1000;
/// Largest amount in a message: far above any limit, and no sum of them overflows.
inline constexpr std::uint64_t kThousandthsMax = 1'000'000'000'000'000;
/// Milliseconds in a second.
inline constexpr double kMsPerS = 1000;
/// Seconds between two renewals of a lease.
inline constexpr double kLeaseRenewIntervalS = 1.0;
/// Renewals in the time of a short lease: a few may get lost.
inline constexpr double kLeaseRenewalsPerTtl = 4;
/// Seconds after a failed reading of the lease records.
inline constexpr double kLeaseLoadRetryS = 0.5;
/// Seconds that a record may show more than is leased, before the lower sizes are written.
inline constexpr double kLazyRecordWriteS = 5.0;
/// Bytes of a part in a record beside its team's name: three numbers, brackets and commas.
inline constexpr std::size_t kLeasePartOverheadBytes = 64;
/// Bytes of a record beside its parts and its member's name.
inline constexpr std::size_t kLeaseRecordOverheadBytes = 128;
/// Digits of a key's last segment, its slash included.
inline constexpr std::size_t kSliceSuffixCharsMax = 7;
/// Outstanding grants of one lessee; later jobs go without.
inline constexpr std::size_t kGrantsMax = 20'000;
/// Grants or refunds in one message: a frame has its bound.
inline constexpr std::size_t kGrantsPerMessageMax = 500;
/// Seconds in which what was asked of a lease counts for half.
inline constexpr double kDemandHalfLifeS = 2.0;
/// A part grows by at least one part in so many of its size: each step is a write.
inline constexpr std::int64_t kLeaseGrowthDivisor = 8;
/// Seconds between two looks at grants, claims and recalls.
inline constexpr double kSettleGrantsIntervalS = 0.25;
/// Seconds that a grant waits for its job: users give a submission 5 s, and forwards take less.
inline constexpr double kOrphanGrantS = 8.0;
/// Seconds after which a claim that was not repeated is dropped.
inline constexpr double kClaimStaleS = 2.0;

/// @}

}  // namespace robinford::constants
