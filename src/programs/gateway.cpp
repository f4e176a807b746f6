/// bilberryseam-gateway: an entry that stands between callers and the targets of a platform.
#include "gateway/gateway.hpp"
#include "programs/daemon_main.hpp"

#include <csignal>
#include <fstream>
#include <glib-unix.h>
#include <sstream>

namespace bilberryseam {

namespace {
    constexpr std::string_view part = "settings";

    /// Pause between two looks at the settings file, which may change without a signal.
    constexpr milliseconds settingsCheckPeriod { 2000 };

    std::string contentOf(const std::string& path)
    {
        std::ifstream file(path);
        std::ostringstream content;
        content << file.rdbuf();
        return content.str();
    }

    /// Runs the gateway and takes up changes of its settings file.
    class gateway_process {
    public:
        gateway_process(const settings::gateway_settings& settings, std::string path)
            : m_path(std::move(path))
            , m_content(contentOf(m_path))
            , m_gateway(settings)
        {
            m_check.startEvery(settingsCheckPeriod, [this] { check(); });
            const auto call = [](void* self) -> gboolean {
                static_cast<gateway_process*>(self)->check();
                return G_SOURCE_CONTINUE;
            };
            g_unix_signal_add(SIGHUP, call, this);
        }

        void run() { m_gateway.run(); }

    private:
        void check()
        {
            std::string content = contentOf(m_path);
            if (content == m_content)
                return;
            m_content = std::move(content);
            if (const auto read = settings::gateway_settings::fromFile(m_path))
                m_gateway.reload(read.value());
            else
                logLine(log_level::Error, part, "The changed settings are wrong; the ones before stay.", { { "problem", read.error().what() } });
        }

        std::string m_path;
        std::string m_content;
        gateway::gateway m_gateway;
        timer m_check;
    };
}
}

int main(int argc, char** argv)
{
    using namespace bilberryseam;
    return daemonMain<settings::gateway_settings, gateway_process>(argc, argv, "bilberryseam-gateway", "stands between callers and the targets of a platform");
}
