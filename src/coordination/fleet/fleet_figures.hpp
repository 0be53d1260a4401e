/// @file
/// Quantities of machines and machine types that both scale-out and scale-in use.
#pragma once

#include "coordination/controller_context.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace robinford::coordination {

/// Cores of the machine that its gangs and their reservations leave for arrays.
double array_cores(const bookkeeping::Machine& machine);

/// Current price of one core of the machine per hour; 0 while its type is unknown.
double price_per_core(const ControllerContext& context, const bookkeeping::Machine& machine);

/// Nominal boot time in seconds of the type that boots fastest; 0 while no type is known.
double shortest_boot_s(const ControllerContext& context);

/// Number of spare machines to keep for gangs: the mean number of machines needed by the gangs that
/// arrive while a machine of the slowest type boots, unless the policy script sets a number. Arrays may use
/// spare machines until gangs need them.
int spare_gang_machines(const ControllerContext& context, const Scheduler& scheduler);

/// Whether nothing runs on the machine, may still run on it, or is reserved on it.
bool is_empty(const bookkeeping::Machine& machine);

}  // namespace robinford::coordination
