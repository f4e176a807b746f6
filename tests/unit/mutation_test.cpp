/// Mutated settings and release notes are refused, never crash.
#include "configuration/configuration.hpp"
#include "settings/settings.hpp"
#include "support/notes.hpp"

#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>
#include <random>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
std::string mutate(const std::string& text, std::mt19937_64& random)
{
    static const std::vector<std::string> pieces { "null", "-1", "1e400", "\"", "{}", "[]", "18446744073709551616", "true", ",", ":", "\\u0000" };
    std::string mutated = text;
    const size_t at = random() % mutated.size();
    switch (random() % 3) {
    case 0:
        mutated[at] = static_cast<char>(random());
        break;
    case 1:
        mutated.erase(at, 1 + random() % 5);
        break;
    default:
        mutated.insert(at, pieces[random() % pieces.size()]);
        break;
    }
    return mutated;
}
}

Test(mutation, release_notes)
{
    std::mt19937_64 random(20261204);
    const std::string whole = firstNoteJson().dump();
    configuration::state state;
    for (int round = 0; round < 5000; ++round) {
        const std::string text = mutate(mutate(whole, random), random);
        cr_assert(configuration::applyRecord(state, { state.nextOffset, 0, text }) != configuration::fold_step::OutOfOrder);
        if (!state.haltReason.empty())
            state = {};
    }
}

Test(mutation, settings)
{
    std::mt19937_64 random(20261204);
    const std::string whole = json { { "name", "e" }, { "region", "north" }, { "listen", "127.0.0.1:1990" }, { "operatorListen", "127.0.0.1:1991" }, { "platform", { { "log", "127.0.0.1:1992" } } }, { "limits", { { "maxRequests", 10 } } } }.dump();
    const std::string path = std::filesystem::temp_directory_path() / ("bilberryseam-mutation-" + std::to_string(getpid()));
    for (int round = 0; round < 1000; ++round) {
        std::ofstream(path) << mutate(mutate(whole, random), random);
        const auto read = settings::entry_settings::fromFile(path);
        if (!read)
            cr_assert(read.error().kind() == error_kind::InvalidSettings);
    }
    std::filesystem::remove(path);
}
