/// The configuration endpoints of the operator port: state, note verdicts, publishing.
#pragma once

#include "execution/configuration_follower.hpp"
#include "execution/operator_server.hpp"

#include <list>

namespace bilberryseam::execution {

/// Appends operators' release notes to the configuration stream.
class note_publisher {
public:
    explicit note_publisher(const settings::platform_settings& platform)
        : m_stream(platform.configurationStream)
        , m_log(platform.log)
    {
    }

    /// Appends the text of a note unchanged.
    void publish(std::string text, platform::log_client::on_append done);

private:
    std::string m_stream;
    platform::log_client m_log;
    std::map<uint64_t, std::shared_ptr<void>> m_pending;
    uint64_t m_nextId = 0;
};

/// Adds `GET /configuration`, `GET /verdict?note=NAME` and `POST /publish`.
void addConfigurationEndpoints(operator_server& server, const configuration_follower& follower, note_publisher& publisher);
}
