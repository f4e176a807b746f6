/// Lost and delayed responses of fakes that are served by libsoup.
#pragma once

#include "loop/http.hpp"

#include <functional>
#include <utility>

namespace bilberryseam::fakes {

/// Closes the connection of a message without a response.
void dropConnection(SoupServerMessage* message);

/// Responds to a message after a delay, with the status and body that the function then returns.
void respondLater(SoupServerMessage* message, milliseconds delay, std::function<std::pair<unsigned, nlohmann::json>()> function);
}
