#include "quota/messages.hpp"

#include "constants.hpp"
#include "protocol/peer_codec.hpp"

namespace robinford::quota {
namespace {
using protocol::put_varint;

constexpr char kLesseeTag = 1;
constexpr char kLessorTag = 2;

void put_text(std::string& out, std::string_view text) {
  put_varint(out, text.size());
  out.append(text);
}

void put_amount(std::string& out, const Amount& amount) {
  put_varint(out, static_cast<std::uint64_t>(std::max<std::int64_t>(0, amount.cpus)));
  put_varint(out, static_cast<std::uint64_t>(std::max<std::int64_t>(0, amount.gpus)));
}

// Reads fields from the front. After the first malformed field, `good` stays false.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : rest_(bytes) {}
  bool consumed_all_bytes() const { return good_ && rest_.empty(); }
  bool good() const { return good_; }

  std::uint64_t number() {
    const auto value = protocol::take_varint(rest_);
    good_ = good_ && value.has_value();
    return value.value_or(0);
  }
  std::uint32_t tasks() {
    const auto value = number();
    good_ = good_ && value <= constants::kTasksPerJobMax;
    return good_ ? static_cast<std::uint32_t>(value) : 0;
  }
  Amount amount() {
    const auto cpus = number(), gpus = number();
    good_ = good_ && cpus <= constants::kThousandthsMax && gpus <= constants::kThousandthsMax;
    if (!good_) return {};
    return {static_cast<std::int64_t>(cpus), static_cast<std::int64_t>(gpus)};
  }
  std::string text() {
    const auto size = number();
    good_ = good_ && size <= rest_.size();
    if (!good_) return {};
    std::string result(rest_.substr(0, size));
    rest_.remove_prefix(size);
    return result;
  }
  // Number of list entries. Each entry takes at least one byte, so a count above the remaining bytes is
  // malformed.
  std::uint64_t count() {
    const auto value = number();
    good_ = good_ && value <= rest_.size();
    return good_ ? value : 0;
  }
  // The tag is a single byte, not a varint.
  void tag(char expected) {
    good_ = good_ && !rest_.empty() && rest_.front() == expected;
    if (good_) rest_.remove_prefix(1);
  }

 private:
  std::string_view rest_;
  bool good_ = true;
};

}  // namespace

std::string encode(const LesseeMessage& message) {
  std::string out(1, kLesseeTag);
  for (const auto value : {message.lessor_incarnation, message.epoch, message.probe, message.refunds_taken})
    put_varint(out, value);
  put_varint(out, message.grants.size());
  for (const auto& grant : message.grants) {
    put_varint(out, grant.number);
    put_varint(out, grant.job);
    put_text(out, grant.team);
    put_varint(out, grant.tasks);
    put_amount(out, grant.each);
  }
  put_varint(out, message.with_parts ? 1 : 0);
  put_varint(out, message.parts.size());
  for (const auto& part : message.parts) {
    put_text(out, part.team);
    put_varint(out, part.revision);
    put_amount(out, part.size);
    put_amount(out, part.demand);
  }
  return out;
}

std::string encode(const LessorMessage& message) {
  std::string out(1, kLessorTag);
  for (const auto value :
       {message.incarnation, message.lessor_incarnation, message.epoch, message.probe, message.grants_taken})
    put_varint(out, value);
  put_varint(out, message.refunds.size());
  for (const auto& refund : message.refunds) {
    put_varint(out, refund.number);
    put_varint(out, refund.job);
    put_varint(out, refund.tasks);
  }
  put_varint(out, message.parts.size());
  for (const auto& part : message.parts) {
    put_text(out, part.team);
    put_varint(out, part.revision);
    put_amount(out, part.size);
    put_amount(out, part.keep);
  }
  return out;
}

std::optional<LesseeMessage> decode_lessee(std::string_view bytes) {
  Reader in(bytes);
  LesseeMessage message;
  in.tag(kLesseeTag);
  message.lessor_incarnation = in.number();
  message.epoch = in.number();
  message.probe = in.number();
  message.refunds_taken = in.number();
  for (auto left = in.count(); left > 0 && in.good(); --left) {
    NewGrant grant;
    grant.number = in.number();
    grant.job = in.number();
    grant.team = in.text();
    grant.tasks = in.tasks();
    grant.each = in.amount();
    message.grants.push_back(std::move(grant));
  }
  const auto with_parts = in.number();
  message.with_parts = with_parts == 1;
  for (auto left = in.count(); left > 0 && in.good(); --left) {
    HeldPart part;
    part.team = in.text();
    part.revision = in.number();
    part.size = in.amount();
    part.demand = in.amount();
    message.parts.push_back(std::move(part));
  }
  if (!in.consumed_all_bytes() || with_parts > 1) return std::nullopt;
  return message;
}

std::optional<LessorMessage> decode_lessor(std::string_view bytes) {
  Reader in(bytes);
  LessorMessage message;
  in.tag(kLessorTag);
  message.incarnation = in.number();
  message.lessor_incarnation = in.number();
  message.epoch = in.number();
  message.probe = in.number();
  message.grants_taken = in.number();
  for (auto left = in.count(); left > 0 && in.good(); --left) {
    Refund refund;
    refund.number = in.number();
    refund.job = in.number();
    refund.tasks = in.tasks();
    message.refunds.push_back(refund);
  }
  for (auto left = in.count(); left > 0 && in.good(); --left) {
    OfferedPart part;
    part.team = in.text();
    part.revision = in.number();
    part.size = in.amount();
    part.keep = in.amount();
    message.parts.push_back(std::move(part));
  }
  if (!in.consumed_all_bytes()) return std::nullopt;
  return message;
}

bool is_lessor_message(std::string_view bytes) { return !bytes.empty() && bytes.front() == kLessorTag; }

}  // namespace robinford::quota
