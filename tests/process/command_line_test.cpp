/// Command lines and settings: one message with place and remedy, and nothing started.
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
struct finished_program {
    int exitCode = -1;
    std::string output;
};

finished_program runProgram(const std::string& program, std::vector<std::string> arguments)
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
    finished_program finished { g_subprocess_get_exit_status(process.get()), text ? text : "" };
    g_free(text);
    return finished;
}

std::string fileWith(const std::string& name, const std::string& text)
{
    const std::string path = std::filesystem::temp_directory_path() / ("bilberryseam-" + std::to_string(getpid()) + "-" + name);
    std::ofstream(path) << text;
    return path;
}

void checkMentions(const finished_program& finished, const std::string& text)
{
    cr_assert(finished.output.find(text) != std::string::npos, "\"%s\" is missing in: %s", text.c_str(), finished.output.c_str());
}

json goodSettings()
{
    return { { "name", "e" }, { "region", "north" }, { "listen", "127.0.0.1:1990" }, { "operatorListen", "127.0.0.1:1991" }, { "platform", { { "log", "127.0.0.1:1992" } } } };
}
}

Test(command_line, each_mistake_in_settings_gives_place_and_remedy_and_exit_code_2)
{
    struct bad_case {
        std::string text;
        std::string place;
    };
    std::vector<bad_case> cases { { "{\n  \"name\": oops", ":2:" }, { "[]", "/" } };
    const auto add = [&](const char* key, const json& value, const char* place) {
        json settings = goodSettings();
        settings[key] = value;
        cases.push_back({ settings.dump(), place });
    };
    add("unknown", 1, "unknown");
    add("listen", 5, "/listen");
    add("listen", "localhost:80", "/listen");
    add("listen", "127.0.0.1:99999", "/listen");
    add("operatorListen", "127.0.0.1:1990", "/operatorListen");
    add("limits", { { "maxRequests", 0 } }, "/limits/maxRequests");
    add("platform", { { "log", "127.0.0.1:1992" }, { "claimsStream", "configuration" } }, "/platform");
    add("platform", json::object(), "/platform");
    for (const bad_case& one : cases) {
        const std::string path = fileWith("bad.json", one.text);
        const finished_program finished = runProgram("bilberryseam-entry", { "--settings", path });
        cr_assert_eq(finished.exitCode, 2, "%s", finished.output.c_str());
        checkMentions(finished, path);
        checkMentions(finished, one.place);
        checkMentions(finished, "Remedy:");
        cr_assert_eq(std::count(finished.output.begin(), finished.output.end(), '\n'), 1, "more than one message: %s", finished.output.c_str());
        std::filesystem::remove(path);
    }
}

Test(command_line, checks_and_prints_start_nothing)
{
    const std::string path = fileWith("good.json", goodSettings().dump());
    cr_assert_eq(runProgram("bilberryseam-entry", { "--settings", path, "--check-settings" }).exitCode, 0);
    const json printed = json::parse(runProgram("bilberryseam-entry", { "--settings", path, "--print-settings" }).output);
    cr_assert_eq(printed["limits"]["maxRequests"], 20000);
    std::filesystem::remove(path);
    for (const char* program : { "bilberryseam-entry", "bilberryseam-side", "bilberryseam", "bilberryseam-replay", "bilberryseam-fake" }) {
        cr_assert_eq(runProgram(program, { "--help" }).exitCode, 0, "%s", program);
        checkMentions(runProgram(program, { "--version" }), "0.1.0");
        cr_assert_eq(runProgram(program, { "--no-such-option" }).exitCode, 2, "%s", program);
    }
}

Test(command_line, an_operator_checks_publishes_explains_and_looks)
{
    cluster_spec spec;
    spec.slot = 90;
    spec.targets = { { "pool-1", "rank", "reranker" } };
    spec.pipelines = json::array({ pipelineOf("rank", { "rank" }) });
    cluster running(spec);
    const std::string good = fileWith("note.json", weightNoteJson("heavier", 0, 3).dump());
    const std::string loser = fileWith("late.json", weightNoteJson("late", 0, 4).dump());
    const std::string daemon = running.entryOperator();
    cr_assert_eq(runProgram("bilberryseam", { "check", good }).exitCode, 0);
    checkMentions(runProgram("bilberryseam", { "diff", good, "-d", daemon }), "It would be accepted now.");
    checkMentions(runProgram("bilberryseam", { "publish", good, "-d", daemon }), "accepted at offset 1");
    checkMentions(runProgram("bilberryseam", { "publish", good, "-d", daemon }), "accepted at offset 1");
    const finished_program lost = runProgram("bilberryseam", { "publish", loser, "-d", daemon });
    cr_assert_eq(lost.exitCode, 1);
    checkMentions(lost, "heavier");
    checkMentions(runProgram("bilberryseam", { "explain", "accounts/acme", "-d", daemon }), "\"note\": \"heavier\"");
    const finished_program status = runProgram("bilberryseam", { "status", "-d", daemon, "-d", running.sideOperator("pool-1") });
    checkMentions(status, "entry-0");
    checkMentions(status, "side-pool-1");
    checkMentions(runProgram("bilberryseam", { "drain", "pool-1", "-d", running.sideOperator("pool-1") }), "true");
    std::filesystem::remove(good);
    std::filesystem::remove(loser);
}
