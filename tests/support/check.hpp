/// Assertions whose operands stay alive while the failure message is composed.
#pragma once

#include <criterion/criterion.h>
#include <string>

namespace bilberryseam::tests {

/// Fails the test unless both strings are equal.
inline void checkEqual(const std::string& actual, const std::string& expected)
{
    cr_assert(actual == expected, "\"%s\" is not \"%s\"", actual.c_str(), expected.c_str());
}
}
