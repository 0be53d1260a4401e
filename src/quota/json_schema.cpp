#include "quota/json_schema.hpp"

#include <valijson/adapters/boost_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace robinford::quota {

struct JsonSchema::Compiled {
  valijson::Schema schema;
};

JsonSchema::JsonSchema(const std::string& schema_text) : compiled_(std::make_unique<Compiled>()) {
  const auto document = boost::json::parse(schema_text);
  valijson::SchemaParser parser;
  const valijson::adapters::BoostJsonAdapter adapter(document);
  parser.populateSchema(adapter, compiled_->schema);
}

JsonSchema::~JsonSchema() = default;

std::optional<std::string> JsonSchema::violation(const boost::json::value& value) const {
  valijson::Validator validator;
  valijson::ValidationResults results;
  const valijson::adapters::BoostJsonAdapter adapter(value);
  if (validator.validate(compiled_->schema, adapter, &results)) return std::nullopt;
  valijson::ValidationResults::Error error;
  // Valijson reports a violation in a nested value before those of the enclosing values, so the last one is
  // the outermost.
  std::string text = "is not valid";
  while (results.popError(error)) {
    std::string path;
    for (const auto& step : error.context) path += step;
    text = path + ": " + error.description;
  }
  return text;
}

}  // namespace robinford::quota
