/// @file
/// Constants of the transport layer.
#pragma once

#include <cstddef>
#include <cstdint>

namespace robinford::constants {

/// @name Transport
/// @{

/// Unit: bytes. The protocol's limit for a request body.
inline constexpr std::size_t kRequestBodyBytesMax = std::size_t{64} * 1024;
/// Bytes of header fields taken from a client.
inline constexpr std::size_t kRequestHeaderBytesMax = std::size_t{8} * 1024;
/// Bytes of an answer read from the state service or cloud.
inline constexpr std::size_t kResponseBodyBytesMax = 4u << 20;
/// Unit: s. An idle client connection is closed.
inline constexpr double kServerIdleTimeoutS = 30.0;
/// Unit: s. A request must be complete by then, once begun.
inline constexpr double kServerReadTimeoutS = 8.0;
/// Unit: s. A client that does not read its answer is dropped.
inline constexpr double kServerWriteTimeoutS = 8.0;
/// Unit: s. A machine without power never refuses a connection.
inline constexpr double kConnectTimeoutS = 1.0;
/// Connections to the state service, watches aside.
inline constexpr std::size_t kStateConnections = 6;
/// Connections to the cloud.
inline constexpr std::size_t kCloudConnections = 2;
/// Calls waiting for a connection before new ones fail.
inline constexpr std::size_t kClientQueueMax = 256;
/// Bytes in one frame between controllers.
inline constexpr std::size_t kFrameBytesMax = std::size_t{256} * 1024;
/// Frames waiting on a link before new ones are dropped.
inline constexpr std::size_t kLinkQueueFramesMax = 512;
/// Bytes waiting on a link, for the same reason.
inline constexpr std::size_t kLinkQueueBytesMax = 2u << 20;
/// Unit: s. Between attempts to reach another controller.
inline constexpr double kLinkRetryS = 0.3;
/// Unit: s. An incoming link without a heartbeat is closed.
inline constexpr double kLinkIdleTimeoutS = 3.0;
/// Share of the socket quota that users' connections may take.
inline constexpr double kUserSocketShare = 0.7;
/// Sockets kept for state service, cloud and other controllers.
inline constexpr std::size_t kReservedSockets = 24;
/// Incoming links at once: one, and those of processes that ended within kLinkIdleTimeoutS.
inline constexpr std::size_t kLinksPerMemberMax = 6;

/// @}

}  // namespace robinford::constants
