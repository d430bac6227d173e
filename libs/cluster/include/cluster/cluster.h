#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/base.h"
#include "node/node.h"
#include "settings/settings.h"

//! @brief Connects membership and configuration to the sockets, the store and the request path.
//!
//! All functions must be called from the thread that runs the io_context.
namespace arbutusgrade {

struct ClusterOptions
{
    std::string m_node;
    std::uint64_t m_incarnation = 1; //!< Must increase with each start of the node.
    std::uint64_t m_seed = 1;
    std::string m_baseText;    //!< Contents of the base file from the command line.
    std::string m_overlayText; //!< Contents of the overlay file from the command line.
    Settings m_fileSettings; //!< Settings parsed from both files; provide the initial seeds and the
                             //!< store.
};

//! @brief Creates the service that makes a node a cluster member and serves /v1/admin/.
//!
//! The shell must outlive the service. Add the service to the shell before the shell starts. The
//! service makes the shell adopt settings once the store or a peer has answered.
//! @return null, with the reason in @p error, if the file settings do not contain the node.
std::unique_ptr<NodeService> createClusterService(NodeShell &shell, const ClusterOptions &options,
                                                  std::string &error);

} // namespace arbutusgrade
