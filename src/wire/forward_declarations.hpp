/// Forward declarations of the `wire` package.
#pragma once

namespace bilberryseam::wire {
class session;
class session_server;
class websocket;
struct frame;
struct hello;
struct session_state;
struct welcome;
}
