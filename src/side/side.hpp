/// Umbrella header of the `side` package: the process beside a target, its only gate.
#pragma once

#include "side/call_gate.hpp"
#include "side/claim_keeper.hpp"
#include "side/line_splitter.hpp"
#include "side/order_keeper.hpp"
#include "side/target_call.hpp"
