/// @file
/// Figures of machines and machine types that scale-out and scale-in both compute with.
#pragma once

#include "coordination/controller_context.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {

/// Cores of a machine that are left beside the gangs on it.
double array_cores(const bookkeeping::Machine& machine);

/// Present price of a core of the machine for an hour; 0 while its type is unknown.
double price_per_core(const ControllerContext& context, const bookkeeping::Machine& machine);

/// Nominal boot time in seconds of the type that boots fastest; 0 while no type is known.
double shortest_boot_s(const ControllerContext& context);

/// Mean number of idle machines to keep for the gangs that arrive while one machine boots, or what the policy
/// script sets. Arrays may use them meanwhile.
int spare_gang_machines(const ControllerContext& context, const Scheduler& scheduler);

/// Nothing runs on the machine, is reserved on it or may run on it.
bool is_empty(const bookkeeping::Machine& machine);

}  // namespace robinford::coordination
