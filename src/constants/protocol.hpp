/// @file
/// Constants of messages, settings and policy scripts.
#pragma once

#include <cstddef>
#include <cstdint>

namespace robinford::constants {

/// @name Policy scripts
/// @{

/// Memory that a policy script may use.
inline constexpr std::size_t kLuaMemoryBytes = 4u << 20;
/// Instructions that a policy script may execute.
inline constexpr int kLuaInstructionsMax = 2'000'000;

/// @}

/// @name Protocol
/// @{

/// Bytes in a name. A name may become part of a key, which has 200 bytes at most.
inline constexpr std::size_t kNameBytesMax = 200;

/// @}

}  // namespace robinford::constants
