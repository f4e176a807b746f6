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
class order_keeper {
public:
    /// Reads the configuration anew; calls back when it is sure to be recent.
    using refresher = std::function<void(std::function<void()> done)>;

    order_keeper(const settings::side_settings& settings, metrics& metrics, refresher refresh);
    ~order_keeper();

    /// Takes over what the configuration wants at the engines of this side.
    void follow(const configuration::state& state);

    [[nodiscard]] nlohmann::json status() const;

private:
    struct engine;

    void tick();
    void noticePause();
    void ask(engine& asked);
    void takeReport(engine& asked, const http_reply& reply);
    void give(engine& told, const policy::engine_order& order);

    settings::side_settings m_settings;
    metrics& m_metrics;
    refresher m_refresh;
    http_client m_http;
    std::map<std::string, std::unique_ptr<engine>> m_engines;
    uint64_t m_configurationOffset = 0;
    time_point m_lastTick {};
    /// The process was paused: what it knows may be old, so it gives no orders.
    bool m_isStale = false;
    timer m_tick;
};
}
