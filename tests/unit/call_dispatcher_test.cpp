/// Calls of a side whose target is withdrawn.
#include "configuration/configuration.hpp"
#include "fakes/platform_store.hpp"
#include "side/call_dispatcher.hpp"
#include "support/notes.hpp"
#include "support/test_host.hpp"
#include "support/wait.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using nlohmann::json;

namespace {
constexpr milliseconds testTimeout { 10000 };

/// Longer than the period in which a side removes withdrawn targets.
constexpr milliseconds claimDelay { 400 };

void applyNote(configuration::state& current, const json& note)
{
    cr_assert(configuration::applyRecord(current, { current.nextOffset, 1000, note.dump() }) == configuration::fold_step::Applied);
    cr_assert(current.verdicts.at(note["note"]).isAccepted);
}

wire::start_call bookingCall(uint64_t number)
{
    wire::start_call call;
    call.request = { 1, number };
    call.attempt = { 2, number };
    call.target = "rank-1";
    call.pipeline = "p";
    call.stage = "s";
    call.account = "acme";
    call.remainingMs = 5000;
    call.isRetryable = false;
    call.keyIssuedMs = wallNow().time_since_epoch().count();
    call.idempotencyKey = "key-" + std::to_string(number);
    call.body = "{}";
    return call;
}
}

Test(call_dispatcher, a_target_withdrawn_while_a_call_claims_its_key_stays_until_the_call_has_ended)
{
    const ip_endpoint log { tests::testHost(), 1580 };
    fakes::platform_store store(log);
    settings::side_settings settings;
    settings.advertise = ip_endpoint::parse("127.0.0.1:1").value();
    settings.platform.log = log;
    metrics counters;
    execution::suspicion_exchange suspicions(counters, "side", [](const wire::message&) {}, {});
    std::optional<wire::refusal> refusal;
    side::call_dispatcher::callbacks callbacks;
    callbacks.send = [&](identifier, const wire::message& message) {
        if (const auto* refused = std::get_if<wire::call_refused>(&message))
            refusal = refused->reason;
    };
    callbacks.sendToAll = [](const wire::message&) {};
    callbacks.entryCount = [] { return size_t { 1 }; };
    side::call_dispatcher dispatcher(settings, counters, suspicions, std::move(callbacks));
    json note = tests::firstNoteJson();
    note["added"]["services"][0]["repeatable"] = false;
    configuration::state state;
    applyNote(state, note);
    dispatcher.applyConfiguration(state);
    tests::runUntil([&] { return store.readCount() > 0; }, testTimeout, "the read of the claims");
    tests::runFor(milliseconds(100));

    store.setFaults({ .delay = claimDelay });
    wire::start_call call = bookingCall(1);
    dispatcher.start({ 3, 1 }, call);
    cr_assert(!refusal, "the call is refused at once");
    applyNote(state, { { "schema", 1 }, { "note", "second" }, { "allowEmptyStages", true }, { "withdrawn", { { "targets", { { { "name", "rank-1" }, { "basedOn", 0 } } } } } } });
    dispatcher.applyConfiguration(state);
    tests::runFor(claimDelay / 2);
    cr_assert(!dispatcher.isIdle());
    cr_assert_eq(dispatcher.status().size(), 1u, "the target of a call has been removed");
    tests::runUntil([&] { return dispatcher.isIdle(); }, testTimeout, "the end of the call");
    cr_assert(refusal == wire::refusal::Draining);
    tests::runUntil([&] { return dispatcher.status().empty(); }, testTimeout, "the removal of the target");
}
