/// A connected entry, for the sources of `pool_router`.
#pragma once

#include "gateway/pool_router.hpp"

namespace bilberryseam::gateway {

struct pool_router::peer {
    entry_record record;
    uint64_t jobs = 0;
    bool isObsolete = false;
    /// It has responded to the query for a newer configuration.
    bool hasStatedConfiguration = false;
    /// The owner refused a job and gets no further ones before this time.
    time_point refusedUntil {};
    /// When the connection was lost, until it returns.
    std::optional<time_point> lostAt;
    std::string lostReason;
    /// Messages about crashes were left out; all that is known is sent once the peer reads again.
    bool hasMissedMessages = false;
    std::unique_ptr<wire::session> session;
};
}
