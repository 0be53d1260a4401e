#include "protocol/peer_codec.hpp"

#include <algorithm>
#include <cmath>

#include "constants.hpp"

namespace robinford::protocol {
namespace {

constexpr std::uint64_t kCodecVersion = 3;

void put_text(std::string& out, std::string_view text) {
  put_varint(out, text.size());
  out.append(text);
}

bool take_text(std::string_view& in, std::string& into) {
  const auto size = take_varint(in);
  if (!size || *size > in.size()) return false;
  into.assign(in.substr(0, *size));
  in.remove_prefix(*size);
  return true;
}

bool take_number(std::string_view& in, std::uint64_t& into) {
  const auto value = take_varint(in);
  if (value) into = *value;
  return value.has_value();
}

bool take_numbers(std::string_view& in, std::vector<std::uint64_t>& into) {
  std::uint64_t count = 0;
  if (!take_number(in, count) || count > in.size()) return false;
  into.resize(count);
  return std::all_of(into.begin(), into.end(), [&](std::uint64_t& value) { return take_number(in, value); });
}

// Amounts of time, in milliseconds: enough for notices and graces.
void put_seconds(std::string& out, double seconds) {
  put_varint(out, static_cast<std::uint64_t>(std::llround(std::clamp(seconds, 0.0, 1e9) * 1000)));
}

void put_state(std::string& out, const Heartbeat& r) {
  put_text(out, r.addr);
  put_text(out, r.type);
  put_text(out, r.zone);
  put_varint(out, (r.spot ? 1u : 0u) | (r.interruption_notice_s ? 2u : 0u));
  if (r.interruption_notice_s) put_seconds(out, *r.interruption_notice_s);
  put_varint(out, r.tasks.size());
  for (const auto& task : r.tasks) {
    put_varint(out, task.task.job);
    put_varint(out, task.task.index);
    put_varint(out, task.attempt);
    put_varint(out, static_cast<std::uint64_t>(task.phase) |
                        static_cast<std::uint64_t>(task.exit_reason) << 3 | (task.saved ? 1u : 0u) << 7);
  }
}

void put_heartbeat(std::string& out, const Heartbeat& r) {
  put_text(out, r.machine);
  put_varint(out, r.agent_epoch);
  put_varint(out, r.seq);
  put_varint(out, r.fencing_token);
  put_state(out, r);
}

bool take_head(std::string_view& in, Heartbeat& r) {
  return take_text(in, r.machine) && take_number(in, r.agent_epoch) && take_number(in, r.seq) &&
         take_number(in, r.fencing_token);
}

bool take_heartbeat(std::string_view& in, Heartbeat& r) {
  std::uint64_t flags = 0, count = 0;
  if (!take_head(in, r) || !take_text(in, r.addr) || !take_text(in, r.type) || !take_text(in, r.zone) ||
      !take_number(in, flags) || flags > 3)
    return false;
  r.spot = (flags & 1) != 0;
  if ((flags & 2) != 0) {
    std::uint64_t ms = 0;
    if (!take_number(in, ms) || ms > 1'000'000'000'000) return false;
    r.interruption_notice_s = static_cast<double>(ms) / 1000;
  }
  if (!take_number(in, count) || count > in.size()) return false;  // a task takes more than a byte
  r.tasks.reserve(count);
  for (; count > 0; --count) {
    TaskStatus task;
    std::uint64_t index = 0, bits = 0;
    if (!take_number(in, task.task.job) || !take_number(in, index) || index >= constants::kTasksPerJobMax ||
        !take_number(in, task.attempt) || !take_number(in, bits) || bits > 255)
      return false;
    const auto phase = bits & 7, why = (bits >> 3) & 15;
    if (phase > static_cast<std::uint64_t>(TaskPhase::kExited) ||
        why > static_cast<std::uint64_t>(ExitReason::kUnknown))
      return false;
    task.task.index = static_cast<std::uint32_t>(index);
    task.phase = static_cast<TaskPhase>(phase);
    task.exit_reason = static_cast<ExitReason>(why);
    task.saved = (bits & 128) != 0;
    r.tasks.push_back(task);
  }
  return true;
}

void put_commands(std::string& out, const std::vector<Command>& commands) {
  put_varint(out, commands.size());
  for (const auto& command : commands) {
    put_varint(out, static_cast<std::uint64_t>(command.op));
    put_varint(out, command.task.job);
    put_varint(out, command.task.index);
    put_varint(out, command.attempt);
    if (command.op == Command::Op::kStop) put_seconds(out, command.grace_s);
  }
}

bool take_commands(std::string_view& in, std::vector<Command>& commands) {
  std::uint64_t count = 0;
  if (!take_number(in, count) || count > in.size()) return false;
  commands.reserve(count);
  for (; count > 0; --count) {
    Command command;
    std::uint64_t op = 0, index = 0, grace = 0;
    if (!take_number(in, op) || op > static_cast<std::uint64_t>(Command::Op::kClear) ||
        !take_number(in, command.task.job) || !take_number(in, index) ||
        index >= constants::kTasksPerJobMax || !take_number(in, command.attempt))
      return false;
    command.op = static_cast<Command::Op>(op);
    command.task.index = static_cast<std::uint32_t>(index);
    if (command.op == Command::Op::kStop) {
      if (!take_number(in, grace) || grace > 1'000'000'000'000) return false;
      command.grace_s = static_cast<double>(grace) / 1000;
    }
    commands.push_back(command);
  }
  return true;
}

}  // namespace

std::string heartbeat_state(const Heartbeat& heartbeat) {
  std::string out;
  put_state(out, heartbeat);
  return out;
}

void put_message(std::string& frame, const PeerMessage& message) { put_text(frame, encode(message)); }

std::optional<std::vector<PeerMessage>> decode_frame(std::string_view frame) {
  std::vector<PeerMessage> messages;
  while (!frame.empty()) {
    const auto size = take_varint(frame);
    if (!size || *size > frame.size()) return std::nullopt;
    auto message = decode(frame.substr(0, *size));
    if (!message) return std::nullopt;
    frame.remove_prefix(*size);
    messages.push_back(std::move(*message));
  }
  return messages;
}

void put_varint(std::string& out, std::uint64_t value) {
  while (value >= 0x80) {
    out.push_back(static_cast<char>((value & 0x7f) | 0x80));
    value >>= 7;
  }
  out.push_back(static_cast<char>(value));
}

std::optional<std::uint64_t> take_varint(std::string_view& in) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < in.size() && i < 10; ++i) {
    const auto byte = static_cast<unsigned char>(in[i]);
    if (i == 9 && byte > 1) return std::nullopt;  // past 64 bits
    value |= static_cast<std::uint64_t>(byte & 0x7f) << (7 * i);
    if ((byte & 0x80) != 0) continue;
    if (byte == 0 && i > 0) return std::nullopt;  // one value, one form
    in.remove_prefix(i + 1);
    return value;
  }
  return std::nullopt;
}

