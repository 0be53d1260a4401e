#include "quota/lease_record.hpp"

#include <set>

#include "constants.hpp"
#include "quota/json_schema.hpp"

namespace robinford::quota {
namespace json = boost::json;

namespace {

constexpr char kMember[] = "member";
constexpr char kEpoch[] = "epoch";
constexpr char kIncarnation[] = "inc";
constexpr char kParts[] = "parts";

// Stored values also have the random mark that TxnWriter adds in the field `w`, so further properties are
// allowed.
constexpr char kSchema[] = R"({
  "type": "object",
  "required": ["member", "epoch", "inc", "parts"],
  "properties": {
    "member": {"type": "string", "minLength": 1, "maxLength": 200},
    "epoch": {"type": "integer", "minimum": 1},
    "inc": {"type": "integer", "minimum": 0},
    "parts": {
      "type": "array",
      "maxItems": 4096,
      "items": {
        "type": "array",
        "minItems": 4,
        "maxItems": 4,
        "items": [
          {"type": "string", "minLength": 1, "maxLength": 1000},
          {"type": "integer", "minimum": 0, "maximum": 1000000000000000},
          {"type": "integer", "minimum": 0, "maximum": 1000000000000000},
          {"type": "integer", "minimum": 1}
        ]
      }
    }
  }
})";

const JsonSchema& schema() {
  static const JsonSchema compiled(kSchema);
  return compiled;
}

std::string text_of(const json::value& value) {
  return {value.get_string().data(), value.get_string().size()};
}

}  // namespace

std::string lease_key(const std::string& member, std::uint32_t slice) {
  return kLeaseRecordPrefix + member + "/" + std::to_string(slice);
}

json::object encode_lease(const LeaseRecord& record) {
  json::array parts;
  for (const auto& part : record.parts)
    parts.push_back(json::array{part.team, part.size.cpus, part.size.gpus, part.revision});
  json::object value;
  value[kMember] = record.member;
  value[kEpoch] = record.epoch;
  value[kIncarnation] = record.incarnation;
  value[kParts] = std::move(parts);
  return value;
}

std::variant<LeaseRecord, RecordError> decode_lease(const json::value& value) {
  if (const auto violation = schema().violation(value)) return RecordError{*violation};
  const auto& object = value.get_object();
  LeaseRecord record;
  record.member = text_of(object.at(kMember));
  try {
    record.epoch = object.at(kEpoch).to_number<std::uint64_t>();
    record.incarnation = object.at(kIncarnation).to_number<std::uint64_t>();
    std::set<std::string> teams;
    for (const auto& entry : object.at(kParts).get_array()) {
      const auto& fields = entry.get_array();
      LeasePart part;
      part.team = text_of(fields[0]);
      part.size = {fields[1].to_number<std::int64_t>(), fields[2].to_number<std::int64_t>()};
      part.revision = fields[3].to_number<std::uint64_t>();
      if (!teams.insert(part.team).second) return RecordError{"team " + part.team + " is listed twice"};
      record.parts.push_back(std::move(part));
    }
  } catch (const boost::system::system_error& error) {
    return RecordError{error.what()};
  }
  return record;
}

std::size_t encoded_size(const LeasePart& part) {
  return json::serialize(json::string(part.team)).size() + constants::kLeasePartOverheadBytes;
}

}  // namespace robinford::quota
