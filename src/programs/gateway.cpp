/// bilberryseam-gateway: forwards requests from callers to the targets of a platform.
#include "gateway/gateway.hpp"
#include "programs/daemon_main.hpp"

#include <fstream>
#include <sstream>

namespace bilberryseam {

namespace {
    constexpr std::string_view logComponent = "settings";

    /// Period of the check for a changed settings file, which may change without a signal.
    constexpr milliseconds settingsCheckPeriod { 2000 };

    std::string readFile(const std::string& path)
    {
        std::ifstream file(path);
        std::ostringstream content;
        content << file.rdbuf();
        return content.str();
    }

    /// Runs the gateway and reloads its settings file after a change.
    class gateway_process {
    public:
        gateway_process(const settings::gateway_settings& settings, std::string path)
            : m_settingsPath(std::move(path))
            , m_settingsText(readFile(m_settingsPath))
            , m_gateway(settings)
        {
            m_settingsCheck.startEvery(settingsCheckPeriod, [this] { checkSettings(); });
            onHangup([this] { checkSettings(); });
        }

        void run() { m_gateway.run(); }

    private:
        void checkSettings()
        {
            std::string content = readFile(m_settingsPath);
            if (content == m_settingsText)
                return;
            m_settingsText = std::move(content);
            if (const auto changedSettings = settings::gateway_settings::fromFile(m_settingsPath))
                m_gateway.reload(changedSettings.value());
            else
                logLine(log_level::Error, logComponent, "The changed settings file is invalid; the previous settings stay in force.", { { "problem", changedSettings.error().what() } });
        }

        std::string m_settingsPath;
        std::string m_settingsText;
        gateway::gateway m_gateway;
        timer m_settingsCheck;
    };
}
}

int main(int argc, char** argv)
{
    using namespace bilberryseam;
    return daemonMain<settings::gateway_settings, gateway_process>(argc, argv, "bilberryseam-gateway", "forwards requests from callers to the targets of a platform");
}
