/// @file
/// Every number that the service is built on, with its unit and the reason for it: one file for each part of
/// the program below src/constants/, and this one for all of them. Site values (intervals, limits, prices)
/// come from the settings, never from here. A name that ends in S is a time in seconds, one in Ms in
/// milliseconds.
#pragma once

#include "constants/bookkeeping.hpp"
#include "constants/common.hpp"
#include "constants/coordination.hpp"
#include "constants/fleet.hpp"
#include "constants/protocol.hpp"
#include "constants/quota.hpp"
#include "constants/scheduling.hpp"
#include "constants/transport.hpp"
