/// Command lines and settings files: an error gives one message with location and remedy, and no daemon starts.
#include "support/check.hpp"
#include "support/cluster.hpp"
#include "support/notes.hpp"

#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
struct program_result {
    int exitCode = -1;
    std::string output;
};

program_result runProgram(const std::string& program, std::vector<std::string> arguments)
{
    const std::string binary = std::string(BILBERRYSEAM_BINARIES) + "/" + program;
    std::vector<const char*> argv { binary.c_str() };
    for (const std::string& argument : arguments)
        argv.push_back(argument.c_str());
    argv.push_back(nullptr);
    const auto flags = static_cast<GSubprocessFlags>(G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_MERGE);
    const auto process = gobject_ptr<GSubprocess>::adopt(g_subprocess_newv(argv.data(), flags, nullptr));
    char* text = nullptr;
    g_subprocess_communicate_utf8(process.get(), nullptr, nullptr, &text, nullptr, nullptr);
    program_result result { g_subprocess_get_exit_status(process.get()), text ? text : "" };
    g_free(text);
    return result;
}

std::string writeFile(const std::string& name, const std::string& text)
{
    const std::string path = std::filesystem::temp_directory_path() / ("bilberryseam-" + std::to_string(getpid()) + "-" + name);
    std::ofstream(path) << text;
    return path;
}

void assertContains(const program_result& result, const std::string& text)
{
    cr_assert(result.output.find(text) != std::string::npos, "\"%s\" is missing in: %s", text.c_str(), result.output.c_str());
}

json validSettings()
{
    return { { "name", "e" }, { "region", "north" }, { "listen", "127.0.0.1:1990" }, { "operatorListen", "127.0.0.1:1991" }, { "platform", { { "log", "127.0.0.1:1992" } } } };
}
}

Test(command_line, invalid_settings_give_one_message_with_location_and_remedy_and_exit_code_2)
{
    struct invalid_case {
        std::string text;
        std::string location;
    };
    std::vector<invalid_case> cases { { "{\n  \"name\": oops", ":2:" }, { "[]", "/" } };
    const auto add = [&](const char* key, const json& value, const char* location) {
        json settings = validSettings();
        settings[key] = value;
        cases.push_back({ settings.dump(), location });
    };
    add("unknown", 1, "unknown");
    add("listen", 5, "/listen");
    add("listen", "localhost:80", "/listen");
    add("listen", "127.0.0.1:99999", "/listen");
    add("operatorListen", "127.0.0.1:1990", "/operatorListen");
    add("limits", { { "maxRequests", 0 } }, "/limits/maxRequests");
    add("platform", { { "log", "127.0.0.1:1992" }, { "claimsStream", "configuration" } }, "/platform");
    add("platform", json::object(), "/platform");
    for (const invalid_case& item : cases) {
        const std::string path = writeFile("bad.json", item.text);
        const program_result result = runProgram("bilberryseam-entry", { "--settings", path });
        cr_assert_eq(result.exitCode, 2, "%s", result.output.c_str());
        assertContains(result, path);
        assertContains(result, item.location);
        assertContains(result, "Remedy:");
        cr_assert_eq(std::count(result.output.begin(), result.output.end(), '\n'), 1, "more than one message: %s", result.output.c_str());
        std::filesystem::remove(path);
    }
}

Test(command_line, check_print_help_and_version_do_not_start_a_daemon)
{
    const std::string path = writeFile("good.json", validSettings().dump());
    cr_assert_eq(runProgram("bilberryseam-entry", { "--settings", path, "--check-settings" }).exitCode, 0);
    const json settings = json::parse(runProgram("bilberryseam-entry", { "--settings", path, "--print-settings" }).output);
    cr_assert_eq(settings["limits"]["maxRequests"], 20000);
    std::filesystem::remove(path);
    for (const char* program : { "bilberryseam-entry", "bilberryseam-side", "bilberryseam", "bilberryseam-replay", "bilberryseam-fake" }) {
        cr_assert_eq(runProgram(program, { "--help" }).exitCode, 0, "%s", program);
        assertContains(runProgram(program, { "--version" }), "0.1.0");
        cr_assert_eq(runProgram(program, { "--no-such-option" }).exitCode, 2, "%s", program);
    }
}

Test(command_line, operator_commands_check_diff_publish_explain_status_and_drain)
{
    cluster_spec spec;
    spec.slot = 90;
    spec.targets = { { "pool-1", "rank", "reranker" } };
    spec.pipelines = json::array({ pipelineOf("rank", { "rank" }) });
    cluster deployment(spec);
    const std::string acceptedNote = writeFile("note.json", weightNoteJson("heavier", 0, 3).dump());
    const std::string conflictingNote = writeFile("late.json", weightNoteJson("late", 0, 4).dump());
    const std::string daemon = deployment.entryOperator();
    cr_assert_eq(runProgram("bilberryseam", { "check", acceptedNote }).exitCode, 0);
    assertContains(runProgram("bilberryseam", { "diff", acceptedNote, "-d", daemon }), "It would be accepted now.");
    assertContains(runProgram("bilberryseam", { "publish", acceptedNote, "-d", daemon }), "accepted at offset 1");
    assertContains(runProgram("bilberryseam", { "publish", acceptedNote, "-d", daemon }), "accepted at offset 1");
    const program_result conflict = runProgram("bilberryseam", { "publish", conflictingNote, "-d", daemon });
    cr_assert_eq(conflict.exitCode, 1);
    assertContains(conflict, "heavier");
    assertContains(runProgram("bilberryseam", { "explain", "accounts/acme", "-d", daemon }), "\"note\": \"heavier\"");
    const program_result status = runProgram("bilberryseam", { "status", "-d", daemon, "-d", deployment.sideOperator("pool-1") });
    assertContains(status, "entry-0");
    assertContains(status, "side-pool-1");
    assertContains(runProgram("bilberryseam", { "drain", "pool-1", "-d", deployment.sideOperator("pool-1") }), "true");
    std::filesystem::remove(acceptedNote);
    std::filesystem::remove(conflictingNote);
}
