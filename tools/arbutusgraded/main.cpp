//! @brief The daemon on entry VMs: reads its settings, serves callers until SIGTERM.

#include <chrono>
#include <csignal>
#include <cstdio>
#include <exception>
#include <iostream>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "cluster/cluster.h"
#include "node/node.h"
#include "textfile/textfile.h"
#include "transport/transport.h"

ABSL_FLAG(std::string, base, "", "settings file that the whole firm shares (YAML)");
ABSL_FLAG(std::string, overlay, "", "settings file of this site; optional");
ABSL_FLAG(std::string, node, "", "name of this node in the settings");
ABSL_FLAG(std::string, log_file, "", "file for log lines; standard error if empty");

namespace {

constexpr int exitUsage = 2;
constexpr int exitFailure = 1;

constexpr const char *usageText =
    "Serves queries of callers from sharded targets.\n\n"
    "Example:\n"
    "  arbutusgraded --base firm.yaml --overlay bergen.yaml --node bergen-1\n\n"
    "SIGTERM ends it gracefully; SIGHUP changes nothing, as settings come with arbutusgradectl\n"
    "apply. Exit codes: 0 after SIGTERM, 1 if it cannot start, 2 for usage errors or findings in\n"
    "the settings.";

//! @brief Reads the files into the options: their texts and the settings that they give.
bool readSettings(const std::string &basePath, const std::string &overlayPath,
                  arbutusgrade::ClusterOptions &options)
{
    const std::optional<std::string> base = arbutusgrade::readTextFile(basePath);
    const std::optional<std::string> overlay = overlayPath.empty()
                                                   ? std::optional<std::string>("")
                                                   : arbutusgrade::readTextFile(overlayPath);
    if (!base || !overlay) {
        std::cerr << "cannot read " << (base ? overlayPath : basePath) << '\n';
        return false;
    }
    const arbutusgrade::Checked<arbutusgrade::Settings> settings =
        arbutusgrade::parseSettings({basePath, *base}, {overlayPath, *overlay});
    if (settings) {
        options.m_baseText = *base;
        options.m_overlayText = *overlay;
        options.m_fileSettings = settings.value();
        return true;
    }
    for (const arbutusgrade::Finding &finding : settings.error()) {
        std::cerr << arbutusgrade::formatFinding(finding) << '\n';
    }
    return false;
}

arbutusgrade::NodeOptions nodeOptions()
{
    arbutusgrade::NodeOptions options;
    options.m_node = absl::GetFlag(FLAGS_node);
    // Microseconds of the wall clock differ at each start, which makes incarnations distinct.
    options.m_incarnation =
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                       std::chrono::system_clock::now().time_since_epoch())
                                       .count());
    std::random_device device;
    options.m_seed = (static_cast<std::uint64_t>(device()) << 32U) | device();
    return options;
}

void waitForSignal(boost::asio::signal_set &signals, boost::asio::io_context &context,
                   arbutusgrade::NodeShell &shell)
{
    signals.async_wait([&](boost::system::error_code error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            shell.log().write(arbutusgrade::LogLevel::Warning, "reload-not-supported",
                              "SIGHUP changes nothing; change settings with arbutusgradectl apply");
        } else {
            // A repeated signal changes nothing, so that no request in flight is cut off.
            shell.beginShutdown([&context] { context.stop(); });
        }
        waitForSignal(signals, context, shell);
    });
}

int run(arbutusgrade::ClusterOptions &cluster)
{
    // Everything runs on this thread, so the locks around sockets would only cost time.
    boost::asio::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE_IO);
    const arbutusgrade::NodeOptions options = nodeOptions();
    arbutusgrade::Log log({options.m_node, absl::GetFlag(FLAGS_log_file)});
    arbutusgrade::NodeShell shell(context, options, log);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    waitForSignal(signals, context, shell);
    cluster.m_node = options.m_node;
    cluster.m_incarnation = options.m_incarnation;
    cluster.m_seed = options.m_seed;
    std::string problem;
    std::unique_ptr<arbutusgrade::NodeService> service =
        arbutusgrade::createClusterService(shell, cluster, problem);
    if (service) {
        shell.addService(std::move(service));
        // The files name the address of the node and the store; it is not ready with them alone.
        shell.adoptSettings(cluster.m_fileSettings, 0);
        problem = shell.start();
    }
    if (!problem.empty()) {
        std::cerr << problem << '\n';
        return exitFailure;
    }
    arbutusgrade::runContext(context, [&log](const std::exception &error) {
        arbutusgrade::logHandlerException(log, error);
    });
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(usageText);
    const std::vector<char *> rest = absl::ParseCommandLine(argc, argv);
    if (rest.size() > 1 || absl::GetFlag(FLAGS_base).empty() || absl::GetFlag(FLAGS_node).empty()) {
        std::cerr << "--base FILE and --node NAME are required; see --help\n";
        return exitUsage;
    }
    arbutusgrade::ClusterOptions cluster;
    if (!readSettings(absl::GetFlag(FLAGS_base), absl::GetFlag(FLAGS_overlay), cluster)) {
        return exitUsage;
    }
    try {
        return run(cluster);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return exitFailure;
    }
}
