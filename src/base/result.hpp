/// Return type of functions that can fail: a value, or an `error` that `.value()` throws.
#pragma once

#include "base/error.hpp"

#include <boost/outcome/basic_result.hpp>

namespace bilberryseam {

namespace detail {
    // Boost.Outcome prescribes the names of these functions.
    // NOLINTBEGIN(readability-identifier-naming)
    struct throw_error_policy : boost::outcome_v2::policy::base {
        template <typename Implementation>
        static constexpr void wide_value_check(Implementation&& self)
        {
            if (!base::_has_value(std::forward<Implementation>(self)))
                throw base::_error(std::forward<Implementation>(self));
        }

        template <typename Implementation>
        static constexpr void wide_error_check(Implementation&& self)
        {
            if (!base::_has_error(std::forward<Implementation>(self)))
                throw std::logic_error("The result holds a value, not an error.");
        }
    };
    // NOLINTEND(readability-identifier-naming)
}

/// A value of type T or an `error`.
template <typename T>
using result = boost::outcome_v2::basic_result<T, error, detail::throw_error_policy>;
}
