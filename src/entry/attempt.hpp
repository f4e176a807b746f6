/// Events of one attempt at one stage.
#pragma once

#include "wire/message.hpp"

#include <functional>
#include <variant>

namespace bilberryseam::entry {

/// The side lost the state of the attempt, so its outcome is unknown. Final.
struct attempt_lost { };

/// The link to the side is down, so no events arrive. Not final: the link may be restored.
struct attempt_stalled { };

/// Event of an attempt. `call_refused`, `call_finished` and `attempt_lost` are final.
using attempt_event = std::variant<wire::call_refused, wire::call_started, wire::call_output, wire::call_finished, attempt_lost, attempt_stalled>;

/// Receives the events of one attempt in order.
using attempt_handler = std::function<void(attempt_event&)>;
}
