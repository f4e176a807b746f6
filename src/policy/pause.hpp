/// Pauses: times during which a target wants no requests of this process.
#pragma once

#include "base/time.hpp"

namespace bilberryseam::policy {

/// The present or last pause of one target.
struct target_pause {
    time_point since {};
    time_point until {};
};

/// How a refusal changes a pause.
enum class pause_change {
    None,
    Begun,
    Lengthened,
};

[[nodiscard]] bool isPaused(const target_pause& pause, time_point now) noexcept;

/// Applies a refusal that asks for a pause. The end of a pause never moves forward.
pause_change applyPause(target_pause& pause, milliseconds length, time_point now) noexcept;
}
