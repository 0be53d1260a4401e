#include "protocol/peer_codec.hpp"

namespace robinford::protocol {
namespace {

constexpr std::uint64_t kCodecVersion = 1;

void put_text(std::string& out, std::string_view text) {
  put_varint(out, text.size());
  out.append(text);
}

bool take_text(std::string_view& in, std::string& into) {
  const auto size = take_varint(in);
  if (!size || *size > in.size()) return false;
  into.assign(in.substr(0, *size));
  in.remove_prefix(*size);
  return true;
}

bool take_number(std::string_view& in, std::uint64_t& into) {
  const auto value = take_varint(in);
  if (value) into = *value;
  return value.has_value();
}

}  // namespace

void put_varint(std::string& out, std::uint64_t value) {
  while (value >= 0x80) {
    out.push_back(static_cast<char>((value & 0x7f) | 0x80));
    value >>= 7;
  }
  out.push_back(static_cast<char>(value));
}

std::optional<std::uint64_t> take_varint(std::string_view& in) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < in.size() && i < 10; ++i) {
    const auto byte = static_cast<unsigned char>(in[i]);
    if (i == 9 && byte > 1) return std::nullopt;  // past 64 bits
    value |= static_cast<std::uint64_t>(byte & 0x7f) << (7 * i);
    if ((byte & 0x80) != 0) continue;
    if (byte == 0 && i > 0) return std::nullopt;  // one value, one form
    in.remove_prefix(i + 1);
    return value;
  }
  return std::nullopt;
}

std::string encode(const PeerMessage& m) {
  std::string out;
  out.reserve(64 + m.body.size());
  put_varint(out, kCodecVersion);
  put_varint(out, static_cast<std::uint64_t>(m.kind));
  put_text(out, m.member);
  put_varint(out, m.incarnation);
  put_varint(out, m.term);
  switch (m.kind) {
    case PeerKind::kStatus:
      put_varint(out, (m.leading ? 1u : 0u) | (m.ready ? 2u : 0u) | (m.state_ok ? 4u : 0u));
      break;
    case PeerKind::kForward:
      put_varint(out, m.request);
      put_text(out, m.method);
      put_text(out, m.target);
      put_text(out, m.body);
      break;
    case PeerKind::kAnswer:
      put_varint(out, m.request);
      put_varint(out, m.status);
      put_varint(out, m.retry_after_s);
      put_text(out, m.body);
      break;
    case PeerKind::kNudge:
      put_varint(out, m.job);
      break;
  }
  return out;
}

std::optional<PeerMessage> decode(std::string_view in) {
  PeerMessage m;
  std::uint64_t version = 0, kind = 0;
  if (!take_number(in, version) || version != kCodecVersion || !take_number(in, kind)) return std::nullopt;
  if (!take_text(in, m.member) || !take_number(in, m.incarnation) || !take_number(in, m.term)) return std::nullopt;
  m.kind = static_cast<PeerKind>(kind);
  bool good = false;
  std::uint64_t flags = 0;
  switch (kind) {
    case static_cast<std::uint64_t>(PeerKind::kStatus):
      good = take_number(in, flags) && flags < 8;
      m.leading = (flags & 1) != 0;
      m.ready = (flags & 2) != 0;
      m.state_ok = (flags & 4) != 0;
      break;
    case static_cast<std::uint64_t>(PeerKind::kForward):
      good = take_number(in, m.request) && take_text(in, m.method) && take_text(in, m.target) && take_text(in, m.body);
      break;
    case static_cast<std::uint64_t>(PeerKind::kAnswer):
      good = take_number(in, m.request) && take_number(in, m.status) && take_number(in, m.retry_after_s) &&
             take_text(in, m.body);
      break;
    case static_cast<std::uint64_t>(PeerKind::kNudge):
      good = take_number(in, m.job);
      break;
    default:
      break;
  }
  if (!good || !in.empty()) return std::nullopt;
  return m;
}

}  // namespace robinford::protocol
