/// Brings the engines of this instance to the models that the configuration wants. docs/PLATFORM.md gives the engines' protocol.
#pragma once

#include "configuration/state.hpp"
#include "loop/http.hpp"
#include "loop/timer.hpp"
#include "policy/orders.hpp"
#include "settings/side_settings.hpp"
#include "telemetry/metrics.hpp"

#include <functional>
#include <map>
#include <memory>

namespace bilberryseam::side {

/// Compares each engine's report with the configuration, and orders until they agree.
class model_reconciler {
public:
    /// Reads the configuration anew; calls back when it is sure to be recent.
    using configuration_refresh = std::function<void(std::function<void()> done)>;

    model_reconciler(const settings::side_settings& settings, metrics& metrics, configuration_refresh refresh);
    ~model_reconciler();

    /// Takes over what the configuration wants at the engines of this side.
    void applyConfiguration(const configuration::state& state);

    [[nodiscard]] nlohmann::json status() const;

private:
    struct engine;

    void tick();
    void detectPause();
    void requestReport(engine& engine);
    void handleReport(engine& engine, const http_reply& reply);
    void sendOrder(engine& engine, const policy::engine_order& order);

    settings::side_settings m_settings;
    metrics& m_metrics;
    configuration_refresh m_refresh;
    http_client m_http;
    std::map<std::string, std::unique_ptr<engine>> m_engines;
    uint64_t m_configurationOffset = 0;
    time_point m_lastTick {};
    /// The process was paused: what it knows may be old, so it gives no orders.
    bool m_isStale = false;
    timer m_tickTimer;
};
}
