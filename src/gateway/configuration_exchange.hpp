/// Tells entries that start of a newer configuration than the store has, which may be back from an older copy.
#pragma once

#include "telemetry/metrics.hpp"
#include "wire/message.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace bilberryseam::gateway {

class configuration_exchange {
public:
    /// @param onReceived  Called with the text of a configuration that another entry has; it need not be newer or valid.
    configuration_exchange(metrics& metrics, std::function<void(std::string_view text)> onReceived);

    /// Records which configuration this entry has.
    void setInForce(uint64_t version, std::string_view text);

    /// @return The query for an entry that has just connected: has it a newer configuration?
    [[nodiscard]] wire::message query() const;

    /// Handles a message of another entry.
    /// @param reply  Sends a response to it.
    /// @return False if it is about something else.
    [[nodiscard]] bool handle(const wire::message& message, const std::function<void(wire::message)>& reply);

private:
    metrics& m_metrics;
    std::function<void(std::string_view text)> m_onReceived;
    uint64_t m_version = 0;
    std::string m_text;
};
}
