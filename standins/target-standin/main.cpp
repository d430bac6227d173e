#include <cstdint>
#include <exception>
#include <iostream>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>

#include "host.h"

ABSL_FLAG(std::uint16_t, port, 0,
          "control port on 127.0.0.1; the targets listen on the ports after it; 0 chooses a free "
          "range and prints it");
ABSL_FLAG(int, targets, 1, "number of targets in this process");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random choices");
ABSL_FLAG(std::string, behaviour, "{}",
          "JSON object with the members of PUT /v1/faults, for example {\"slots\":3}");

namespace {

using arbutusgrade::standins::HostOptions;
using arbutusgrade::standins::TargetHost;

int runTargets()
{
    HostOptions options;
    options.m_port = absl::GetFlag(FLAGS_port);
    options.m_targets = absl::GetFlag(FLAGS_targets);
    options.m_seed = absl::GetFlag(FLAGS_seed);
    const boost::json::value behaviour = boost::json::parse(absl::GetFlag(FLAGS_behaviour));
    const std::string problem =
        arbutusgrade::standins::patchBehaviour(options.m_behaviour, behaviour.as_object());
    if (!problem.empty()) {
        std::cerr << "target-standin: --behaviour: " << problem << std::endl;
        return 2;
    }
    boost::asio::io_context context(1);
    const TargetHost host(context, options);
    std::cout << "port " << host.port() << std::endl;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Stand-ins for targets, many in one process.");
    absl::ParseCommandLine(argc, argv);
    try {
        return runTargets();
    } catch (const std::exception &failure) {
        std::cerr << "target-standin: " << failure.what() << std::endl;
        return 1;
    }
}
