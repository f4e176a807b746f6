/// Header fields of callers with bytes that no JSON text can hold.
#include "support/deployment_fixture.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::tests;

// Guards against a gateway that ends on a field which it has to write into a batch call.
Test(gateway_hostile_fields, fields_that_are_not_utf_8_are_refused)
{
    deployment_fixture deployment(409);
    deployment.addTarget("e-1", "encode");
    deployment.addTarget("m-1", "model");
    const nlohmann::json stages { { { "service", "encode" }, { "after", nlohmann::json::array() }, { "bytes", 1000 } } };
    const nlohmann::json profile { { "name", "encode" }, { "pieces", { { "slots", 1 }, { "queue", 2 }, { "batch", 4 }, { "call_ms", 5 }, { "item_ms", 1 }, { "headroom_mb", 10 }, { "handle_s", 4 } } } };
    deployment.configure(3, { deployment_fixture::route("/m/", "idempotent", "model", { { "stages", stages } }) }, { profile });
    deployment.startGateway();
    deployment.waitUntilReady();
    const std::string bytes = "k\xff\xfe";
    const std::vector<http1::header_list> fields {
        { { "X-Pieces", "1" }, { "X-Piece-Key", bytes } },
        { { "X-Pieces", "1" }, { "X-Piece-Key", "k" }, { "X-Attempt-Id", bytes } },
    };
    for (const auto& headers : fields) {
        cr_assert_eq(deployment.sendAndWait("GET", "/m/1", headers)->head.status, 400);
        cr_assert(!deployment.hasExited(0));
    }
    const http1::header_list sound { { "X-Pieces", "1" }, { "X-Piece-Key", "k" }, { "X-Other", bytes } };
    cr_assert_eq(deployment.sendAndWait("GET", "/m/1", sound)->head.status, 200);
}

// Guards against a gateway that ends, with the requests of others, on a field that is too long for a library (review/9).
Test(gateway_hostile_fields, a_request_with_thousands_of_pieces_ends_no_gateway)
{
    deployment_fixture deployment(488);
    auto& pool = deployment.addTarget("e-1", "encode");
    auto& model = deployment.addTarget("m-1", "model");
    deployment.addTarget("p-1", "pages");
    // The handles of the default results are short.
    pool.setBatchCallHandler([made = 0](const std::shared_ptr<http1::exchange>& exchange) mutable {
        const nlohmann::json call = nlohmann::json::parse(exchange->body());
        nlohmann::json items = nlohmann::json::array();
        for (size_t i = 0; i < call.at("items").size(); ++i)
            items.push_back({ { "handle", "10.1.64.7:8080/91bd3f06e44" + std::to_string(++made) } });
        exchange->respond(200, { { "Content-Type", "application/json" } }, nlohmann::json { { "items", items } }.dump());
    });
    const nlohmann::json stages { { { "service", "encode" }, { "after", nlohmann::json::array() }, { "bytes", 10 } } };
    const nlohmann::json profile { { "name", "encode" }, { "pieces", { { "slots", 1 }, { "queue", 2 }, { "batch", 100 }, { "call_ms", 5 }, { "item_ms", 0.1 }, { "headroom_mb", 10 }, { "handle_s", 4 } } } };
    deployment.configure(3, { deployment_fixture::route("/m/", "idempotent", "model", { { "stages", stages } }), deployment_fixture::route("/p/", "idempotent", "pages") }, { profile });
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto large = deployment.send("GET", "/m/1", { { "X-Pieces", "2400" }, { "X-Piece-Key", "k" } });
    std::vector<caller_ptr> others;
    deployment.waitUntil([&] {
        others.push_back(deployment.send("GET", "/p/" + std::to_string(others.size())));
        deployment.runLoopFor(milliseconds(20));
        return large->isFinished;
    },
        "the end of the large request");
    deployment.waitUntil([&] { return std::all_of(others.begin(), others.end(), [](const auto& item) { return item->isFinished; }); }, "the end of the others");
    for (const auto& other : others)
        cr_assert_eq(other->head.status, 200, "status %u", other->head.status);
    cr_assert(!deployment.hasExited(0));
    // The target of this test takes no head of this size, and says so.
    cr_assert_eq(large->head.status, 502, "status %u", large->head.status);
    cr_assert(model.requests().empty());
}

Test(gateway_hostile_fields, a_field_within_a_large_limit_is_refused_if_it_cannot_be_held)
{
    deployment_fixture deployment(489);
    deployment.addTarget("p-1", "pages");
    deployment.configure(3, { deployment_fixture::route("/p/", "idempotent", "pages") }, nlohmann::json::array(), nullptr, { { "max_header_bytes", 200000 } });
    deployment.startGateway();
    deployment.waitUntilReady();
    for (const size_t size : { 65533, 65534, 65536, 150000 }) {
        const auto response = deployment.sendAndWait("GET", "/p/1", { { "X-Other", std::string(size, 'x') } });
        cr_assert(response->head.status == 431 || response->head.status == 502, "status %u for %zu bytes", response->head.status, size);
        cr_assert(!deployment.hasExited(0));
    }
    cr_assert_eq(deployment.sendAndWait("GET", "/p/1")->head.status, 200);
}
