/// @file
/// Commands that the leader sends straight to workers instead of in the answers to their heartbeats.
/// docs/design.md, section "Direct launches", argues why one that comes late, twice or never does no harm.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/controller_context.hpp"
#include "coordination/election/election.hpp"

namespace robinford::coordination {

/// Whether launches go out as direct commands on this site, and not only in the answers to heartbeats.
bool launches_directly(const protocol::Settings& settings);

/// A direct command as the controller carries it out, itself or through another controller.
struct DirectCall {
  std::uint64_t id = 0;  // the controller gives it back with the answer
  std::string addr;
  std::uint64_t agent_epoch = 0;
  std::vector<protocol::Command> commands;  // empty: a probe, which only asks for the worker's state
};

/// Sends direct commands and probes and keeps track of those that are not answered yet. Limits how many are
/// open (to a part of the sockets) and how many go out per second (by the processor share).
///
/// Also owns the list of unreconciled machines that a new leader probes, so that it need not wait for their
/// heartbeats (docs/design.md, "What was added", "Questions").
class DirectCommands {
 public:
  /// What the leader knew of a machine when it sent a command there.
  struct OpenCommand {
    std::string machine;
    std::uint64_t agent_epoch = 0;  // that the command was meant for
    // The newest heartbeat that the machine had sent to this leader; zero if there was none.
    std::uint64_t known_agent_epoch = 0;
    std::uint64_t known_seq = 0;
  };
  enum class Reachability : std::uint8_t { kUncertain, kUnreachable };

  /// `send` starts a call; its answer must not come before `send` returns. The references must outlive the
  /// object.
  DirectCommands(ControllerContext& context, const Election& election,
                 std::function<void(const DirectCall&)> send);

  /// Forgets open commands and planned probes. Answers to forgotten commands are ignored.
  void clear();
  void refill_budget() { budget_.refill(context_.now.steady); }

  bool launches_directly() const { return launches_directly_; }
  /// Whether one more command may be open.
  bool can_send() const;
  /// Whether the rate limit allows one more command.
  bool within_budget() const { return budget_.covers(1); }
  /// Sends the commands to the machine, unless its address is unknown or this leader no longer owns the
  /// fencing token. The caller checks the limits: probes of doubtful machines go out beyond them.
  void send(bookkeeping::Machine& machine, std::vector<protocol::Command> commands);
  void probe(bookkeeping::Machine& machine) { send(machine, {}); }

  /// Plans a probe of an unreconciled machine.
  void plan_probe(const std::string& machine) { to_probe_.push_back(machine); }
  /// Sends planned probes, as far as the limits allow.
  void send_planned_probes();

  /// An answer came, or surely none will: forgets the open command and returns it. Empty if it is not known,
  /// for instance from an earlier term.
  std::optional<OpenCommand> close(std::uint64_t id);
  /// No valid answer came to a command. Probes the machine once more if it may be unreachable: its heartbeats
  /// arrive, but neither answers nor commands get there. Returns kUnreachable, once for each machine, when
  /// that is settled; then it should be cordoned. If it seemed true of many machines the fault would be this
  /// controller's, so the number is limited.
  [[nodiscard]] Reachability record_failure(bookkeeping::Machine& machine);

 private:
  bool may_be_unreachable(const bookkeeping::Machine& machine) const;

  ControllerContext& context_;
  const Election& election_;
  const std::function<void(const DirectCall&)> send_;
  const bool launches_directly_;
  bookkeeping::TokenBucket budget_;
  std::uint64_t last_id_ = 0;  // never starts again, so that ids of earlier terms stay unknown
  std::map<std::uint64_t, OpenCommand> open_commands_;
  std::deque<std::string> to_probe_;
  std::size_t unreachable_ = 0;  // machines found unreachable in this term
};

}  // namespace robinford::coordination
