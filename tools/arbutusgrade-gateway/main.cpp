//! @brief The gateway on entry VMs: passes requests to targets of the registry until SIGTERM.

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/array.hpp>

#include "gatewaynode/gatewaynode.h"
#include "platform/platform.h"
#include "textfile/textfile.h"
#include "transport/transport.h"

ABSL_FLAG(std::string, settings, "",
          "settings file (YAML); by default the one that the environment names");
ABSL_FLAG(bool, check, false, "check the settings, report all findings, and end");

namespace {

constexpr int exitUsage = 2;
constexpr int exitFailure = 1;

// Bounds the log line of a settings file that cannot be used.
constexpr std::size_t maximumLoggedFindings = 10;

constexpr const char *usageText =
    "Passes requests of callers to the targets of the registry and merges searches.\n\n"
    "Example:\n"
    "  arbutusgrade-gateway --settings node.yaml\n\n"
    "SIGTERM ends it gracefully, SIGHUP makes it read its settings again. Exit codes: 0 after\n"
    "SIGTERM, 1 if it cannot start, 2 for usage errors or findings in the settings.";

std::string settingsPath()
{
    const std::string flag = absl::GetFlag(FLAGS_settings);
    const char *variable = std::getenv(arbutusgrade::platform::settingsPathVariable);
    return flag.empty() && variable != nullptr ? std::string(variable) : flag;
}

//! @brief Reads the settings; a file that cannot be read is a finding too.
arbutusgrade::Checked<arbutusgrade::GatewaySettings> readSettings(const std::string &path)
{
    const std::optional<std::string> text = arbutusgrade::readTextFile(path);
    if (!text) {
        return std::vector<arbutusgrade::Finding>{{path, 1, 1, "cannot read the file"}};
    }
    return arbutusgrade::parseGatewaySettings({path, *text});
}

//! @brief Logs why the settings stay as they are. The first findings tell what to mend.
void logFindings(arbutusgrade::Log &log, const std::vector<arbutusgrade::Finding> &findings)
{
    boost::json::array texts;
    for (const arbutusgrade::Finding &finding : findings) {
        if (texts.size() == maximumLoggedFindings) {
            break;
        }
        texts.emplace_back(arbutusgrade::formatFinding(finding));
    }
    log.write(arbutusgrade::LogLevel::Error, "settings-not-reloaded",
              "the settings in force stay; correct the file and send SIGHUP again",
              {{"findingCount", findings.size()}, {"findings", std::move(texts)}});
}

void reloadSettings(const std::string &path, arbutusgrade::GatewayNode &node,
                    arbutusgrade::Log &log)
{
    const arbutusgrade::Checked<arbutusgrade::GatewaySettings> settings = readSettings(path);
    if (settings) {
        node.applyChangedSettings(settings.value());
    } else {
        logFindings(log, settings.error());
    }
}

void waitForSignal(boost::asio::signal_set &signals, boost::asio::io_context &context,
                   arbutusgrade::GatewayNode &node, arbutusgrade::Log &log, const std::string &path)
{
    signals.async_wait([&](boost::system::error_code error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            reloadSettings(path, node, log);
        } else {
            // A repeated signal changes nothing, so that no request in flight is cut off.
            node.beginShutdown([&context] { context.stop(); });
        }
        waitForSignal(signals, context, node, log, path);
    });
}

//! @brief Reads what the platform says about this node. Faults only switch features off.
arbutusgrade::CoordinationSettings readCoordinationSettings(arbutusgrade::Log &log)
{
    const char *text = std::getenv(arbutusgrade::platform::nodeDescriptionVariable);
    const arbutusgrade::platform::NodeDescription node =
        arbutusgrade::platform::decodeNodeDescription(text != nullptr ? text : "");
    for (const arbutusgrade::Finding &finding : node.m_findings) {
        log.write(arbutusgrade::LogLevel::Warning, "node-description-faulty",
                  arbutusgrade::formatFinding(finding),
                  {{"variable", arbutusgrade::platform::nodeDescriptionVariable}});
    }
    const arbutusgrade::CoordinationSettings &settings = node.m_coordination;
    log.write(arbutusgrade::LogLevel::Info, "node-description-read", "",
              {{"set", text != nullptr},
               {"link", settings.m_link.has_value()},
               {"quota", settings.m_quota.has_value()},
               {"warmup", settings.m_warmup.has_value()}});
    return settings;
}

int run(const std::string &path, const arbutusgrade::GatewaySettings &settings)
{
    // Everything runs on this thread, so the locks around sockets would only cost time.
    boost::asio::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE_IO);
    arbutusgrade::LogOptions logOptions;
    logOptions.m_node = settings.m_node;
    logOptions.m_output = arbutusgrade::LogOutput::BoundedStandardOutput;
    arbutusgrade::Log log(logOptions);
    const arbutusgrade::CoordinationSettings coordination = readCoordinationSettings(log);
    const std::unique_ptr<arbutusgrade::MetadataStore> store = arbutusgrade::platform::createStore(
        context, settings.m_store, arbutusgrade::MetadataStoreOptions{});
    arbutusgrade::GatewayNode node(context, settings, arbutusgrade::platform::deploymentFormat(),
                                   *store, log, coordination);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    waitForSignal(signals, context, node, log, path);
    log.write(arbutusgrade::LogLevel::Info, "started", "",
              {{"dataCentre", settings.m_dataCentre}, {"store", settings.m_store.m_address}});
    const std::string problem = node.start();
    if (!problem.empty()) {
        std::cerr << problem << '\n';
        return exitFailure;
    }
    arbutusgrade::runContext(context, [&log](const std::exception &error) {
        arbutusgrade::logHandlerException(log, error);
    });
    log.write(arbutusgrade::LogLevel::Info, "stopped", "");
    log.flush();
    // The log library joins its worker thread when static objects are destroyed; on the users' VMs
    // that did not end before SIGKILL. Everything that has to be out is out.
    std::_Exit(0);
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(usageText);
    const std::vector<char *> rest = absl::ParseCommandLine(argc, argv);
    const std::string path = settingsPath();
    if (rest.size() > 1 || path.empty()) {
        std::cerr << "a settings file is required; see --help\n";
        return exitUsage;
    }
    const arbutusgrade::Checked<arbutusgrade::GatewaySettings> settings = readSettings(path);
    if (!settings) {
        for (const arbutusgrade::Finding &finding : settings.error()) {
            std::cerr << arbutusgrade::formatFinding(finding) << '\n';
        }
        return exitUsage;
    }
    if (absl::GetFlag(FLAGS_check)) {
        return 0;
    }
    try {
        return run(path, settings.value());
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return exitFailure;
    }
}
