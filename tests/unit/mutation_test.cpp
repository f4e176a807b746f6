/// Randomly mutated settings files and release notes do not cause a crash; invalid ones are rejected.
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
    static const std::vector<std::string> fragments { "null", "-1", "1e400", "\"", "{}", "[]", "18446744073709551616", "true", ",", ":", "\\u0000" };
    std::string mutatedText = text;
    const size_t position = random() % mutatedText.size();
    switch (random() % 3) {
    case 0:
        mutatedText[position] = static_cast<char>(random());
        break;
    case 1:
        mutatedText.erase(position, 1 + random() % 5);
        break;
    default:
        mutatedText.insert(position, fragments[random() % fragments.size()]);
        break;
    }
    return mutatedText;
}
}

Test(mutation, mutated_release_notes_never_crash_the_fold)
{
    std::mt19937_64 random(20261204);
    const std::string original = firstNoteJson().dump();
    configuration::state state;
    for (int round = 0; round < 5000; ++round) {
        const std::string text = mutate(mutate(original, random), random);
        cr_assert(configuration::applyRecord(state, { state.nextOffset, 0, text }) != configuration::fold_step::OutOfOrder);
        if (!state.haltReason.empty())
            state = {};
    }
}

Test(mutation, mutated_settings_give_invalid_settings_errors)
{
    std::mt19937_64 random(20261204);
    const std::string original = json { { "name", "e" }, { "region", "north" }, { "listen", "127.0.0.1:1990" }, { "operatorListen", "127.0.0.1:1991" }, { "platform", { { "log", "127.0.0.1:1992" } } }, { "limits", { { "maxRequests", 10 } } } }.dump();
    const std::string path = std::filesystem::temp_directory_path() / ("bilberryseam-mutation-" + std::to_string(getpid()));
    for (int round = 0; round < 1000; ++round) {
        std::ofstream(path) << mutate(mutate(original, random), random);
        const auto entrySettings = settings::entry_settings::fromFile(path);
        if (!entrySettings)
            cr_assert(entrySettings.error().kind() == error_kind::InvalidSettings);
    }
    std::filesystem::remove(path);
}
