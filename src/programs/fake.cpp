/// bilberryseam-fake: fakes of the platform and of targets, for the tests and the demo only.
#include "base/json_schema.hpp"
#include "fakes/fakes.hpp"
#include "loop/main_loop.hpp"
#include "settings/settings.hpp"
#include "telemetry/log.hpp"

#include <iostream>
#include <optional>

namespace bilberryseam {

using nlohmann::json;

namespace {
    constexpr std::string_view logComponent = "fake";

    constexpr std::string_view fakeSchema = R"json({
      "type": "object",
      "additionalProperties": false,
      "required": ["control"],
      "properties": {
        "control": { "type": "string" },
        "log": { "type": "string" },
        "links": {
          "type": "array",
          "items": {
            "type": "object",
            "required": ["name", "listen", "upstream"],
            "properties": { "name": { "type": "string" }, "listen": { "type": "string" }, "upstream": { "type": "string" } }
          }
        },
        "targets": {
          "type": "array",
          "items": {
            "type": "object",
            "required": ["name", "kind", "listen"],
            "properties": {
              "name": { "type": "string" },
              "kind": { "enum": ["engine", "encoder", "retriever", "reranker", "plain"] },
              "listen": { "type": "string" }
            }
          }
        }
      }
    })json";

    fakes::target_kind parseTargetKind(const std::string& name)
    {
        if (name == "engine")
            return fakes::target_kind::Engine;
        if (name == "encoder")
            return fakes::target_kind::Encoder;
        if (name == "retriever")
            return fakes::target_kind::Retriever;
        return name == "reranker" ? fakes::target_kind::Reranker : fakes::target_kind::Plain;
    }

    /// All fakes of the process, and a control port that changes their behaviour.
    class fake_process {
    public:
        explicit fake_process(const json& settings)
            : m_server(gobject_ptr<SoupServer>::adopt(soup_server_new(nullptr, nullptr)))
        {
            soup_server_add_handler(m_server.get(), "/", &fake_process::handle, this, nullptr);
            listenOn(m_server.get(), ip_endpoint::parse(settings["control"].get<std::string>()).value());
            if (settings.contains("log"))
                m_store.emplace(ip_endpoint::parse(settings["log"].get<std::string>()).value());
            for (const json& item : settings.value("targets", json::array())) {
                auto& target = m_targets.emplace_back(std::make_unique<fakes::fake_target>(item["name"], parseTargetKind(item["kind"]), ip_endpoint::parse(item["listen"].get<std::string>()).value(), fakes::target_behaviour {}));
                target->applySwitches(item);
            }
            for (const json& item : settings.value("links", json::array()))
                m_links.push_back(std::make_unique<fakes::fake_link>(item["name"], ip_endpoint::parse(item["listen"].get<std::string>()).value(), ip_endpoint::parse(item["upstream"].get<std::string>()).value()));
            m_loop.onTerminate([this] { m_loop.quit(); });
        }

        void run() { m_loop.run(); }

    private:
        static void handle(SoupServer*, SoupServerMessage* message, const char* path, GHashTable*, gpointer self)
        {
            static_cast<fake_process*>(self)->handleRequest(message, path);
        }

        void handleRequest(SoupServerMessage* message, std::string_view path)
        {
            if (path == "/counts") {
                setJsonResponse(message, 200, counts());
                return;
            }
            const json body = json::parse(bodyOf(message), nullptr, false);
            if (path != "/switch" || !body.is_object()) {
                setJsonResponse(message, 404, { { "error", "use GET /counts or POST /switch" } });
                return;
            }
            if (m_store && body.contains("log"))
                m_store->applySwitches(body["log"]);
            applySwitchesTo(m_targets, body, "targets");
            applySwitchesTo(m_links, body, "links");
            setJsonResponse(message, 200, json::object());
        }

        template <typename Fakes>
        static void applySwitchesTo(const Fakes& fakes, const json& body, const char* list)
        {
            for (const auto& fake : fakes) {
                if (body.contains(list) && body[list].contains(fake->name()))
                    fake->applySwitches(body[list][fake->name()]);
            }
        }

        template <typename Fakes>
        static json countsOf(const Fakes& fakes)
        {
            json counts = json::object();
            for (const auto& fake : fakes)
                counts[fake->name()] = fake->counts();
            return counts;
        }

        json counts() const
        {
            return { { "targets", countsOf(m_targets) }, { "links", countsOf(m_links) }, { "log", m_store ? m_store->counts() : json() } };
        }

        main_loop m_loop;
        gobject_ptr<SoupServer> m_server;
        std::optional<fakes::platform_store> m_store;
        std::vector<std::unique_ptr<fakes::fake_target>> m_targets;
        std::vector<std::unique_ptr<fakes::fake_link>> m_links;
    };

    int run(int argc, const char* const* argv)
    {
        const auto options = settings::parseDaemonOptions(argc, argv, "bilberryseam-fake", "fakes of the platform and of targets, for tests and the demo").value();
        if (!options)
            return 0;
        const json_schema schema(fakeSchema);
        const json settings = settings::readSettingsFile(options->settingsPath, schema).value();
        if (options->isCheckOnly)
            return 0;
        startLogging(parseLogFormat(options->logFormat).value(), parseLogLevel(options->logLevel).value());
        fake_process process(settings);
        logLine(log_level::Info, logComponent, "Started.");
        process.run();
        return 0;
    }
}
}

int main(int argc, char** argv)
{
    return bilberryseam::settings::runMain([&] { return bilberryseam::run(argc, argv); });
}
