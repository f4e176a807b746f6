/// Umbrella header of the `policy` package: decisions as free functions on plain structs, without I/O or clocks.
#pragma once

#include "policy/batching.hpp"
#include "policy/budget.hpp"
#include "policy/call_queue.hpp"
#include "policy/claims.hpp"
#include "policy/crash_evidence.hpp"
#include "policy/fairness.hpp"
#include "policy/hedging.hpp"
#include "policy/orders.hpp"
#include "policy/ownership.hpp"
#include "policy/placement.hpp"
#include "policy/rate_limit.hpp"
#include "policy/routing.hpp"
#include "policy/stream_origins.hpp"
#include "policy/suspicion.hpp"
#include "policy/target_health.hpp"
#include "policy/work_value.hpp"
