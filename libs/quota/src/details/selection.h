#pragma once

#include <string>
#include <vector>

#include "quota/quota.h"

//! @brief Choice of coordinators by weighted rendezvous hashing.
namespace arbutusgrade {

//! @brief Number of partitions of the organisations for a number of registered nodes.
std::uint32_t partitionCount(int nodes) noexcept;

//! @brief Names of the preferred peers for a partition, the best first. The node itself, if it is a
//! peer, is the last resort where it is not among them.
std::vector<std::string> coordinatorOrder(std::span<const QuotaPeer> peers, std::uint32_t partition,
                                          std::uint32_t partitions, std::string_view node);

//! @brief Number of peers before the node in the order for the key, without weights.
std::size_t rendezvousRank(std::span<const QuotaPeer> peers, std::string_view key,
                           std::string_view node) noexcept;

} // namespace arbutusgrade
