#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/base.h"
#include "node/node.h"
#include "settings/settings.h"

//! @brief Joins membership and configuration to the sockets, the store and the request path.
//!
//! All functions are called from the thread that runs the io_context.
namespace arbutusgrade {

struct ClusterOptions
{
    std::string m_node;
    std::uint64_t m_incarnation = 1; //!< Higher at each start of the node.
    std::uint64_t m_seed = 1;
    std::string m_baseText; //!< Files of the command line.
    std::string m_overlayText;
    Settings m_files; //!< The same, parsed; names the first seeds and the store.
};

//! @brief Creates the service that keeps a node in the cluster and serves /v1/admin/.
//!
//! The shell must outlive the service. Add it to the shell before the shell starts. The service
//! adopts settings at the shell once the store or a peer has answered.
//! @return null and the reason if the files do not name the node.
std::unique_ptr<NodeService> createClusterService(NodeShell &shell, const ClusterOptions &options,
                                                  std::string &error);

} // namespace arbutusgrade
