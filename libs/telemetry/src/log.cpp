#include <chrono>
#include <ctime>
#include <fstream>
#include <stdexcept>

#include "details/boundedappender.h"
#include <boost/json/serialize.hpp>

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/hierarchy.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include "telemetry/telemetry.h"

namespace arbutusgrade {

namespace {

log4cplus::LogLevel nativeLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        break;
    }
    return "error";
}

std::string currentTime()
{
    const std::chrono::system_clock::time_point now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const long micros = std::chrono::duration_cast<std::chrono::microseconds>(
                            now - std::chrono::system_clock::from_time_t(seconds))
                            .count();
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[48];
    const std::size_t length = std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text + length, sizeof(text) - length, ".%06ldZ", micros);
    return text;
}

constexpr int standardOutput = 1;

// log4cplus cannot be initialised again after its end, so it lives as long as the process.
void initializeLibrary()
{
    static const log4cplus::Initializer initializer;
}

log4cplus::SharedAppenderPtr openAppender(const LogOptions &options)
{
    const std::string &file = options.m_file;
    if (options.m_output == LogOutput::BoundedStandardOutput) {
        return log4cplus::SharedAppenderPtr(new BoundedAppender(standardOutput));
    }
    if (file.empty()) {
        return log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(true, true));
    }
    // log4cplus reports an unwritable file only on its own error stream.
    if (!std::ofstream(file, std::ios::app)) {
        throw std::runtime_error("cannot write the log file " + file);
    }
    return log4cplus::SharedAppenderPtr(
        new log4cplus::FileAppender(file, std::ios_base::app, true, false));
}

} // namespace

struct Log::Implementation
{
    explicit Implementation(const LogOptions &options) : m_node(options.m_node)
    {
        initializeLibrary();
        log4cplus::SharedAppenderPtr appender = openAppender(options);
        m_bounded = dynamic_cast<BoundedAppender *>(appender.get());
        appender->setLayout(
            std::unique_ptr<log4cplus::Layout>(new log4cplus::PatternLayout("%m%n")));
        m_logger.setLogLevel(nativeLevel(options.m_level));
        m_logger.addAppender(appender);
    }

    std::string m_node;
    BoundedAppender *m_bounded = nullptr; //!< Owned by the logger; null for other outputs.
    log4cplus::Hierarchy m_hierarchy;
    log4cplus::Logger m_logger = m_hierarchy.getInstance("arbutusgrade");
};

Log::Log(const LogOptions &options)
    : m_implementation(std::make_unique<Implementation>(options)) { }

Log::~Log() = default;

void Log::flush()
{
    if (m_implementation->m_bounded != nullptr) {
        m_implementation->m_bounded->flush();
    }
}

void Log::write(LogLevel level, std::string_view event, std::string_view message,
                const boost::json::object &fields)
{
    const log4cplus::LogLevel native = nativeLevel(level);
    if (!m_implementation->m_logger.isEnabledFor(native)) {
        return;
    }
    const boost::json::object line{
        {"time", currentTime()}, {"level", levelName(level)}, {"node", m_implementation->m_node},
        {"event", event},        {"message", message},        {"fields", fields}};
    m_implementation->m_logger.forcedLog(native, boost::json::serialize(line));
}

void logHandlerException(Log &log, const std::exception &error)
{
    log.write(LogLevel::Error, "handler-exception",
              "a handler ended with an exception; the others go on. Report this line",
              {{"exception", error.what()}});
}

} // namespace arbutusgrade
