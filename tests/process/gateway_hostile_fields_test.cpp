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
