/// Processor time of another process, for measurements.
#pragma once

#include <fstream>
#include <string>
#include <unistd.h>

namespace bilberryseam::bench {

/// @return Processor time used by a process so far, in seconds.
[[nodiscard]] inline double processorSeconds(const std::string& pid)
{
    constexpr int firstField = 14;
    constexpr int lastField = 15;
    std::ifstream file("/proc/" + pid + "/stat");
    std::string field;
    double ticks = 0;
    for (int i = 1; i <= lastField && file >> field; ++i) {
        if (i >= firstField)
            ticks += std::stod(field);
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}
}
