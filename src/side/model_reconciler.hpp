/// Loads and unloads models at the engines of this instance until they match the configuration.
/// docs/PLATFORM.md describes the engines' protocol.
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

/// Compares each engine's report with the configuration and sends orders until they agree.
class model_reconciler {
public:
    /// Reads the configuration again; calls `done` when it is known to be current.
    using configuration_refresh = std::function<void(std::function<void()> done)>;

    model_reconciler(const settings::side_settings& settings, metrics& metrics, configuration_refresh refresh);
    ~model_reconciler();

    /// Updates the desired models of this side's engines.
    void applyConfiguration(const configuration::state& state);

    [[nodiscard]] nlohmann::json status() const;

private:
    struct engine;

    void tick();
    void detectPause();
    void requestReport(engine& engine);
    void handleReport(engine& engine, const http_response& reply);
    void sendOrder(engine& engine, const policy::engine_order& order);

    settings::side_settings m_settings;
    metrics& m_metrics;
    configuration_refresh m_refresh;
    http_client m_http;
    std::map<std::string, std::unique_ptr<engine>> m_engines;
    uint64_t m_configurationOffset = 0;
    time_point m_lastTick {};
    /// The process was paused, so its configuration may be outdated; it sends no orders until it has read it again.
    bool m_isStale = false;
    timer m_tickTimer;
};
}
