/// @file
/// Parses the method and path of an HTTP request.
#pragma once

#include <boost/system/result.hpp>
#include <cstdint>
#include <string>

#include "protocol/messages.hpp"

namespace robinford::coordination {

/// Operations of the HTTP interface.
enum class RequestTarget : std::uint8_t {
  kReadiness,
  kMetrics,
  kHeartbeat,
  kSubmission,
  kPoll,
  kCancellation
};

/// Why a request does not match any operation of the HTTP interface.
enum class RouteError : std::uint8_t {
  kUnknownPath,       ///< no target has this path
  kUnknownJobPath,    ///< below the path of jobs, but neither a job nor a cancellation
  kMethodNotAllowed,  ///< the target requires another method
  kNoSuchJob,         ///< the path segment of the job is not a valid job id
};

/// Target of a request, with the job id from its path.
struct RequestRoute {
  RequestTarget target = RequestTarget::kReadiness;
  protocol::JobId job = 0;  ///< only for kPoll and kCancellation
};

/// Parses the route of a request; `path` is without the query. The path is checked first, then the method,
/// then the job id.
boost::system::result<RequestRoute, RouteError> parse_route(const std::string& method,
                                                            const std::string& path);

}  // namespace robinford::coordination
