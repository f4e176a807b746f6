/// Metrics with prometheus-cpp; the daemons serve them at `/metrics`.
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

/// The counters, gauges and histograms of a process.
class metrics {
public:
    metrics();

    /// Increments a counter. All metric names are given the prefix `bilberryseam_`.
    void count(std::string_view name, const metric_labels& labels = {}, double amount = 1);

    /// Sets a gauge.
    void set(std::string_view name, const metric_labels& labels, double value);

    /// Records a duration in a histogram.
    void observeSeconds(std::string_view name, const metric_labels& labels, double seconds);

    /// @return The current value of a counter; zero if it was never incremented.
    [[nodiscard]] double counterValue(std::string_view name, const metric_labels& labels = {}) const;

    /// @return All metrics in the Prometheus text format.
    [[nodiscard]] std::string serialize() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    std::map<std::string, prometheus::Family<prometheus::Counter>*, std::less<>> m_counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge>*, std::less<>> m_gauges;
    std::map<std::string, prometheus::Family<prometheus::Histogram>*, std::less<>> m_histograms;
};
}
