#include "protocol/json_fields.hpp"

#include <cmath>

#include "constants.hpp"

namespace robinford::protocol::json_fields {
namespace json = boost::json;

const json::value* field(const json::object& object, const char* key) {
  const auto* value = object.if_contains(key);
  return value == nullptr || value->is_null() ? nullptr : value;
}

std::optional<double> amount(const json::object& object, const char* key) {
  const auto* value = field(object, key);
  if (value == nullptr) return std::nullopt;
  double result = 0;
  if (value->is_double())
    result = value->get_double();
  else if (value->is_int64())
    result = static_cast<double>(value->get_int64());
  else if (value->is_uint64())
    result = static_cast<double>(value->get_uint64());
  else
    return std::nullopt;
  if (!std::isfinite(result)) return std::nullopt;
  return result;
}

std::optional<std::uint64_t> whole(const json::object& object, const char* key) {
  const auto* value = field(object, key);
  if (value == nullptr) return std::nullopt;
  if (value->is_uint64()) return value->get_uint64();
  if (value->is_int64() && value->get_int64() >= 0) return static_cast<std::uint64_t>(value->get_int64());
  return std::nullopt;
}

std::optional<std::string> word(const json::object& object, const char* key) {
  const auto* value = field(object, key);
  if (value == nullptr || !value->is_string()) return std::nullopt;
  const auto& text = value->get_string();
  if (text.empty() || text.size() > constants::kNameBytesMax) return std::nullopt;
  return std::string(text);
}

std::optional<bool> flag(const json::object& object, const char* key) {
  const auto* value = field(object, key);
  if (value == nullptr || !value->is_bool()) return std::nullopt;
  return value->get_bool();
}

std::optional<std::vector<std::string>> words(const json::value& value) {
  if (!value.is_array()) return std::nullopt;
  std::vector<std::string> result;
  for (const auto& item : value.get_array()) {
    if (!item.is_string() || item.get_string().empty() || item.get_string().size() > constants::kNameBytesMax)
      return std::nullopt;
    result.emplace_back(item.get_string());
  }
  return result;
}

}  // namespace robinford::protocol::json_fields
