/// How a message reaches all processes of a deployment.
///
/// Load pattern: many targets end within seconds, and each of many processes has something to tell all others about each
/// of them. If each passed each message on to all it is connected to, the number of messages would be the square of the
/// number of processes for each. Each process passes a message on once, to the logarithm of their number.
#pragma once

#include <cstddef>
#include <vector>

namespace bilberryseam::policy {

/// @param own    Position of this process in a list that is the same for all of them.
/// @param count  Number of processes.
/// @return The positions to which this process passes messages on: at distances 1, 2, 4 and so on. Every process is reached
///         in as many steps as each has such positions, and through as many others.
[[nodiscard]] std::vector<size_t> spreadPeers(size_t own, size_t count);
}
