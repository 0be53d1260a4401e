// Checks JSON values against a JSON Schema (draft 7), by Valijson.
#pragma once

#include <boost/json.hpp>
#include <memory>
#include <optional>
#include <string>

namespace robinford::quota {

class JsonSchema {
 public:
  // The text is part of the program: one that can't be read throws.
  explicit JsonSchema(const std::string& schema_text);
  ~JsonSchema();
  JsonSchema(const JsonSchema&) = delete;
  JsonSchema& operator=(const JsonSchema&) = delete;

  // The first violation, with the path of the value that causes it; nothing for a valid value.
  std::optional<std::string> violation(const boost::json::value& value) const;

 private:
  struct Compiled;
  std::unique_ptr<Compiled> compiled_;
};

}  // namespace robinford::quota
