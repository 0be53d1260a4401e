/// @file
/// What an HTTP request asks for, read from its method and path.
#pragma once

#include <boost/system/result.hpp>
#include <cstdint>
#include <string>

#include "protocol/messages.hpp"

namespace robinford::coordination {

/// What the HTTP interface offers.
enum class RequestTarget : std::uint8_t {
  kReadiness,
  kMetrics,
  kHeartbeat,
  kSubmission,
  kPoll,
  kCancellation
};

/// Why a request asks for nothing that the HTTP interface offers.
enum class RouteError : std::uint8_t { kNoSuchPath, kMethodNotAllowed, kNoSuchJob };

/// A request's target, with the job that it names.
struct RequestRoute {
  RequestTarget target = RequestTarget::kReadiness;
  protocol::JobId job = 0;  ///< of kPoll and kCancellation
};

/// Reads the route of a request; `path` has no query. Errors are found in the order path, method, job.
boost::system::result<RequestRoute, RouteError> parse_route(const std::string& method,
                                                            const std::string& path);

}  // namespace robinford::coordination
