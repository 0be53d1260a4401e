/// @file
/// Parsing of the state service's answers.
#include "bookkeeping/state_replies.hpp"

#include <utility>

#include "protocol/messages.hpp"
#include "protocol/names.hpp"

namespace robinford::bookkeeping {
namespace n = names;
namespace json = boost::json;
using protocol::CallResult;

namespace {

std::uint64_t number(const json::object& object, const char* key) {
  const auto* value = object.if_contains(key);
  if (value == nullptr) return 0;
  if (value->is_uint64()) return value->get_uint64();
  if (value->is_int64() && value->get_int64() > 0) return static_cast<std::uint64_t>(value->get_int64());
  return 0;
}

std::string text(const json::object& object, const char* key) {
  const auto* value = object.if_contains(key);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

json::value value_field(const json::object& object) {
  const auto* value = object.if_contains(n::kValue);
  return value != nullptr ? *value : json::value();
}

std::optional<json::object> parse_object(const CallResult& result) {
  auto value = protocol::parse_json(result.body);
  if (!value || !value->is_object()) return std::nullopt;
  return std::move(value->get_object());
}

const json::array* list_field(const json::object& object, const char* key) {
  const auto* value = object.if_contains(key);
  return value != nullptr ? value->if_array() : nullptr;
}

StateEvent event_of(const json::object& entry) {
  StateEvent event;
  event.deleted = entry.contains(n::kDelete);
  event.key = text(entry, event.deleted ? n::kDelete : n::kPut);
  event.mod_revision = number(entry, n::kModRevision);
  event.value = value_field(entry);
  return event;
}

}  // namespace

StateRead parse_read(const CallResult& result) {
  StateRead read;
  const auto object = parse_object(result);
  if (result.status == state_status::kOk && object) {
    read.found = StateRead::Found::kYes;
    read.mod_revision = number(*object, n::kModRevision);
    read.value = value_field(*object);
  } else if (result.status == state_status::kNotFound) {
    read.found = StateRead::Found::kNo;
  }
  return read;
}

std::optional<StatePage> parse_page(const CallResult& result) {
  const auto object = parse_object(result);
  if (result.status != state_status::kOk || !object) return std::nullopt;
  StatePage page;
  page.revision = number(*object, n::kRevision);
  const auto* more = object->if_contains(n::kMore);
  page.more = more != nullptr && more->is_bool() && more->get_bool();
  if (const auto* items = list_field(*object, n::kItems)) {
    for (const auto& item : *items) {
      if (!item.is_object()) continue;
      const auto& entry = item.get_object();
      page.items.push_back({text(entry, n::kKey), number(entry, n::kModRevision), value_field(entry)});
    }
  }
  return page;
}

WatchResult parse_watch(const CallResult& result) {
  WatchResult watch;
  if (result.status == state_status::kTooOld) watch.outcome = WatchResult::Outcome::kTooOld;
  const auto object = parse_object(result);
  if (result.status != state_status::kOk || !object) return watch;
  watch.outcome = WatchResult::Outcome::kEvents;
  watch.revision = number(*object, n::kRevision);
  if (const auto* events = list_field(*object, n::kEvents)) {
    for (const auto& item : *events)
      if (item.is_object()) watch.events.push_back(event_of(item.get_object()));
  }
  return watch;
}

}  // namespace robinford::bookkeeping
