// Validates JSON values against a JSON Schema (draft 7) with Valijson.
#pragma once

#include <boost/json.hpp>
#include <memory>
#include <optional>
#include <string>

namespace robinford::quota {

class JsonSchema {
 public:
  // The schema is part of the program, so an invalid one is a programming error: the constructor throws.
  explicit JsonSchema(const std::string& schema_text);
  ~JsonSchema();
  JsonSchema(const JsonSchema&) = delete;
  JsonSchema& operator=(const JsonSchema&) = delete;

  // Describes the outermost violation, with the path of its value; empty for a valid value.
  std::optional<std::string> violation(const boost::json::value& value) const;

 private:
  struct Compiled;
  std::unique_ptr<Compiled> compiled_;
};

}  // namespace robinford::quota
