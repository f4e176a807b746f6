/// Seeds of a soak run.
#pragma once

#include "base/time.hpp"

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryseam::tests {

/// @return The seeds in BILBERRYSEAM_SOAK_SEEDS, or those of the run in CI.
inline std::vector<unsigned> selectedSeeds()
{
    // Seeds that have failed are added here; docs/PROOFS.md describes their causes.
    const char* text = std::getenv("BILBERRYSEAM_SOAK_SEEDS");
    if (!text)
        return { 1, 2 };
    std::vector<unsigned> seeds;
    std::istringstream ranges(text);
    for (std::string item; std::getline(ranges, item, ',');) {
        const size_t dashPosition = item.find('-');
        const unsigned first = static_cast<unsigned>(std::stoul(item));
        const unsigned last = dashPosition == std::string::npos ? first : static_cast<unsigned>(std::stoul(item.substr(dashPosition + 1)));
        for (unsigned seed = first; seed <= last; ++seed)
            seeds.push_back(seed);
    }
    return seeds;
}

/// @return The duration in BILBERRYSEAM_SOAK_SECONDS, or that of the run in CI.
inline milliseconds selectedDuration(int defaultSeconds)
{
    const char* text = std::getenv("BILBERRYSEAM_SOAK_SECONDS");
    return milliseconds(1000 * (text ? std::stoi(text) : defaultSeconds));
}

/// @return Whether it is checked that a stream has events of one software version only; BILBERRYSEAM_SOAK_VERSIONS=0 only
/// counts those that do not.
inline bool areVersionsChecked()
{
    const char* text = std::getenv("BILBERRYSEAM_SOAK_VERSIONS");
    return !text || std::string_view(text) != "0";
}

/// Writes the logs of a failed run to the folder in BILBERRYSEAM_SOAK_LOGS, if there is one.
inline void keepLogs(const std::string& name, unsigned seed, const std::string& description, const std::string& logs)
{
    if (const char* folder = std::getenv("BILBERRYSEAM_SOAK_LOGS"))
        std::ofstream(std::string(folder) + "/" + name + "-" + std::to_string(seed) + ".log") << description << "\n"
                                                                                              << logs;
}

}
