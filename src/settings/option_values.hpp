/// Reads a command line by Boost.Program_options; for the command lines of this project's programs.
#pragma once

#include "base/result.hpp"

#include <boost/program_options.hpp>

namespace bilberryseam::settings {

/// @return The options that are given, which are also stored where the description says, or `InvalidSettings`.
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
