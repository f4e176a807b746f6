/// Links of an entry to the sides of a target that moves from one side to another.
#include "configuration/configuration.hpp"
#include "entry/side_links.hpp"
#include "support/notes.hpp"
#include "support/test_host.hpp"
#include "support/wait.hpp"
#include "wire/server.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using nlohmann::json;

namespace {
constexpr milliseconds testTimeout { 10000 };

/// A side that reports the load of the target to each entry that connects.
struct reporting_side {
    reporting_side(const ip_endpoint& address, uint64_t number)
        : server(address, "side", { 1, number }, {}, callbacks())
    {
    }

    void report(bool isDraining)
    {
        wire::target_load load;
        load.target = "rank-1";
        load.capacity = 1;
        load.isDraining = isDraining;
        server.postToAll(load);
    }

    wire::session_server::callbacks callbacks()
    {
        wire::session_server::callbacks handlers;
        handlers.onMessage = [this](identifier, wire::message& message) { callCount += std::holds_alternative<wire::start_call>(message) ? 1 : 0; };
        handlers.onAttached = [this](identifier, bool) { report(false); };
        handlers.onExpired = [](identifier) {};
        handlers.onViolation = [](std::string_view) {};
        return handlers;
    }

    int callCount = 0;
    wire::session_server server;
};

void applyNote(configuration::state& current, const json& note)
{
    cr_assert(configuration::applyRecord(current, { current.nextOffset, 1000, note.dump() }) == configuration::fold_step::Applied);
    cr_assert(current.verdicts.at(note["note"]).isAccepted);
}
}

Test(side_links, a_report_of_the_former_side_does_not_make_a_target_unusable)
{
    const ip_endpoint formerAddress { tests::testHost(), 1581 };
    const ip_endpoint newAddress { tests::testHost(), 1582 };
    reporting_side formerSide(formerAddress, 1);
    reporting_side newSide(newAddress, 2);
    metrics counters;
    entry::side_links::callbacks callbacks;
    callbacks.onPeerAttached = [](identifier) {};
    callbacks.onPeerLost = [](identifier) {};
    callbacks.onOtherMessage = [](identifier, wire::message&) {};
    callbacks.onCapacityChanged = [] {};
    entry::side_links links("entry", counters, std::move(callbacks));
    json note = tests::firstNoteJson();
    json& target = note["added"]["targets"][0];
    target["side"] = formerAddress.toString();
    configuration::state state;
    applyNote(state, note);
    links.applyConfiguration(state);
    tests::runUntil([&] { return links.isUsable(*links.targetsOf("rank").front()); }, testTimeout, "the former side");
    // A call in flight keeps the link to the former side.
    wire::start_call call;
    call.attempt = { 4, 1 };
    call.target = "rank-1";
    links.dispatch(*links.targetsOf("rank").front(), call, [](entry::attempt_event&) {});
    tests::runUntil([&] { return formerSide.callCount == 1; }, testTimeout, "the call");

    target["side"] = newAddress.toString();
    target["basedOn"] = 0;
    applyNote(state, { { "schema", 1 }, { "note", "second" }, { "changed", { { "targets", { target } } } } });
    links.applyConfiguration(state);
    tests::runUntil([&] { return links.isUsable(*links.targetsOf("rank").front()); }, testTimeout, "the new side");
    formerSide.report(true);
    tests::runFor(milliseconds(200));
    cr_assert(links.isUsable(*links.targetsOf("rank").front()));
    newSide.report(true);
    tests::runUntil([&] { return !links.isUsable(*links.targetsOf("rank").front()); }, testTimeout, "the report of the new side");
}
