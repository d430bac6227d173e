#pragma once

#include <cstdint>
#include <exception>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/json/object.hpp>
#include <prometheus/histogram.h>
#include <prometheus/metric_family.h>
#include <prometheus/registry.h>

#include "query/query.h"

//! @brief Logs, metrics and spans of a node.
//!
//! Not thread-safe, but for the log, whose appender locks.
namespace arbutusgrade {

enum class LogLevel { Debug, Info, Warning, Error };

enum class LogOutput {
    File,                  //!< The file that the options name, or standard error.
    BoundedStandardOutput, //!< Standard output, only while it takes lines without blocking.
};

struct LogOptions
{
    std::string m_node;
    std::string m_file; //!< Empty for standard error.
    LogLevel m_level = LogLevel::Info;
    LogOutput m_output = LogOutput::File;
};

//! @brief Log of one JSON object a line, always with the fields time, level, node, event, message
//! and fields.
class Log
{
public:
    //! @brief Opens the log; throws std::runtime_error if the file cannot be written.
    explicit Log(const LogOptions &options);
    ~Log();
    Log(const Log &) = delete;
    Log &operator=(const Log &) = delete;

    //! @brief Writes one line. The event is a short stable name, for example "target-ejected".
    void write(LogLevel level, std::string_view event, std::string_view message,
               const boost::json::object &fields = {});

    //! @brief Writes lines that are held back, as far as the output takes them.
    void flush();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

//! @brief Writes the event "handler-exception": an exception ended a handler, and the others go on.
void logHandlerException(Log &log, const std::exception &error);

//! @brief Name and value of a metric label.
using MetricLabels = std::initializer_list<std::pair<std::string_view, std::string_view>>;
using MetricFamilies = std::vector<prometheus::MetricFamily>;

//! @brief Appends a counter value; values of one name are added one after the other.
void addCounter(MetricFamilies &families, std::string_view name, std::string_view help,
                double value, MetricLabels labels = {});

//! @brief Appends a gauge value; values of one name are added one after the other.
void addGauge(MetricFamilies &families, std::string_view name, std::string_view help, double value,
              MetricLabels labels = {});

//! @brief Latency histograms in seconds, one for each value of a label.
class LatencyMetric
{
public:
    LatencyMetric(const std::string &name, const std::string &help, std::string label);

    //! @brief Adds one observation for the label value.
    void observe(const std::string &labelValue, Duration latency);

    //! @brief Appends the histograms to the families.
    void collect(MetricFamilies &families) const;

private:
    std::string m_label;
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Histogram> &m_family;
    std::unordered_map<std::string, prometheus::Histogram *> m_histograms;
};

//! @brief Returns the families in the text format of Prometheus.
std::string serializeMetrics(const MetricFamilies &families);

//! @brief Parses a W3C traceparent header; empty if it is malformed.
std::optional<TraceContext> parseTraceparent(std::string_view header);

//! @brief Formats the context as a W3C traceparent header of version 00.
std::string formatTraceparent(const TraceContext &trace);

//! @brief Trace id as 32 hexadecimal digits.
std::string formatTraceId(const TraceContext &trace);

//! @brief Writes a span as a log line of event "span", whose fields have the names of OTLP/JSON.
//!
//! Written if the trace is sampled or the span is marked to be kept.
void writeSpan(Log &log, const RecordSpan &span);

} // namespace arbutusgrade
