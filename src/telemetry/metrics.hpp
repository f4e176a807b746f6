/// Metrics through prometheus-cpp; an entry or side serves them at `/metrics`.
#pragma once

#include <initializer_list>
#include <map>
#include <memory>
#include <prometheus/registry.h>
#include <string>
#include <string_view>

namespace bilberryseam {

/// Label names and values of one time series.
using metric_labels = std::map<std::string, std::string>;

/// The process's registry of counters, gauges and histograms.
class metrics {
public:
    metrics();

    /// Adds to a counter. The name gets the prefix `bilberryseam_`.
    void count(std::string_view name, const metric_labels& labels = {}, double amount = 1);

    /// Sets a gauge.
    void set(std::string_view name, const metric_labels& labels, double value);

    /// Records a duration in seconds.
    void observeSeconds(std::string_view name, const metric_labels& labels, double seconds);

    /// @return The present value of a counter; zero if it never counted.
    [[nodiscard]] double counterValue(std::string_view name, const metric_labels& labels = {}) const;

    /// @return The registry in Prometheus' text format.
    [[nodiscard]] std::string serialize() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    std::map<std::string, prometheus::Family<prometheus::Counter>*, std::less<>> m_counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge>*, std::less<>> m_gauges;
    std::map<std::string, prometheus::Family<prometheus::Histogram>*, std::less<>> m_histograms;
};
}
