/// Release notes for tests.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace bilberryseam::tests {

/// @return A note that adds one service with one target and one pipeline.
inline nlohmann::json firstNoteJson()
{
    return { { "schema", 1 }, { "note", "first" }, { "author", "anna" },
        { "added", { { "services", { { { "name", "rank" }, { "kind", "pool" } } } }, { "targets", { { { "name", "rank-1" }, { "service", "rank" }, { "region", "north" }, { "side", "127.0.0.1:1" }, { "address", "127.0.0.1:2" } } } }, { "pipelines", { { { "name", "p" }, { "stages", { { { "name", "s" }, { "service", "rank" } } } } } } }, { "accounts", { { { "name", "acme" } } } } } } };
}

/// @return A note that changes the weight of an account.
inline nlohmann::json weightNoteJson(const std::string& note, uint64_t basedOn, double weight, const std::string& account = "acme")
{
    return { { "schema", 1 }, { "note", note }, { "author", "ben" }, { "changed", { { "accounts", { { { "name", account }, { "basedOn", basedOn }, { "weight", weight } } } } } } };
}
}
