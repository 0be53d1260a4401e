#include "coordination/election/leader_records.hpp"

#include "protocol/messages.hpp"

namespace robinford::coordination {
namespace json = boost::json;
using protocol::count_field;

namespace {

constexpr char kMember[] = "member";
constexpr char kIncarnation[] = "inc";
constexpr char kTerm[] = "term";
constexpr char kAnswerMs[] = "answers";
constexpr char kRecordsSince[] = "records_since";
constexpr char kFormerStoppedWallMs[] = "quiet";

std::string text_field(const json::value& value, const char* key) {
  if (!value.is_object()) return {};
  const auto* found = value.get_object().if_contains(key);
  return found != nullptr && found->is_string() ? std::string(found->get_string()) : std::string();
}

}  // namespace

json::object LeaderRecord::encode() const {
  json::object record;
  record[kMember] = member;
  record[kIncarnation] = incarnation;
  record[kTerm] = term;
  return record;
}

LeaderRecord LeaderRecord::decode(const json::value& value) {
  return {text_field(value, kMember), count_field(value, kIncarnation), count_field(value, kTerm)};
}

json::object TermRecord::encode() const {
  json::object record;
  record[kMember] = member;
  record[kIncarnation] = incarnation;
  record[kTerm] = term;
  record[kRecordsSince] = unanswered_recorded_since_term;
  record[kFormerStoppedWallMs] = former_stopped_wall_ms;
  if (answer_ms) record[kAnswerMs] = *answer_ms;
  return record;
}

TermRecord TermRecord::decode(const json::value& value) {
  TermRecord record;
  record.member = text_field(value, kMember);
  record.incarnation = count_field(value, kIncarnation);
  record.term = count_field(value, kTerm);
  record.unanswered_recorded_since_term = count_field(value, kRecordsSince);
  record.former_stopped_wall_ms = static_cast<std::int64_t>(count_field(value, kFormerStoppedWallMs));
  if (value.is_object() && value.get_object().contains(kAnswerMs))
    record.answer_ms = static_cast<std::int64_t>(count_field(value, kAnswerMs));
  return record;
}

}  // namespace robinford::coordination
