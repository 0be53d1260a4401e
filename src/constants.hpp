// Every number the service is built on, with its unit and the reason for it.
// Site values (intervals, limits, prices) come from the settings, never from here.
#pragma once

#include <cstddef>
#include <cstdint>

namespace robinford::constants {

// ---- clocks and amounts ----
inline constexpr double kClockDrift = 0.0005;    // ratio: the protocol's bound on steady clocks (0.05%)
inline constexpr double kTickS = 0.05;           // s: how often timers of the core are looked at
inline constexpr double kLeaseMarginS = 0.25;    // s: scheduling delay added to every lease reckoning
inline constexpr double kAmountRounding = 1e-6;  // amounts are decimal numbers

// ---- leadership ----
inline constexpr std::int64_t kLeaderTtlMs =
    2500;                                    // ms: lease of the leader key; short, since it bounds a failover
inline constexpr double kRenewEveryS = 0.6;  // s: four renewals per lease survive a slow answer or two
inline constexpr double kRenewTimeoutS = 1.0;    // s: a renewal without an answer by then is tried again
inline constexpr double kValidityMarginS = 0.3;  // s: taken off the leader's own reckoning of its lease
inline constexpr double kDegradedBoundS =
    90.0;  // s: after its last renewal a leader answers no heartbeat any more
inline constexpr double kCancellationMarginS =
    1.5;                                      // s: what is told on its way, ticks, and a worker's own steps
inline constexpr double kLeastAnswerS = 6.0;  // s between a lease and a cancellation, below which the
                                              // in-memory state may not lag at all: they do by 2 s or so
inline constexpr double kStrictAnswerS =
    45.0;  // s: the degraded leader's bound there, since cancellations wait for it; well below 75 s
inline constexpr double kInMemoryStateFreshS =
    2.0;  // s for which a member's answered probe lets a leader's in-memory state speak for it: two
          // heartbeats and a delay
inline constexpr double kChangeLogEveryS = 1.0;  // s between two looks at what other controllers wrote
inline constexpr double kChangeLogCalls = 10;    // ...or so many calls that the state service grants
inline constexpr std::size_t kAnnouncedKept =
    4096;  // announced cancellations kept for members that missed them
inline constexpr std::size_t kAnnouncedBatch = 400;  // of them in one message
inline constexpr double kOverdueShare =
    0.5;  // of the time a cancellation has, after which a machine that has not shown it is given back...
inline constexpr double kOverdueLeadS = 10.0;  // s: ...but so long before its end, for the cloud's answer
inline constexpr double kOverdueLastS =
    5.0;  // s before its end at the latest, where a new leader gives machines time to send a heartbeat
inline constexpr double kClaimJitterS = 0.12;  // s: random wait before a claim, so that claims rarely collide
inline constexpr double kClaimRetryS = 0.4;    // s: pause after a failed claim
inline constexpr double kWatchWaitS = 10.0;    // s: how long one watch is left open
inline constexpr double kWatchSlackS = 3.0;    // s: after the watch's own time, before it counts as lost
inline constexpr double kStateTimeoutS = 1.5;  // s: a state call without an answer by then is unresolved
inline constexpr double kLoadTimeoutS = 4.0;   // s: a page of the ledger may be half a megabyte
inline constexpr int kIncarnationBits =
    16;  // bits below the time of day at a process's start, drawn at random

// ---- budgets ----
inline constexpr double kLeaderBudgetShare =
    0.70;  // share of the state service's limits that the leader uses
inline constexpr double kMemberBudgetShare = 0.24;  // share that all other controllers use together
inline constexpr double kPaceDrop = 0.8;     // factor on the own budget after a 429 of the state service...
inline constexpr double kPaceEveryS = 1.0;   // s: ...once in so long
inline constexpr double kPaceLeast = 0.25;   // of the budget, however many 429 come
inline constexpr double kPaceRecoverS = 10;  // s without a 429 before the budget grows again...
inline constexpr double kPaceStep = 0.05;    // ...by so much of itself
inline constexpr std::size_t kStateQueueMax = 512;  // calls waiting for budget before new ones are refused
inline constexpr double kCloudBudgetShare =
    0.85;                                       // share of the cloud's limit: a former leader may still call
inline constexpr std::size_t kTxnOpsLeast = 4;  // changes in a transaction that every state service takes
inline constexpr std::size_t kTxnBytesMax =
    std::size_t{56} * 1024;                           // bytes in one transaction (the service takes 64 KiB)
inline constexpr std::size_t kStatePageItems = 200;   // ledger items a page: pages stay small beside 40 MB
inline constexpr std::size_t kValueSlackBytes = 128;  // bytes kept free below the service's limit for a
                                                      // value: the writer's mark, the mark of a cancellation

inline constexpr std::size_t kMachinesLeast = 4000;  // machines that every bound on their heartbeats leaves
                                                     // room for, however little memory there is

// ---- transport ----
inline constexpr std::size_t kBodyMax =
    std::size_t{64} * 1024;  // bytes: the protocol's limit for a request body
inline constexpr std::size_t kHeaderMax =
    std::size_t{8} * 1024;  // bytes of header fields taken from a client
inline constexpr std::size_t kClientBodyMax =
    4u << 20;                                 // bytes of an answer read from the state service or cloud
inline constexpr double kServerIdleS = 30.0;  // s: an unresponsive client connection is closed
inline constexpr double kServerReadS = 8.0;   // s: a request must be complete by then, once begun
inline constexpr double kServerWriteS = 8.0;  // s: a client that does not read its answer is dropped
inline constexpr double kConnectS = 1.0;      // s: a machine without power never refuses a connection
inline constexpr std::size_t kStateConnections = 6;  // connections to the state service, watches aside
inline constexpr std::size_t kCloudConnections = 2;  // connections to the cloud
inline constexpr std::size_t kClientQueueMax = 256;  // calls waiting for a connection before new ones fail
inline constexpr std::size_t kFrameMax = std::size_t{256} * 1024;  // bytes in one frame between controllers
inline constexpr std::size_t kLinkQueueMax = 512;  // frames waiting on a link before new ones are dropped
inline constexpr std::size_t kLinkQueueBytes = 2u << 20;  // bytes waiting on a link, for the same reason
inline constexpr double kLinkRetryS = 0.3;                // s: between attempts to reach another controller
inline constexpr double kLinkIdleS = 3.0;                 // s: an incoming link without a heartbeat is closed
inline constexpr double kUserSocketShare = 0.7;  // share of the socket quota that users' connections may take
inline constexpr std::size_t kReservedSockets =
    24;  // sockets kept for state service, cloud and other controllers
inline constexpr std::size_t kLinksPerMember =
    6;  // incoming links at once: one, and those of processes that ended within kLinkIdleS

// ---- between controllers ----
inline constexpr double kStatusIntervalS = 0.5;  // s: status to the other controllers
inline constexpr double kPeerFreshS = 1.8;       // s: a status older than this proves nothing
inline constexpr double kForwardTimeoutS = 1.2;  // s: a forwarded request without an answer is settled here
inline constexpr double kForwardPerMb =
    16;  // forwarded requests in flight a MB of memory before new ones get 503
inline constexpr double kDirectHeartbeatsPerCore =
    500;  // heartbeats a second, for each core of the quota, that a leader takes itself
inline constexpr std::size_t kBatchBytes =
    std::size_t{32} * 1024;  // bytes for another controller that are sent without waiting for the tick
inline constexpr double kParkS = 2.5;       // s a heartbeat waits for a leader: its worker gives up after 4 s
inline constexpr double kParkedPerMb = 16;  // heartbeats waiting for a leader, for each MB of memory
inline constexpr double kLastHeartbeatsPerMb =
    20;                                    // machines whose last heartbeat is kept, for each MB of memory
inline constexpr double kDelegateS = 3.0;  // s for a direct call that another controller makes
inline constexpr int kKeyBits =
    24;  // requests are numbered above a random start: answers to an earlier process miss

// ---- front door ----
inline constexpr int kRetryAfterS = 1;  // s: for a user whose request can't be served just now
inline constexpr double kUserRequestsPerMb =
    5;  // polls in progress a MB of memory before new ones get 503; as many submissions and cancellations
inline constexpr double kUserDeadlineS = 1.6;  // s: users wait 2 s for a poll; later answers are useless
inline constexpr double kStateFreshS =
    2.0;  // s: the state service counts as reachable this long after an answer
inline constexpr std::size_t kFinalCacheMax =
    20000;  // final job states kept in memory; the rest is read when asked
inline constexpr std::uint32_t kPiecesMax = 100000;  // the protocol's limit for the tasks of a job
inline constexpr double kAmountMax = 1e9;            // amounts above this are absurd and refused
inline constexpr int kAbortTries = 4;                // each lost against another writer of the same record

// ---- dependencies ----
inline constexpr std::size_t kDependenciesMost =
    64;  // jobs that one job may name: their ids take 1.6 KB at most, below the smallest value limit known
inline constexpr std::size_t kDependencyWalkMost =
    256;  // records that one probe about a waiting job may read, before it gets 503
inline constexpr std::size_t kDependencyReads = 16;  // reads of dependencies that a leader has open at once
inline constexpr double kInheritEveryS = 1.0;        // s between two reckonings of what jobs inherit

// ---- versions of controllers ----
inline constexpr std::uint64_t kFeatureLevel =
    2;  // of this program; the first one registered, and it brings dependencies
inline constexpr double kVersionsEveryS = 2.0;  // s between two readings of the registry until all are known

// ---- heartbeats and reservations ----
inline constexpr double kReservationHeartbeats =
    3.0;  // heartbeat intervals after which a reservation expires (the design's)
inline constexpr double kHeartbeatJitter = 1.25;  // the longest heartbeat interval over the nominal one
inline constexpr double kRoundSlackS =
    1.5;  // s: for workers whose controller went: retry after 1 s, and a little
inline constexpr double kRoundEveryS = 0.2;     // s: shortest time between two rounds
inline constexpr double kStopAgainS = 1.0;      // s: between two direct stops of the same task
inline constexpr double kDirectTimeoutS = 2.0;  // s: a direct command without an answer
inline constexpr double kLedgerEveryS = 10.0;   // s: how often the finished tasks of an array become durable
inline constexpr std::size_t kQuietWriter = 4;  // units waiting below which progress may be written
inline constexpr std::uint64_t kMachinesPerRecord =
    64;  // machines in one record by number, as the first versions write and read them: some 6 KB
inline constexpr std::size_t kMachineRecordBytes = 48;  // bytes in a machine record beside its entries
inline constexpr std::size_t kMachineEntryBytes =
    60;  // bytes of an entry beside names: the longest address, quotes, and a part of an unanswered entry
inline constexpr std::size_t kUnansweredEntryBytes =
    24;  // bytes of an unanswered entry beside its name and what each entry sets aside for it
inline constexpr double kRecordWriteShare =
    0.5;  // of a leader's writes, for machine records: above it they wait, and more changes share a write
inline constexpr double kRecordUrgentS =
    0.8;                                     // s: between two writings of a record whose machines wait for it
inline constexpr double kRecordTidyS = 3.0;  // s: between two writings of a record that is only outdated
inline constexpr int kUnprovenMost = 4;      // answers with our token after which a worker should show it
inline constexpr int kUndeliveredMost =
    2;                                     // commands that a machine did not take before it is asked directly
inline constexpr int kProbesEnough = 2;    // unanswered probes after which a machine counts as unresponsive
inline constexpr double kEarlyPerMb = 40;  // heartbeats kept a MB of memory while the ledger is read
inline constexpr double kLoadRetryS = 0.3;       // s between tries to read the ledger
inline constexpr double kUnknownBackoffS = 2.0;  // s: the worker did not know the job yet
inline constexpr double kInsufficientResourcesBackoffS =
    1.0;  // s: our picture of a machine's capacity was wrong
inline constexpr double kNobodyYetS =
    2.0;  // s that a leader with no machine on record waits for any to send a heartbeat
inline constexpr double kReconcileCheckS = 0.2;  // s between two looks at whether the round is full
inline constexpr double kUnansweredLeaseShare =
    0.75;  // of a lease, after which an unresponsive machine is put on record as not answered any more
inline constexpr double kWatchEveryS = 0.25;  // s between two looks at unresponsive machines
inline constexpr double kSweepEveryS = 0.2;  // s between two looks at jobs that end or have progress to write
inline constexpr double kLogWaitsEveryS = 1.0;      // s between two lines of why a job waits
inline constexpr double kSuspectProbeEveryS = 2.0;  // s between two probes to a doubtful machine

// ---- direct commands ----
inline constexpr double kDirectWaitShare =
    0.25;  // share of the shortest expected start above which two heartbeats are too long
inline constexpr double kDirectDefaultWaitS =
    20.0;  // s: the shortest expected start where no aim names a shorter one
inline constexpr double kDirectPerCore = 800;  // direct calls a second for each core of the quota
inline constexpr double kDirectLeast = 5;      // a second, in any case
inline constexpr int kDirectSocketPart = 8;    // one socket in so many may be a direct call
inline constexpr std::size_t kDirectListMax =
    64;  // attempts that stay listed on a machine before heartbeats carry launches
inline constexpr double kUnansweredLaunchS =
    6.0;  // s: an unanswered launch of cancelled work, before its machine goes
inline constexpr std::uint64_t kAttemptBits = 24;  // attempts are term << 24 | counter: never used twice
inline constexpr std::size_t kCommandsMax = 200;   // commands in one answer: stays far below 64 KiB
inline constexpr double kUnreachableShareMax =
    0.05;  // above this share of unreachable machines the fault is on our side
inline constexpr std::size_t kUnreachableLeast = 3;  // as many may always be cordoned
inline constexpr double kUnreachableHeartbeatS =
    6;  // s: a worker that hears no answer sends another heartbeat 5 s later, elsewhere
inline constexpr double kShowTokenS =
    1.0;  // s: a worker that heard a higher token sends another heartbeat within half a second
inline constexpr int kProbesMost = 3;  // probes to a machine of an earlier leader that stays unresponsive
inline constexpr double kProbeAgainS = 0.5;  // s between them
inline constexpr int kOpenMost = 2;          // direct calls to one machine at a time

// ---- failures ----
inline constexpr double kBackoffFirstS = 2.0;    // s: after a job's first failure
inline constexpr double kBackoffMaxS = 60.0;     // s: a job that fails everywhere is tried this rarely
inline constexpr int kJobSuspectMachines = 3;    // machines on which a job failed before it is tried narrowly
inline constexpr int kMachineSuspectErrors = 2;  // failed jobs in a row before a machine is cordoned
inline constexpr double kAvoidS = 120.0;         // s: a job stays away from a machine where it failed
inline constexpr double kUnresponsiveHeartbeats =
    4.0;  // heartbeat intervals of silence before a machine is doubted...
inline constexpr double kUnresponsiveMinS =
    11.0;  // s: ...but no sooner: a worker needs 4 s + 1 s for each dead controller
inline constexpr double kUnresponsiveShareMax =
    0.35;  // above this share of unresponsive machines the network is at fault

// ---- fleet ----
inline constexpr double kFleetEveryS = 1.0;     // s: how often the fleet is reviewed
inline constexpr double kCatalogEveryS = 60.0;  // s: spot prices move
inline constexpr double kCatalogRetryS = 2.0;   // s: while no catalog is known
inline constexpr double kListEveryS = 5.0;      // s: between two readings of the machine list
inline constexpr std::size_t kListPage = 500;   // machines in one page of the list
inline constexpr double kCloudTimeoutS = 4.0;   // s: a cloud call without an answer
inline constexpr double kBootFactor = 2.5;      // times the nominal boot time before a machine is given up...
inline constexpr double kBootSlackS = 5.0;      // s: ...and this much more
inline constexpr double kBootUsual = 1.5;       // times the nominal boot time that the protocol calls usual
inline constexpr std::size_t kBootsKept = 32;   // boots of a type that its usual time is known by
inline constexpr std::size_t kBootsEnough = 8;  // of them, before they count instead of the protocol's word
inline constexpr double kBootQuantile = 0.9;    // of them are no later than what counts as usual...
inline constexpr double kBootLate = 1.15;     // ...and this much above it, or above the nominal time, is late
inline constexpr double kNoCapacityS = 20.0;  // s: a type and zone that refused is asked again after this
inline constexpr int kProvisionMax = 50;      // machines in one provisioning request (the cloud's limit)
inline constexpr int kProvisionsAtOnce = 4;   // such requests at once for one type, zone and kind
inline constexpr std::size_t kFewUnreconciled =
    3;  // unresponsive machines of an earlier leader that are given up early...
inline constexpr double kFewUnreconciledShare = 0.02;  // ...or up to this share of all
inline constexpr std::size_t kReturnMax = 100;         // machines in one return request (the cloud's limit)
inline constexpr double kIdleReturnS = 3.0;  // s: an idle machine nobody is expected to need goes back
inline constexpr double kForgetListLags =
    6.0;                                   // list lags after which a machine that is in no list is forgotten
inline constexpr double kIdleBoots = 0.5;  // boot times that an idle machine is kept while work still arrives
inline constexpr double kGangWindowS = 120.0;  // s of gang arrivals that the spare machines are reckoned from
inline constexpr double kUnknownRunS = 60.0;   // s: a class's run time before anything is known of it
inline constexpr double kLearnWeight = 0.03;   // least weight of one completion in what a class is known by
inline constexpr int kLearnOwnTasks = 3;  // completions before a job's or class's own run time is believed
inline constexpr double kEstimateTrust =
    0.5;                                    // weight of one estimate beside its class's while nothing has run
inline constexpr int kLearnTasksOfJob = 4;  // completions of one job that its class learns from
inline constexpr double kLearnRatioMin = 0.2;  // bounds of the learned ratio of real to estimated run time
inline constexpr double kLearnRatioMax = 5.0;  // ...for the same ratio
inline constexpr int kZoneOutLeast = 3;  // machines that must be quiet before their zone counts as cut off
inline constexpr double kZoneOutS =
    60.0;  // s that a zone counts as cut off after the last sign of it: some boot times
inline constexpr double kFleetLogEveryS = 10.0;  // s between two debug lines about what the fleet should be
inline constexpr double kFleetStepS = 0.5;       // s between two looks at what the cloud should be asked
inline constexpr double kNeedFallS = 15;  // s: time constant with which the reckoned need for cores falls
inline constexpr double kNeedLeast = 2;   // cores: a rest of a fallen need that counts as none
inline constexpr double kOverpricedRatio = 1.3;  // times the price a core of what is offered: dearer capacity
                                                 // is replaced; spot prices move by a third
inline constexpr double kWorthBoots =
    1;  // boot times of work that a machine provisioned for a backlog must find
inline constexpr double kLastTasksRuns =
    0.5;                                  // runs before the end at which the last tasks should be under way
inline constexpr double kTightBoots = 2;  // boots within which work is due whose capacity should stay
inline constexpr double kLateWindowRuns = 3;  // run times over which late work is spread
inline constexpr double kProvisionRetryS =
    1.0;  // s before an unanswered provisioning request is repeated under its name
inline constexpr double kGoneKeptS = 900;  // s that a returned machine's name is kept, against late messages

// ---- policy scripts ----
inline constexpr std::size_t kLuaMemory = 4u << 20;  // bytes a policy script may use
inline constexpr int kLuaSteps = 2'000'000;          // instructions a policy script may run

// ---- durable writes ----
inline constexpr std::size_t kTxnsInFlight =
    3;  // transactions at once, on keys apart: one slow answer must not stop all
inline constexpr std::size_t kWriteUnitsMax =
    1600;  // units waiting before new ones are refused; what only tidies up gets a quarter: the records of
           // 4,000 machines at 2 KB each
inline constexpr double kWriteRetryS = 0.2;  // s after a refusal or a missing answer

// ---- placing ----
inline constexpr double kReserveS = 8.0;          // s that capacity being emptied is kept for its gang
inline constexpr double kDefaultAllowedRuns = 2;  // an array without any aim may take this many run times
inline constexpr double kPaceShare = 0.85;   // of a pace, since fetches, stops and changes of task take time
inline constexpr double kTiersEveryS = 1.0;  // s between two sortings of the late
inline constexpr double kLastRunShare =
    0.7;  // of a run: the last tasks of a job overlap with other jobs' first
inline constexpr std::size_t kRecentArrays = 256;  // arrivals kept to tell the load
inline constexpr double kReadyBoots =
    2;  // work due within this many boots needs its capacity ready when it comes
inline constexpr double kReadyLeast = 0.7;  // share of a steady load that capacity is kept for in any case
inline constexpr double kLoadWindowS = 90;  // s of arrivals that the load is reckoned from
inline constexpr std::size_t kRecentGangs =
    512;  // arrivals kept to tell which machines gangs want, and their rate over its window
inline constexpr std::uint32_t kFillingGangTasks =
    3;  // tasks of a gang that a machine takes at most, for machines to be kept ready for such gangs
inline constexpr double kClaimAfterS =
    40;  // s that a gang waits before it keeps others from the capacity it needs
inline constexpr int kClaimsMost = 8;  // gangs that do so in one round
inline constexpr double kArrayLongestWaitS =
    100;  // s after which an array of which nothing ran goes before all others
inline constexpr double kQueuesEveryS = 0.25;  // s between two sortings of the queues
inline constexpr double kSurveyEveryS = 0.5;   // s between two counts of the fleet's capacity
inline constexpr double kPreemptEveryS = 1.0;  // s between two searches for capacity to free, for one gang
inline constexpr int kPreemptsMost = 4;        // such searches in one round
inline constexpr double kSuitsS = 1.0;         // s for which the kinds that suit gangs are remembered

// ---- quota leases ----
inline constexpr double kThousandths =
    1000;  // amounts of leases are whole thousandths, so that sums are exact
inline constexpr std::uint64_t kThousandthsMax =
    1'000'000'000'000'000;  // largest amount in a message: far above any limit, and no sum of them overflows
inline constexpr double kMsPerS = 1000;
inline constexpr double kLeaseRenewS = 1.0;        // s between two renewals of a lease...
inline constexpr double kLeaseRenewalsPerTtl = 4;  // ...or so many in its time: a few may get lost
inline constexpr double kLeaseLoadRetryS = 0.5;    // s after a failed reading of the lease records
inline constexpr double kLazyRecordS =
    5.0;  // s that a record may show more than is leased, before the lower sizes are written
inline constexpr std::size_t kLeasePartBytes =
    64;  // bytes of a part in a record beside its team's name: three numbers, brackets and commas
inline constexpr std::size_t kLeaseHeadBytes =
    128;                                        // bytes of a record beside its parts and its member's name
inline constexpr std::size_t kSliceDigits = 7;  // of a key's last segment, its slash included
inline constexpr std::size_t kGrantsMost = 20'000;  // outstanding grants of one lessee; later jobs go without
inline constexpr std::size_t kGrantsPerMessage =
    500;                                         // grants or refunds in one message: a frame has its bound
inline constexpr double kDemandHalfLifeS = 2.0;  // s in which what was asked of a lease counts for half
inline constexpr std::int64_t kGrowthStepPart =
    8;  // a part grows by at least one part in so many of its size: each step is a write
inline constexpr double kSettleGrantsS = 0.25;  // s between two looks at grants, claims and recalls
inline constexpr double kGrantOrphanS =
    8.0;  // s that a grant waits for its job: users give a submission 5 s, and forwards take less
inline constexpr double kClaimStaleS = 2.0;  // s after which a claim that was not repeated is dropped

// ---- metrics ----
inline constexpr double kSpreadLeastS = 1e-4;   // s: first bucket's lower end
inline constexpr double kSpreadMostS = 1e3;     // s: last bucket's upper end
inline constexpr unsigned kSpreadBuckets = 28;  // four a decade

// ---- protocol ----
inline constexpr std::size_t kNameBytesMax =
    200;  // bytes in a name: it may become part of a key, which has 200 at most

}  // namespace robinford::constants
