/// Seeds of a soak run.
#pragma once

#include <cstdlib>
#include <sstream>
#include <string>
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

}
