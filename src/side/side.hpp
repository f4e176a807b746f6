/// Umbrella header of the `side` package: the sidecar process through which all calls reach a target.
#pragma once

#include "side/call_dispatcher.hpp"
#include "side/claim_client.hpp"
#include "side/line_splitter.hpp"
#include "side/model_reconciler.hpp"
#include "side/target_call.hpp"
