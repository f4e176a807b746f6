/// One attempt at one stage, and what a pipeline run is told about it.
#pragma once

#include "wire/message.hpp"

#include <functional>
#include <variant>

namespace bilberryseam::entry {

/// The side lost its memory of the attempt: it may or may not have run. Final.
struct attempt_lost { };

/// The link is down and the side's word is missing. Not final: the link may come back.
struct attempt_stalled { };

/// News of an attempt. `call_refused`, `call_finished` and `attempt_lost` are final.
using attempt_event = std::variant<wire::call_refused, wire::call_started, wire::call_output, wire::call_finished, attempt_lost, attempt_stalled>;

/// Gets the news of one attempt, in order.
using attempt_handler = std::function<void(attempt_event&)>;
}
