/// Umbrella header of the `loop` package: GLib's main loop, timers, GObject pointers, HTTP client and server helpers.
#pragma once

#include "loop/deferred_response.hpp"
#include "loop/disconnect_watch.hpp"
#include "loop/gobject_ptr.hpp"
#include "loop/http.hpp"
#include "loop/main_loop.hpp"
#include "loop/timer.hpp"
