#include "transport/transport.h"

namespace arbutusgrade {

void runContext(asio::io_context &context,
                const std::function<void(const std::exception &)> &report)
{
    while (!context.stopped()) {
        try {
            context.run();
        } catch (const std::exception &error) {
            report(error);
        }
    }
}

} // namespace arbutusgrade
