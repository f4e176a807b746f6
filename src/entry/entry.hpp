/// Umbrella header of the `entry` package: admits the requests of callers and runs their stages through the sides.
#pragma once

#include "entry/admission.hpp"
#include "entry/attempt.hpp"
#include "entry/caller_server.hpp"
#include "entry/outcome.hpp"
#include "entry/pipeline_run.hpp"
#include "entry/request.hpp"
#include "entry/request_reader.hpp"
#include "entry/run_context.hpp"
#include "entry/side_links.hpp"
#include "entry/stage_body.hpp"
