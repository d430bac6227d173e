#pragma once

#include "details/bucket.h"

//! @brief The part of a quota that a node may use while it delegates its share to nobody.
namespace arbutusgrade {

//! @brief Capacity of a node's own bucket.
//! @param rank of the node in the rendezvous order of the organisation.
//! @param fresh true while tokens granted from this node's share may still be in use elsewhere.
double fallbackCapacity(const QuotaBasis &basis, int nodes, std::size_t rank, bool fresh) noexcept;

//! @brief Takes a token from the node's own bucket, which is empty at `since`.
bool takeFallbackToken(TokenBucket &bucket, TimePoint now, TimePoint since, double rate,
                       double capacity) noexcept;

} // namespace arbutusgrade