std::string encode(const PeerMessage& m) {
  std::string out;
  out.reserve(64 + m.body.size());
  put_varint(out, kCodecVersion);
  put_varint(out, static_cast<std::uint64_t>(m.kind));
  put_text(out, m.member);
  put_varint(out, m.incarnation);
  put_varint(out, m.term);
  switch (m.kind) {
    case PeerKind::kStatus:
      put_varint(out, (m.leading ? 1u : 0u) | (m.ready ? 2u : 0u) | (m.state_ok ? 4u : 0u));
      for (const auto value : {m.probe, m.echo, m.echo_incarnation, m.announced, m.taken})
        put_varint(out, value);
      break;
    case PeerKind::kCancellationsAnnounced:
      put_varint(out, m.first);
      put_varint(out, m.jobs.size());
      for (const auto job : m.jobs) put_varint(out, job);
      break;
    case PeerKind::kForward:
      put_varint(out, m.request);
      put_text(out, m.method);
      put_text(out, m.target);
      put_text(out, m.body);
      break;
    case PeerKind::kAnswer:
      put_varint(out, m.request);
      put_varint(out, m.status);
      put_varint(out, m.retry_after_s);
      put_text(out, m.body);
      break;
    case PeerKind::kJobChanged:
      put_varint(out, m.job);
      break;
    case PeerKind::kHeartbeat:
      put_varint(out, m.request);
      put_heartbeat(out, m.heartbeat);
      break;
    case PeerKind::kUnchangedHeartbeat:
      put_varint(out, m.request);
      put_text(out, m.heartbeat.machine);
      put_varint(out, m.heartbeat.agent_epoch);
      put_varint(out, m.heartbeat.seq);
      put_varint(out, m.heartbeat.fencing_token);
      put_varint(out, m.base_seq);
      break;
    case PeerKind::kCommands:
      put_varint(out, m.request);
      put_varint(out, m.status);
      put_commands(out, m.commands);
      break;
    case PeerKind::kProbe:
      put_varint(out, m.request);
      put_text(out, m.target);
      put_varint(out, m.base_seq);
      put_commands(out, m.commands);
      break;
    case PeerKind::kProbeResult:
      put_varint(out, m.request);
      put_varint(out, m.status);
      if (m.status != 0) put_heartbeat(out, m.heartbeat);
      break;
    case PeerKind::kQuota:
      put_text(out, m.body);
      break;
  }
  return out;
}

