#include <cstdint>
#include <exception>
#include <iostream>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "platform.h"

ABSL_FLAG(std::uint16_t, port, 0, "port on 127.0.0.1; 0 chooses one and prints it");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random choices");
ABSL_FLAG(std::int64_t, calls_per_second, 0, "rate limit over all calls; 0: none");
ABSL_FLAG(std::int64_t, delay_ms, 0, "delay of each call");
ABSL_FLAG(std::int64_t, vm_lag_ms, 0, "age of the VM list that is shown");

namespace {

int runPlatform()
{
    boost::asio::io_context context(1);
    arbutusgrade::standins::Platform platform(context, absl::GetFlag(FLAGS_seed));
    platform.faults().m_callsPerSecond = absl::GetFlag(FLAGS_calls_per_second);
    platform.faults().m_delayMs = absl::GetFlag(FLAGS_delay_ms);
    platform.faults().m_vmLagMs = absl::GetFlag(FLAGS_vm_lag_ms);
    std::cout << "port " << platform.listen(absl::GetFlag(FLAGS_port)) << std::endl;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Stand-in for the platform's key-value service and VM list.");
    absl::ParseCommandLine(argc, argv);
    try {
        return runPlatform();
    } catch (const std::exception &failure) {
        std::cerr << "platform-standin: " << failure.what() << std::endl;
        return 1;
    }
}
