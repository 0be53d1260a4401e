/// @file
/// Constants of messages, settings and policy scripts.
#pragma once

#include <cstddef>
#include <cstdint>

namespace robinford::constants {

/// @name Policy scripts
/// @{

/// Bytes a policy script may use.
inline constexpr std::size_t kLuaMemoryBytes = 4u << 20;
/// Instructions a policy script may run.
inline constexpr int kLuaInstructionsMax = 2'000'000;

/// @}

/// @name Protocol
/// @{

/// Bytes in a name: it may become part of a key, which has 200 at most.
inline constexpr std::size_t kNameBytesMax = 200;

/// @}

}  // namespace robinford::constants
