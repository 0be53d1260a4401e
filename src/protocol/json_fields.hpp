// Typed fields of JSON objects. A field that is missing, null, or of another type or range gives nothing.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace robinford::protocol::json_fields {

// The value itself; null when it is missing or null.
const boost::json::value* field(const boost::json::object& object, const char* key);
// A finite decimal number.
std::optional<double> amount(const boost::json::object& object, const char* key);
// An integer from 0 up.
std::optional<std::uint64_t> whole(const boost::json::object& object, const char* key);
// A text that may be a name: neither empty nor too long.
std::optional<std::string> word(const boost::json::object& object, const char* key);
std::optional<bool> flag(const boost::json::object& object, const char* key);
// A list of names.
std::optional<std::vector<std::string>> words(const boost::json::value& value);

}  // namespace robinford::protocol::json_fields
