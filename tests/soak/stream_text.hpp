/// Events of the soak's streams.
#pragma once

#include <string>
#include <string_view>

namespace bilberryseam::tests {

constexpr int eventsPerStream = 6;

inline std::string eventText(const std::string& id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + id + "-" + std::to_string(number) + "\n\n";
}

inline std::string streamText(const std::string& id, int firstNumber = 1)
{
    std::string text;
    for (int i = firstNumber; i <= eventsPerStream; ++i)
        text += eventText(id, i);
    return text;
}

/// @return The size, or one byte less if the text would then end between two events; zero stays zero.
inline size_t sizeInsideEvent(std::string_view events, size_t size)
{
    return size > 0 && events.substr(0, size).ends_with("\n\n") ? size - 1 : size;
}
}
