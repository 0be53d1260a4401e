#include "quota/lease_options.hpp"

#include <toml++/toml.h>

#include <cmath>
#include <sstream>

#include "protocol/text_file.hpp"
#include "quota/json_schema.hpp"

namespace robinford::quota {
namespace {

constexpr char kSection[] = "quota_leases";

constexpr char kSchema[] = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["enabled"],
  "properties": {
    "enabled": {"type": "boolean"},
    "ttl_s": {"type": "number", "minimum": 2, "maximum": 60},
    "leased_share": {"type": "number", "minimum": 0.05, "maximum": 0.95},
    "rebalance_s": {"type": "number", "minimum": 0.2, "maximum": 60},
    "idle_return_s": {"type": "number", "minimum": 0.5, "maximum": 600},
    "grant_idle_s": {"type": "number", "minimum": 1, "maximum": 600},
    "write_share": {"type": "number", "minimum": 0.01, "maximum": 0.5}
  }
})";

[[noreturn]] void fail(const std::string& what) { throw LeaseOptionsError("quota leases: " + what); }

boost::json::value to_json(const std::string& key, const toml::node& node) {
  if (const auto* flag = node.as_boolean()) return flag->get();
  if (const auto* number = node.as_floating_point(); number != nullptr && std::isfinite(number->get()))
    return number->get();
  if (const auto* number = node.as_integer()) return number->get();
  if (const auto* text = node.as_string()) return boost::json::string(text->get());
  fail(key + " must be a boolean or a finite number");
}

boost::json::object to_json(const toml::table& table) {
  boost::json::object object;
  for (const auto& [key, node] : table) {
    const std::string name(key.str());
    object[name] = to_json(name, node);
  }
  return object;
}

// Checks each key separately, so that the error message names the key: a schema violation has only a path.
void check_keys(const boost::json::object& section) {
  const JsonSchema schema(kSchema);
  for (const auto& [key, value] : section) {
    boost::json::object alone{{"enabled", true}};
    alone[key] = value;
    if (schema.violation(alone)) fail(std::string(key) + " is unknown or its value is not allowed");
  }
  if (const auto violation = schema.violation(section)) fail("enabled is missing");
}

}  // namespace

LeaseOptions parse_lease_options(const std::string& toml_text) {
  toml::table root;
  try {
    root = toml::parse(toml_text);
  } catch (const toml::parse_error& error) {
    std::ostringstream out;
    out << error.description() << " (line " << error.source().begin.line << ")";
    fail(out.str());
  }
  for (const auto& [key, node] : root)
    if (key.str() != kSection) fail(std::string(key.str()) + " is unknown");
  const auto* table = root[kSection].as_table();
  if (table == nullptr) fail(std::string("section [") + kSection + "] is missing");
  const auto section = to_json(*table);
  check_keys(section);
  LeaseOptions options;
  const auto number = [&](const char* key, double otherwise) {
    const auto* value = section.if_contains(key);
    return value == nullptr ? otherwise : value->to_number<double>();
  };
  options.enabled = section.at("enabled").as_bool();
  options.ttl_s = number("ttl_s", options.ttl_s);
  options.leased_share = number("leased_share", options.leased_share);
  options.rebalance_s = number("rebalance_s", options.rebalance_s);
  options.idle_return_s = number("idle_return_s", options.idle_return_s);
  options.grant_idle_s = number("grant_idle_s", options.grant_idle_s);
  options.write_share = number("write_share", options.write_share);
  return options;
}

LeaseOptions load_lease_options(const std::string& path) {
  const auto text = protocol::read_text_file(path);
  if (!text) fail("cannot read '" + path + "'");
  return parse_lease_options(*text);
}

}  // namespace robinford::quota
