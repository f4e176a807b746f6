#include "telemetry/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

namespace bilberryseam {

namespace {
    const prometheus::Histogram::BucketBoundaries latencyBucketsSeconds { 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 11, 30 };

    std::string fullName(std::string_view name)
    {
        return "bilberryseam_" + std::string(name);
    }

    template <typename Family, typename Build>
    Family& familyOf(std::map<std::string, Family*, std::less<>>& families, std::string_view name, Build build)
    {
        if (const auto position = families.find(name); position != families.end())
            return *position->second;
        Family& family = build();
        families.emplace(std::string(name), &family);
        return family;
    }
}

metrics::metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
{
}

void metrics::count(std::string_view name, const metric_labels& labels, double amount)
{
    auto& family = familyOf(
        m_counters, name, [&]() -> auto& { return prometheus::BuildCounter().Name(fullName(name)).Register(*m_registry); });
    family.Add(labels).Increment(amount);
}

void metrics::set(std::string_view name, const metric_labels& labels, double value)
{
    auto& family = familyOf(
        m_gauges, name, [&]() -> auto& { return prometheus::BuildGauge().Name(fullName(name)).Register(*m_registry); });
    family.Add(labels).Set(value);
}

void metrics::observeSeconds(std::string_view name, const metric_labels& labels, double seconds)
{
    auto& family = familyOf(
        m_histograms, name, [&]() -> auto& { return prometheus::BuildHistogram().Name(fullName(name)).Register(*m_registry); });
    family.Add(labels, latencyBucketsSeconds).Observe(seconds);
}

double metrics::counterValue(std::string_view name, const metric_labels& labels) const
{
    const auto position = m_counters.find(name);
    if (position == m_counters.end() || !position->second->Has(labels))
        return 0;
    return position->second->Add(labels).Value();
}

std::string metrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}
}
