/// Umbrella header of the `telemetry` package: structured logs and metrics.
#pragma once

#include "telemetry/log.hpp"
#include "telemetry/metrics.hpp"
