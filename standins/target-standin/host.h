#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "standins/httpserver.h"
#include "target.h"

namespace arbutusgrade::standins {

struct HostOptions
{
    std::uint16_t m_port = 0; //!< Control port; 0 chooses one.
    int m_targets = 1;        //!< They listen on the ports after the control port.
    std::uint64_t m_seed = 1;
    TargetBehaviour m_behaviour;
};

//! @brief Many targets in one process, with one control port that answers while targets do not.
//!
//! The control port serves the control calls of each target; the parameter `target` (0 for the
//! first) chooses one. Without it PUT /v1/faults, POST /v1/snapshots and POST /v1/crash go to all
//! of them, and GET /v1/statistics lists all.
class TargetHost
{
public:
    //! @brief Binds all ports. Throws std::runtime_error if no free range is found.
    TargetHost(boost::asio::io_context &context, const HostOptions &options);

    std::uint16_t port() const;

private:
    bool bindRange(const HostOptions &options, std::uint16_t port);
    void handle(const HttpRequest &request, const Responder &responder);

    boost::asio::io_context &m_context;
    HttpServer m_control;
    std::uint16_t m_port = 0;
    std::vector<std::unique_ptr<Target>> m_targets;
};

} // namespace arbutusgrade::standins
