// Every name on the wire, and no other place in the source spells one.
// The left side is the field's own word; the right side is what the platform calls it.
#pragma once

namespace robinford::names {

// ---- job fields ----
inline constexpr char kJobId[] = "nameId";
inline constexpr char kClass[] = "breed";
inline constexpr char kTeam[] = "crew";
inline constexpr char kShape[] = "shape";
inline constexpr char kPriority[] = "rank";
inline constexpr char kTasks[] = "pieces";
inline constexpr char kTask[] = "piece";
inline constexpr char kCpus[] = "cores";
inline constexpr char kGpus[] = "accelerators";
inline constexpr char kMemoryGb[] = "memGb";
inline constexpr char kImage[] = "bundle";
inline constexpr char kImageGb[] = "pullGb";
inline constexpr char kTypes[] = "builds";
inline constexpr char kType[] = "build";
inline constexpr char kZone[] = "yard";
inline constexpr char kZones[] = "yards";
inline constexpr char kOneZone[] = "samePlace";
inline constexpr char kSpread[] = "spread";
inline constexpr char kSpot[] = "loaners";
inline constexpr char kEstimateS[] = "guessS";
inline constexpr char kCheckpointS[] = "markEveryS";
inline constexpr char kSaveS[] = "markCostS";
inline constexpr char kDeadlineS[] = "dueS";
inline constexpr char kDependencies[] = "awaits";
inline constexpr char kState[] = "stage";
inline constexpr char kDone[] = "done";
inline constexpr char kRunning[] = "running";
inline constexpr char kWaitReason[] = "reason";  // added by this service; users may ignore it

inline constexpr char kShapeArray[] = "sweep";
inline constexpr char kShapeGang[] = "group";
inline constexpr char kShapeService[] =
    "service";  // sent by the users' check on real processes (docs/questions.md)
inline constexpr char kPriorityNames[4][11] = {"low", "normal", "high", "production"};
inline constexpr char kJobPrefix[] = "j-";

inline constexpr char kStateQueued[] = "pending";
inline constexpr char kStateRunning[] = "running";
inline constexpr char kStateDone[] = "done";
inline constexpr char kStateCancelled[] = "withdrawn";

// ---- heartbeats and commands ----
inline constexpr char kMachine[] = "host";
inline constexpr char kMachines[] = "hosts";
inline constexpr char kAddr[] = "addr";
inline constexpr char kAgentEpoch[] = "shift";
inline constexpr char kSeq[] = "tally";
inline constexpr char kFencingToken[] = "baton";
inline constexpr char kInterruptionNoticeS[] = "warningS";
inline constexpr char kAttempt[] = "try";
inline constexpr char kExitReason[] = "cause";
inline constexpr char kSaved[] = "stored";
inline constexpr char kCommands[] = "orders";
inline constexpr char kOp[] = "verb";
inline constexpr char kGraceS[] = "leewayS";
inline constexpr char kRedirectTo[] = "foreman";

inline constexpr char kOpLaunch[] = "launch";
inline constexpr char kOpStop[] = "stop";
inline constexpr char kOpClear[] = "clear";

inline constexpr char kTaskFetching[] = "pulling";
inline constexpr char kTaskWaiting[] = "waiting";
inline constexpr char kTaskRunning[] = "running";
inline constexpr char kTaskSaving[] = "flushing";
inline constexpr char kTaskExited[] = "ended";

inline constexpr char kExitDone[] = "done";
inline constexpr char kExitStopped[] = "stopped";
inline constexpr char kExitPeers[] = "mates_gone";
inline constexpr char kExitAlone[] = "alone";
inline constexpr char kExitError[] = "error";
inline constexpr char kExitInsufficientResources[] = "full";
inline constexpr char kExitBusy[] = "in_use";
inline constexpr char kExitUnknown[] = "unknown";

// ---- cloud ----
inline constexpr char kTypeName[] = "sku";
inline constexpr char kCacheGb[] = "localGb";
inline constexpr char kFetchGbPerS[] = "pullGbPerS";
inline constexpr char kPrice[] = "rate";
inline constexpr char kSpotPrice[] = "spotPrice";
inline constexpr char kBootS[] = "readyS";
inline constexpr char kRequest[] = "hire";
inline constexpr char kCount[] = "howMany";
inline constexpr char kAgeS[] = "ageS";
inline constexpr char kMore[] = "truncated";
inline constexpr char kMachineName[] = "nameId";
inline constexpr char kBooting[] = "booting";
inline constexpr char kFailed[] = "failed";

// ---- state service ----
inline constexpr char kKey[] = "k";
inline constexpr char kValue[] = "data";
inline constexpr char kModRevision[] = "stamp";
inline constexpr char kRevision[] = "epoch";
inline constexpr char kLease[] = "tenure";
inline constexpr char kConditions[] = "when";
inline constexpr char kOperations[] = "apply";
inline constexpr char kPut[] = "put";
inline constexpr char kDelete[] = "drop";
inline constexpr char kItems[] = "items";
inline constexpr char kEvents[] = "events";
inline constexpr char kTtlMs[] = "ttlMs";
inline constexpr char kFailedKeys[] = "failed";

// ---- paths ----
inline constexpr char kPathJobs[] = "/work";
inline constexpr char kPathCancel[] = "/abort";
inline constexpr char kPathReady[] = "/ready";
inline constexpr char kPathHeartbeat[] = "/hello";
inline constexpr char kPathMetrics[] = "/metrics";
inline constexpr char kPathCommands[] = "/commands";
inline constexpr char kPathCatalog[] = "/catalog";
inline constexpr char kPathMachines[] = "/machines";
inline constexpr char kPathReturn[] = "/machines/return";
inline constexpr char kPathStore[] = "/store";
inline constexpr char kPathTxn[] = "/multi";
inline constexpr char kPathLeases[] = "/grants";
inline constexpr char kPathRenew[] = "/renew";
inline constexpr char kPathWatch[] = "/follow";
inline constexpr char kQueryPrefix[] = "starts";
inline constexpr char kQueryAfter[] = "after";
inline constexpr char kQueryLimit[] = "most";
inline constexpr char kQueryWaitMs[] = "waitMs";

}  // namespace robinford::names
