/// Parsing of command lines with Boost.Program_options.
#pragma once

#include "base/result.hpp"

#include <boost/program_options.hpp>

namespace bilberryseam::settings {

/// Parses a command line and stores the values in the variables of the option description.
/// @return The values, or `InvalidSettings`.
[[nodiscard]] inline result<boost::program_options::variables_map> readOptionValues(int argc, const char* const* argv, const boost::program_options::options_description& description)
{
    boost::program_options::variables_map values;
    try {
        boost::program_options::store(boost::program_options::parse_command_line(argc, argv, description), values);
        boost::program_options::notify(values);
        return values;
    } catch (const boost::program_options::error& exception) {
        return error(error_kind::InvalidSettings, std::string(exception.what()) + ".", "See --help.", "command line");
    }
}
}