std::optional<PeerMessage> decode(std::string_view in) {
  PeerMessage m;
  std::uint64_t version = 0, kind = 0;
  if (!take_number(in, version) || version != kCodecVersion || !take_number(in, kind)) return std::nullopt;
  if (!take_text(in, m.member) || !take_number(in, m.incarnation) || !take_number(in, m.term))
    return std::nullopt;
  m.kind = static_cast<PeerKind>(kind);
  bool good = false;
  std::uint64_t flags = 0;
  switch (kind) {
    case static_cast<std::uint64_t>(PeerKind::kStatus):
      good = take_number(in, flags) && flags < 8 && take_number(in, m.probe) && take_number(in, m.echo) &&
             take_number(in, m.echo_incarnation) && take_number(in, m.announced) && take_number(in, m.taken);
      m.leading = (flags & 1) != 0;
      m.ready = (flags & 2) != 0;
      m.state_ok = (flags & 4) != 0;
      break;
    case static_cast<std::uint64_t>(PeerKind::kCancellationsAnnounced):
      good = take_number(in, m.first) && m.first > 0 && take_numbers(in, m.jobs);
      break;
    case static_cast<std::uint64_t>(PeerKind::kForward):
      good = take_number(in, m.request) && take_text(in, m.method) && take_text(in, m.target) &&
             take_text(in, m.body);
      break;
    case static_cast<std::uint64_t>(PeerKind::kAnswer):
      good = take_number(in, m.request) && take_number(in, m.status) && take_number(in, m.retry_after_s) &&
             take_text(in, m.body);
      break;
    case static_cast<std::uint64_t>(PeerKind::kJobChanged):
      good = take_number(in, m.job);
      break;
    case static_cast<std::uint64_t>(PeerKind::kHeartbeat):
      good = take_number(in, m.request) && take_heartbeat(in, m.heartbeat);
      break;
    case static_cast<std::uint64_t>(PeerKind::kUnchangedHeartbeat):
      good = take_number(in, m.request) && take_head(in, m.heartbeat) && take_number(in, m.base_seq);
      break;
    case static_cast<std::uint64_t>(PeerKind::kCommands):
      good = take_number(in, m.request) && take_number(in, m.status) && take_commands(in, m.commands);
      break;
    case static_cast<std::uint64_t>(PeerKind::kProbe):
      good = take_number(in, m.request) && take_text(in, m.target) && take_number(in, m.base_seq) &&
             take_commands(in, m.commands);
      break;
    case static_cast<std::uint64_t>(PeerKind::kProbeResult):
      good = take_number(in, m.request) && take_number(in, m.status) &&
             (m.status == 0 || take_heartbeat(in, m.heartbeat));
      break;
    case static_cast<std::uint64_t>(PeerKind::kQuota):
      good = take_text(in, m.body);
      break;
    default:
      break;
  }
  if (!good || !in.empty()) return std::nullopt;
  return m;
}

}  // namespace robinford::protocol
