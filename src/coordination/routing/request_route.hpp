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
enum class RouteError : std::uint8_t {
  kUnknownPath,       ///< the path belongs to none of the targets
  kUnknownJobPath,    ///< it is below the jobs' path, and names neither a job nor a job's cancellation
  kMethodNotAllowed,  ///< the target has another method
  kNoSuchJob,         ///< what stands for the job is no job id
};

/// A request's target, with the job that it names.
struct RequestRoute {
  RequestTarget target = RequestTarget::kReadiness;
  protocol::JobId job = 0;  ///< of kPoll and kCancellation
};

/// Reads the route of a request; `path` has no query. Errors are found in the order path, method, job.
boost::system::result<RequestRoute, RouteError> parse_route(const std::string& method,
                                                            const std::string& path);

}  // namespace robinford::coordination
