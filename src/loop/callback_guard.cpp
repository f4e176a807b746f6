#include "loop/callback_guard.hpp"

#include <iostream>

namespace bilberryseam {

namespace {
    exception_handler& currentHandler()
    {
        static exception_handler handler;
        return handler;
    }
}

void setExceptionHandler(exception_handler handler)
{
    currentHandler() = std::move(handler);
}

void reportException(std::string_view source, const std::exception& problem) noexcept
{
    try {
        if (const auto& handler = currentHandler())
            handler(source, problem);
        else
            std::cerr << "A callback of the main loop failed (" << source << "): " << problem.what() << "\n";
    } catch (const std::exception&) {
        // There is nobody left to tell.
    }
}
}
