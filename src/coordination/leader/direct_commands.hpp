/// @file
/// Commands that the leader sends to workers in calls of its own instead of in the answers to their
/// heartbeats. docs/design.md, section "Direct launches", explains why a late, duplicate or lost one is
/// harmless.
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

/// Whether this deployment sends launches as direct commands, and not only in the answers to heartbeats.
bool launches_directly(const protocol::Settings& settings);

/// A direct command to be sent to a worker, by this controller or by another one on its behalf.
struct DirectCall {
  std::uint64_t id = 0;  // passed back with the answer
  std::string addr;
  std::uint64_t agent_epoch = 0;
  std::uint64_t fencing_token = 0;
  std::vector<protocol::Command> commands;  // empty: a probe, which only asks for the worker's state
};

/// Sends direct commands and probes and tracks those that are not answered yet. Computes the limits on the
/// number of open commands (a fixed part of the controller's connections) and on their rate (in proportion to
/// the controller's processor share, with a minimum).
///
/// Also owns the list of unreconciled machines that a new leader probes, so that it need not wait for their
/// heartbeats (docs/design.md, "What was added", "Questions").
class DirectCommands {
 public:
  /// An unanswered command, with what the leader knew about the machine when it sent the command.
  struct OpenCommand {
    std::string machine;
    std::uint64_t agent_epoch = 0;  // that the command is addressed to
    // Counters of the newest heartbeat that this leader had applied; zero if there was none.
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
  /// Whether the limit on open commands allows one more.
  bool can_send() const;
  /// Whether the rate limit allows one more command.
  bool within_budget() const { return budget_.covers(1); }
  /// Sends the commands to the machine, unless its address is unknown or this leader no longer owns the
  /// fencing token. The caller checks the limits, as probes of suspect machines may exceed them.
  void send(bookkeeping::Machine& machine, std::vector<protocol::Command> commands);
  void probe(bookkeeping::Machine& machine) { send(machine, {}); }
  /// Sends the commands to a machine whose agent was reset with a token above that of this term. From then on
  /// its worker refuses all commands of this term, late copies of launches among them. Later terms are higher
  /// or equal.
  void fence(bookkeeping::Machine& machine, std::vector<protocol::Command> commands);

  /// Plans a probe of an unreconciled machine.
  void plan_probe(const std::string& machine) { to_probe_.push_back(machine); }
  /// Sends planned probes, as far as the limits allow.
  void send_planned_probes();

  /// Removes and returns the open command that was answered or has timed out. Returns nothing for an unknown
  /// id, for instance one of an earlier term.
  std::optional<OpenCommand> close(std::uint64_t id);
  /// Records that a command got no valid answer. Plans a further probe of an unreconciled machine, up to a
  /// limit. Probes a machine at once if it may be unreachable, that is, if its heartbeats arrive but neither
  /// answers nor commands seem to reach it. Returns kUnreachable when enough probes have failed; the caller
  /// must then cordon the machine, as cordoned ones are not judged again. The number of such machines is
  /// limited: if many seemed unreachable, the fault would more likely be with this controller.
  [[nodiscard]] Reachability record_failure(bookkeeping::Machine& machine);

 private:
  bool may_be_unreachable(const bookkeeping::Machine& machine) const;
  void send_with_token(bookkeeping::Machine& machine, std::uint64_t agent_epoch, std::uint64_t fencing_token,
                       std::vector<protocol::Command> commands);

  ControllerContext& context_;
  const Election& election_;
  const std::function<void(const DirectCall&)> send_;
  const bool launches_directly_;
  bookkeeping::TokenBucket budget_;
  std::uint64_t last_id_ = 0;  // not reset between terms, so that ids of earlier terms stay unknown
  std::map<std::uint64_t, OpenCommand> open_commands_;
  std::deque<std::string> to_probe_;
  std::size_t unreachable_ = 0;  // machines found unreachable in this term
};

}  // namespace robinford::coordination
