#include "outbox_digest.hpp"

#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <sstream>

namespace robinford::simulation {

void OutboxDigest::add(double time_s, std::string_view member, const protocol::Outbox& outbox) {
  std::ostringstream prefix;
  prefix << std::hexfloat << time_s << ' ' << member << ' ';
  for (const auto& reply : outbox.replies) {
    if (reply.text) continue;
    std::ostringstream line;
    line << prefix.str() << "reply " << reply.token << ' ' << reply.status << ' ' << reply.retry_after_s
         << ' ' << reply.body;
    add_line(line.str());
  }
  for (const auto& call : outbox.calls) {
    std::ostringstream line;
    line << prefix.str() << "call " << static_cast<int>(call.service) << ' ' << call.addr << ' '
         << call.method << ' ' << call.target << ' ' << call.timeout_s << ' ' << call.watch << ' '
         << call.body;
    add_line(line.str());
  }
  for (const auto& send : outbox.sends) add_line(prefix.str() + "frame " + send.member + ' ' + send.frame);
}

std::string OutboxDigest::text() const { return boost::uuids::to_string(digest_); }

void OutboxDigest::add_line(const std::string& line) {
  digest_ = boost::uuids::name_generator_sha1(digest_)(line.data(), line.size());
}

}  // namespace robinford::simulation
