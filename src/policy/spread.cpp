#include "policy/spread.hpp"

namespace bilberryseam::policy {

std::vector<size_t> spreadPeers(size_t own, size_t count)
{
    std::vector<size_t> peers;
    for (size_t distance = 1; distance < count; distance *= 2)
        peers.push_back((own + distance) % count);
    return peers;
}
}
