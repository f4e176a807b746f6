/// Keeps exceptions of callbacks inside the main loop, so that one request ends no process.
#pragma once

#include <exception>
#include <functional>
#include <string_view>

namespace bilberryseam {

/// @param source  What called the function, such as `timer`.
using exception_handler = std::function<void(std::string_view source, const std::exception& problem)>;

/// Sets what happens with an exception that left a callback; by default, it is written to standard error.
void setExceptionHandler(exception_handler handler);

/// Passes an exception to the handler.
void reportException(std::string_view source, const std::exception& problem) noexcept;

/// Calls a function from the main loop, which must not get an exception: GLib is C code.
/// @return False if the function threw one.
template <typename Function>
bool runGuarded(std::string_view source, Function&& function) noexcept
{
    try {
        function();
        return true;
    } catch (const std::exception& problem) {
        reportException(source, problem);
        return false;
    }
}
}
