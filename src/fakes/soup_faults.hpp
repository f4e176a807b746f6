/// Faulty answers of the stand-ins that speak the product's own interfaces.
#pragma once

#include "loop/http.hpp"

#include <functional>
#include <utility>

namespace bilberryseam::fakes {

/// Closes the connection of a message without an answer.
void dropConnection(SoupServerMessage* message);

/// Answers a message later with the status and body that the function gives then.
void respondLater(SoupServerMessage* message, milliseconds delay, std::function<std::pair<unsigned, nlohmann::json>()> function);
}
