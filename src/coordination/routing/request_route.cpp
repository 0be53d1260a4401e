/// @file
/// Implementation of parse_route.
#include "coordination/routing/request_route.hpp"

#include "protocol/names.hpp"

namespace robinford::coordination {
namespace n = names;

namespace {

/// A parsed path whose method and job id are not checked yet.
struct PathParts {
  RequestTarget target = RequestTarget::kReadiness;
  std::string job_text;
};

boost::system::result<PathParts, RouteError> split_path(const std::string& path) {
  const std::string jobs = n::kPathJobs;
  const std::string cancel = n::kPathCancel;
  if (path == n::kPathReady) return PathParts{RequestTarget::kReadiness, {}};
  if (path == n::kPathMetrics) return PathParts{RequestTarget::kMetrics, {}};
  if (path == n::kPathHeartbeat) return PathParts{RequestTarget::kHeartbeat, {}};
  if (path == jobs) return PathParts{RequestTarget::kSubmission, {}};
  if (!path.starts_with(jobs + "/")) return RouteError::kUnknownPath;
  PathParts parts{RequestTarget::kPoll, path.substr(jobs.size() + 1)};
  if (parts.job_text.size() > cancel.size() && parts.job_text.ends_with(cancel)) {
    parts.target = RequestTarget::kCancellation;
    parts.job_text.resize(parts.job_text.size() - cancel.size());
  }
  if (parts.job_text.find('/') != std::string::npos) return RouteError::kUnknownJobPath;
  return parts;
}

const char* method_of(RequestTarget target) {
  switch (target) {
    case RequestTarget::kReadiness:
    case RequestTarget::kMetrics:
    case RequestTarget::kPoll:
      return "GET";
    case RequestTarget::kHeartbeat:
    case RequestTarget::kSubmission:
    case RequestTarget::kCancellation:
      break;
  }
  return "POST";
}

}  // namespace

boost::system::result<RequestRoute, RouteError> parse_route(const std::string& method,
                                                            const std::string& path) {
  const auto parts = split_path(path);
  if (!parts) return parts.error();
  if (method != method_of(parts->target)) return RouteError::kMethodNotAllowed;
  RequestRoute route{parts->target, 0};
  if (route.target == RequestTarget::kPoll || route.target == RequestTarget::kCancellation) {
    const auto job = protocol::parse_job_id(parts->job_text);
    if (!job) return RouteError::kNoSuchJob;
    route.job = *job;
  }
  return route;
}

}  // namespace robinford::coordination
