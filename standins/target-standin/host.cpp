#include "host.h"

#include <random>
#include <stdexcept>
#include <string>

namespace arbutusgrade::standins {

namespace {

// Below the usual range of ports for outgoing connections (from 32768), which could otherwise take
// the port of a crashed target before it starts again.
constexpr std::uint16_t lowestPort = 12000;
constexpr std::uint16_t portRange = 20000;
constexpr int bindTries = 200;

} // namespace

TargetHost::TargetHost(boost::asio::io_context &context, const HostOptions &options)
    : m_context(context),
      m_control(context, [this](const HttpRequest &request, const Responder &responder) {
          handle(request, responder);
      })
{
    if (options.m_port != 0) {
        if (!bindRange(options, options.m_port)) {
            throw std::runtime_error("the ports from " + std::to_string(options.m_port)
                                     + " are not all free");
        }
        return;
    }
    // The choice of ports must differ between processes that start at the same time.
    std::random_device device;
    for (int i = 0; i < bindTries; ++i) {
        const std::uint16_t port = static_cast<std::uint16_t>(
            lowestPort + device() % static_cast<unsigned>(portRange - options.m_targets));
        if (bindRange(options, port)) {
            return;
        }
    }
    throw std::runtime_error("no range of free ports found");
}

std::uint16_t TargetHost::port() const
{
    return m_port;
}

bool TargetHost::bindRange(const HostOptions &options, std::uint16_t port)
{
    try {
        m_port = m_control.listen(port);
        for (int i = 0; i < options.m_targets; ++i) {
            const std::uint16_t targetPort = static_cast<std::uint16_t>(port + 1 + i);
            m_targets.push_back(std::make_unique<Target>(m_context, targetPort,
                                                         options.m_seed * 1000003U + targetPort,
                                                         options.m_behaviour));
            m_targets.back()->start();
        }
    } catch (const boost::system::system_error &) {
        m_targets.clear();
        m_control.close();
        return false;
    }
    return true;
}

void TargetHost::handle(const HttpRequest &request, const Responder &responder)
{
    const std::int64_t chosen = numberParameter(request, "target", -1);
    if (chosen >= static_cast<std::int64_t>(m_targets.size())) {
        responder(HttpResponse{404, R"({"error":"no such target"})"});
        return;
    }
    if (chosen >= 0) {
        if (!m_targets[static_cast<std::size_t>(chosen)]->control(request, responder)) {
            responder(HttpResponse{404, R"({"error":"no such call"})"});
        }
        return;
    }
    HttpResponse last{404, R"({"error":"no such call"})"};
    std::string list;
    for (const std::unique_ptr<Target> &target : m_targets) {
        target->control(request, [&last](const HttpResponse &response) { last = response; });
        list += (list.empty() ? "" : ",") + last.m_body;
    }
    if (request.m_path == "/v1/statistics") {
        last.m_body = "{\"targets\":[" + list + "]}";
    }
    responder(last);
}

} // namespace arbutusgrade::standins
