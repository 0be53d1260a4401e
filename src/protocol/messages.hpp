// JSON messages of users, workers, cloud and state service: reading with checks, and writing.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace robinford::protocol {

using JobId = std::uint64_t;

enum class Priority : std::uint8_t { kLow, kNormal, kHigh, kProduction };

struct JobSpec {
  JobId id = 0;
  std::string job_class, team, image;
  bool gang = false;
  bool service = false;  // independent tasks that run until their job is cancelled
  Priority priority = Priority::kNormal;
  std::uint32_t tasks = 0;
  double cpus = 0, gpus = 0, memory_gb = 0;
  std::optional<std::vector<std::string>> types;
  std::optional<std::string> zone;
  bool one_zone = false, spread = false, spot = false;
  double image_gb = 0, estimate_s = 0, checkpoint_s = 0, save_s = 0;
  std::optional<double> deadline_s;
  std::vector<JobId> dependencies;  // ascending, each once: all are done before any task of this job starts
};

// Ids are j- and at least six digits, always in this one form.
std::optional<JobId> parse_job_id(std::string_view text);
std::string job_id_text(JobId id);

struct JobParse {
  std::optional<JobSpec> spec;
  std::optional<JobId> id;  // known even when another field is bad
  std::string error;
};
JobParse parse_job(std::string_view body);
JobParse parse_job(const boost::json::value& value);
boost::json::object job_json(const JobSpec& spec);

enum class TaskPhase : std::uint8_t { kFetching, kWaiting, kRunning, kSaving, kExited };
enum class ExitReason : std::uint8_t {
  kNone,
  kDone,
  kStopped,
  kPeers,
  kAlone,
  kError,
  kInsufficientResources,
  kBusy,
  kUnknown
};
const char* to_text(TaskPhase phase);
const char* to_text(ExitReason reason);

struct TaskId {
  JobId job = 0;
  std::uint32_t index = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): a false positive of clang-tidy 14 on defaulted comparisons.
  auto operator<=>(const TaskId&) const = default;
};
std::string task_text(const TaskId& task);
std::optional<TaskId> parse_task(std::string_view text);

struct TaskStatus {
  TaskId task;
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::kFetching;
  ExitReason exit_reason = ExitReason::kNone;
  bool saved = false;
};

struct Heartbeat {
  std::string machine, addr, type, zone;
  bool spot = false;
  std::uint64_t agent_epoch = 0, seq = 0, fencing_token = 0;
  std::optional<double> interruption_notice_s;
  std::vector<TaskStatus> tasks;
};
std::optional<Heartbeat> parse_heartbeat(std::string_view body);

struct Command {
  enum class Op : std::uint8_t { kLaunch, kStop, kClear } op = Op::kLaunch;
  TaskId task;
  std::uint64_t attempt = 0;
  double grace_s = 0;
};
std::string commands_json(std::uint64_t fencing_token, const std::vector<Command>& commands,
                          std::optional<std::uint64_t> agent_epoch = std::nullopt);
// For the stand-ins of the tests, which play the workers' side.
std::string heartbeat_json(const Heartbeat& heartbeat);
struct CommandList {
  std::optional<std::uint64_t> fencing_token, agent_epoch;
  std::vector<Command> commands;
};
std::optional<CommandList> parse_commands(std::string_view body);

struct MachineType {
  std::string name;
  double cpus = 0, gpus = 0, memory_gb = 0, cache_gb = 0, fetch_gb_per_s = 0;
  double price = 0, spot_price = 0, boot_s = 0;
  std::vector<std::string> zones;
};
// The lists of the cloud are read as sets: sorted by name, each name once.
std::optional<std::vector<MachineType>> parse_catalog(std::string_view body);
std::string catalog_json(const std::vector<MachineType>& types);

struct ListedMachine {
  std::string name, addr, type, zone;
  bool spot = false;
  bool failed = false, booting = false;
  double age_s = 0;
};
struct MachineList {
  std::vector<ListedMachine> machines;
  bool more = false;
};
std::optional<MachineList> parse_machines(std::string_view body);
std::string provision_json(const std::string& request, const std::string& type, const std::string& zone,
                           bool spot, int count);
std::string return_json(const std::vector<std::string>& machines);
std::optional<std::vector<std::string>> parse_provisioned(std::string_view body);

std::string job_state_json(JobId id, const char* state);
// `wait_reason`: why the job waits, without characters that JSON escapes; null to leave it out.
std::string job_poll_json(JobId id, const char* state, std::uint64_t done, std::uint64_t running,
                          const char* wait_reason = nullptr);
// 421: whom a worker should send its heartbeats to.
std::string redirect_json(const std::string& member);
std::string error_json(const std::string& reason);

// A count in a record of our own; 0 when there is none.
std::uint64_t count_field(const boost::json::value& record, const char* key);

// Reads JSON without exceptions; nothing on bytes that are not JSON.
std::optional<boost::json::value> parse_json(std::string_view text);

}  // namespace robinford::protocol
