/// Umbrella header of the `wire` package: the protocol between daemons of this project.
#pragma once

#include "wire/codec.hpp"
#include "wire/forward_declarations.hpp"
#include "wire/message.hpp"
#include "wire/server.hpp"
#include "wire/session.hpp"
#include "wire/session_channel.hpp"
#include "wire/session_state.hpp"
#include "wire/websocket.hpp"
