/// @file
/// The design constants of the service, with their units and reasons: one file below src/constants/ for each
/// part of the program, and this file to include all of them. Values that depend on the site (intervals,
/// limits, prices) come from the settings. A name that ends in S is a time in seconds, and one that ends in
/// Ms a time in milliseconds.
#pragma once

#include "constants/bookkeeping.hpp"
#include "constants/common.hpp"
#include "constants/coordination.hpp"
#include "constants/fleet.hpp"
#include "constants/protocol.hpp"
#include "constants/quota.hpp"
#include "constants/scheduling.hpp"
#include "constants/transport.hpp"
