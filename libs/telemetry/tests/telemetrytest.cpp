#include <array>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>

#include <boost/json/parse.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fcntl.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include "details/boundedappender.h"
#include "telemetry/telemetry.h"

namespace arbutusgrade {

namespace {

std::string readLine(const std::string &path)
{
    std::ifstream file(path);
    std::string line;
    std::getline(file, line);
    return line;
}

} // namespace

// Guards against log lines that are no JSON or lack one of the fixed fields.
TEST(Log, WritesOneJsonObjectWithFixedFields)
{
    const std::string path = testing::TempDir() + "telemetry-log-test.json";
    std::remove(path.c_str());
    {
        Log log(LogOptions{"entry-1", path, LogLevel::Info});
        log.write(LogLevel::Debug, "hidden", "below the level");
        log.write(LogLevel::Warning, "probe-failed", "line\nbreak \"quoted\"", {{"target", "t1"}});
    }
    const boost::json::object line = boost::json::parse(readLine(path)).as_object();
    EXPECT_EQ(line.at("event").as_string(), "probe-failed");
    EXPECT_EQ(line.at("level").as_string(), "warning");
    EXPECT_EQ(line.at("node").as_string(), "entry-1");
    EXPECT_EQ(line.at("message").as_string(), "line\nbreak \"quoted\"");
    EXPECT_EQ(line.at("fields").at("target").as_string(), "t1");
    EXPECT_TRUE(line.contains("time"));
}

// Guards against a start that goes on without the log that the operator asked for.
TEST(Log, RefusesUnwritableFile)
{
    EXPECT_THROW(Log(LogOptions{"n", "/nonexistent-directory/log", LogLevel::Info}),
                 std::runtime_error);
}

// Guards against accepting malformed trace headers, which would join unrelated traces.
TEST(Traceparent, RoundTripsValidAndRejectsMalformed)
{
    const std::string header = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    const std::optional<TraceContext> trace = parseTraceparent(header);
    ASSERT_TRUE(trace.has_value());
    EXPECT_TRUE(trace->m_sampled);
    EXPECT_EQ(formatTraceparent(*trace), header);
    EXPECT_EQ(formatTraceId(*trace), "4bf92f3577b34da6a3ce929d0e0e4736");
    for (const std::string_view malformed :
         {"", "00-4bf9", "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
          "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
          "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
          "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
          "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-extra"}) {
        EXPECT_FALSE(parseTraceparent(malformed).has_value()) << malformed;
    }
}

// Guards against spans of slow answers that are lost because their trace was not sampled.
TEST(Spans, KeepsMarkedSpanOfUnsampledTrace)
{
    const std::string path = testing::TempDir() + "telemetry-span-test.json";
    std::remove(path.c_str());
    {
        Log log(LogOptions{"entry-1", path, LogLevel::Info});
        RecordSpan span;
        span.m_trace = {1, 2, 3, false};
        span.m_name = "dropped";
        writeSpan(log, span);
        span.m_name = "kept";
        span.m_exportAlways = true;
        writeSpan(log, span);
    }
    const boost::json::object line = boost::json::parse(readLine(path)).as_object();
    const boost::json::value &fields = line.at("fields");
    EXPECT_EQ(fields.at("name").as_string(), "kept");
    EXPECT_EQ(fields.at("traceId").as_string(), "00000000000000010000000000000002");
    EXPECT_EQ(fields.at("parentSpanId").as_string(), "0000000000000003");
}

// Guards against values of one metric split into several families, which scrapers reject.
TEST(Metrics, GroupsLabelValuesOfOneName)
{
    MetricFamilies families;
    addCounter(families, "calls_total", "Calls.", 3, {{"outcome", "ok"}});
    addCounter(families, "calls_total", "Calls.", 1, {{"outcome", "failed"}});
    LatencyMetric latency("answer_seconds", "Time to the answer.", "kind");
    latency.observe("lookup", Duration(1500));
    latency.collect(families);
    const std::string text = serializeMetrics(families);
    EXPECT_THAT(text, testing::HasSubstr("calls_total{outcome=\"ok\"} 3"));
    EXPECT_THAT(text, testing::HasSubstr("calls_total{outcome=\"failed\"} 1"));
    EXPECT_THAT(text, testing::HasSubstr("answer_seconds_bucket{kind=\"lookup\",le=\"0.0025\"} 1"));
    EXPECT_EQ(text.find("# TYPE calls_total"), text.rfind("# TYPE calls_total"));
}

namespace {

//! @brief Appender whose lines can be given directly.
class OpenAppender : public BoundedAppender
{
public:
    using BoundedAppender::BoundedAppender;

    void write(const std::string &text)
    {
        append(log4cplus::spi::InternalLoggingEvent("test", log4cplus::INFO_LOG_LEVEL, text,
                                                    __FILE__, __LINE__));
    }
};

} // namespace

// Guards against a process that stops because nobody reads its standard output: a full pipe delays
// no line, memory stays bounded, and the lines that are lost are counted.
TEST(Log, NeverBlocksOnAFullPipe)
{
    std::array<int, 2> ends{};
    ASSERT_EQ(::pipe(ends.data()), 0);
    OpenAppender appender(ends[1]);
    const std::string line(500, 'x');
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    for (int count = 0; count < 2000; ++count) {
        appender.write(line);
    }
    appender.flush();
    EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(2));
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 65536> bytes{};
    for (int turn = 0; turn < 20; ++turn) {
        for (ssize_t count = 0; (count = ::read(ends[0], bytes.data(), bytes.size())) > 0;) {
            text.append(bytes.data(), static_cast<std::size_t>(count));
        }
        appender.write("later");
        appender.flush();
    }
    EXPECT_NE(text.find("log-output-blocked"), std::string::npos);
    EXPECT_NE(text.find("later"), std::string::npos);
    EXPECT_LT(text.size(), 512U * 1024U);
    ::close(ends[0]);
    ::close(ends[1]);
}

} // namespace arbutusgrade
