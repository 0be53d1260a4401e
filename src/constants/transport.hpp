/// @file
/// Constants of the transport layer.
#pragma once

#include <cstddef>
#include <cstdint>

namespace robinford::constants {

/// @name Transport
/// @{

/// The protocol's limit for a request body.
inline constexpr std::size_t kRequestBodyBytesMax = std::size_t{64} * 1024;
/// Bytes of header fields accepted from a client.
inline constexpr std::size_t kRequestHeaderBytesMax = std::size_t{8} * 1024;
/// Bytes of a response body accepted from the state service, the cloud or a worker.
inline constexpr std::size_t kResponseBodyBytesMax = 4u << 20;
/// Time after which an idle client connection is closed.
inline constexpr double kServerIdleTimeoutS = 30.0;
/// Time within which a request must be complete after its first byte.
inline constexpr double kServerReadTimeoutS = 8.0;
/// Time after which a client that does not read its answer is disconnected.
inline constexpr double kServerWriteTimeoutS = 8.0;
/// Timeout of a connection attempt: a machine that is powered off does not refuse connections.
inline constexpr double kConnectTimeoutS = 1.0;
/// Connections to the state service, not counting watches.
inline constexpr std::size_t kStateConnections = 6;
/// Connections to the cloud.
inline constexpr std::size_t kCloudConnections = 2;
/// Calls waiting for a connection before new ones fail.
inline constexpr std::size_t kClientQueueMax = 256;
/// Bytes in one frame between controllers.
inline constexpr std::size_t kFrameBytesMax = std::size_t{256} * 1024;
/// Frames queued on a link before new ones are dropped.
inline constexpr std::size_t kLinkQueueFramesMax = 512;
/// Bytes queued on a link before new frames are dropped.
inline constexpr std::size_t kLinkQueueBytesMax = 2u << 20;
/// Time after which a server accepts again when accepting failed, so that the error does not spin.
inline constexpr double kAcceptRetryS = 0.1;
/// Time between two attempts to connect to another controller.
inline constexpr double kLinkRetryS = 0.3;
/// Time without received data after which an incoming link is closed, and time within which a peer must
/// accept a batch.
inline constexpr double kLinkIdleTimeoutS = 3.0;
/// Share of the usable sockets that users' connections may take.
inline constexpr double kUserSocketShare = 0.7;
/// Sockets reserved for the state service, the cloud and the other controllers, at most half of all sockets.
inline constexpr std::size_t kReservedSockets = 24;
/// Incoming links accepted in total, for each other member: its current one, and those of processes that
/// ended less than kLinkIdleTimeoutS ago.
inline constexpr std::size_t kLinksPerMemberMax = 6;

/// @}

}  // namespace robinford::constants
