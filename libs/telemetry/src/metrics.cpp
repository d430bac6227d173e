#include <sstream>

#include <prometheus/text_serializer.h>

#include "telemetry/telemetry.h"

namespace arbutusgrade {

namespace {

// 0.27 s is the bound for 99 in 100 answers at the design size.
const prometheus::Histogram::BucketBoundaries latencyBoundsSeconds{
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.27, 0.5, 1.0, 2.5, 10.0};

prometheus::ClientMetric &appendMetric(MetricFamilies &families, std::string_view name,
                                       std::string_view help, prometheus::MetricType type,
                                       MetricLabels labels)
{
    if (families.empty() || families.back().name != name) {
        prometheus::MetricFamily family;
        family.name = name;
        family.help = help;
        family.type = type;
        families.push_back(std::move(family));
    }
    prometheus::ClientMetric &metric = families.back().metric.emplace_back();
    for (const std::pair<std::string_view, std::string_view> &label : labels) {
        metric.label.push_back({std::string(label.first), std::string(label.second)});
    }
    return metric;
}

} // namespace

void addCounter(MetricFamilies &families, std::string_view name, std::string_view help,
                double value, MetricLabels labels)
{
    appendMetric(families, name, help, prometheus::MetricType::Counter, labels).counter.value =
        value;
}

void addGauge(MetricFamilies &families, std::string_view name, std::string_view help, double value,
              MetricLabels labels)
{
    appendMetric(families, name, help, prometheus::MetricType::Gauge, labels).gauge.value = value;
}

LatencyMetric::LatencyMetric(const std::string &name, const std::string &help, std::string label)
    : m_label(std::move(label)),
      m_family(prometheus::BuildHistogram().Name(name).Help(help).Register(m_registry))
{
}

void LatencyMetric::observe(const std::string &labelValue, Duration latency)
{
    prometheus::Histogram *&histogram = m_histograms[labelValue];
    if (histogram == nullptr) {
        histogram = &m_family.Add({{m_label, labelValue}}, latencyBoundsSeconds);
    }
    histogram->Observe(std::chrono::duration<double>(latency).count());
}

void LatencyMetric::collect(MetricFamilies &families) const
{
    for (prometheus::MetricFamily &family : m_registry.Collect()) {
        families.push_back(std::move(family));
    }
}

std::string serializeMetrics(const MetricFamilies &families)
{
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, families);
    return text.str();
}

} // namespace arbutusgrade
