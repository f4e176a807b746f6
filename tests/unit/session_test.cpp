/// Connections of sessions: when they count as inactive, and what the peers are told of a connection that returns.
#include "support/test_host.hpp"
#include "support/wait.hpp"
#include "wire/server.hpp"
#include "wire/session.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;

namespace {
constexpr milliseconds testTimeout { 10000 };

/// A session and its server, in one process.
struct session_pair {
    explicit session_pair(uint16_t port)
        : address { tests::testHost(), port }
        , server(address, "server", { 1, 1 }, {}, serverCallbacks())
        , session(address, "client", { 2, 2 }, timing, clientCallbacks())
    {
        tests::runUntil([this] { return session.isUp(); }, testTimeout, "the connection");
    }

    wire::session_server::callbacks serverCallbacks()
    {
        wire::session_server::callbacks callbacks;
        callbacks.onMessage = [](identifier, wire::message&) {};
        callbacks.onAttached = [](identifier, bool) {};
        callbacks.onExpired = [](identifier) {};
        callbacks.onViolation = [](std::string_view) {};
        return callbacks;
    }

    wire::session::callbacks clientCallbacks()
    {
        wire::session::callbacks callbacks;
        callbacks.onMessage = [](wire::message&) {};
        callbacks.onAttached = [](bool) {};
        callbacks.onLost = [] {};
        callbacks.onDetached = [this](std::string_view reason, bool) { detachReasons.emplace_back(reason); };
        return callbacks;
    }

    wire::link_timing timing;
    std::vector<std::string> detachReasons;
    ip_endpoint address;
    wire::session_server server;
    wire::session session;
};
}

Test(session, a_stall_of_the_own_process_is_no_silence_of_the_peer)
{
    session_pair pair(1587);
    time_point now = monotonicNow();
    pair.session.tick(now, true);
    // The next tick comes late, and before the sockets are read.
    now += pair.timing.busyInactivityTimeout * 2;
    pair.session.tick(now, true);
    cr_assert(pair.session.isUp());
    // From now on the process runs, and the peer sends nothing.
    constexpr milliseconds tickPeriod { 25 };
    for (int i = 0; i < pair.timing.busyInactivityTimeout / tickPeriod + 2; ++i)
        pair.session.tick(now += tickPeriod, true);
    cr_assert_not(pair.session.isUp());
    cr_assert_eq(pair.detachReasons, std::vector<std::string> { "silent" });
}
