#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "query/query.h"

namespace arbutusgrade::stress {

//! @brief In-memory key-value store with compare-and-swap, as the platform offers it.
struct FakeStore
{
    struct Entry
    {
        std::string m_value;
        std::int64_t m_revision = 0;
    };

    std::map<std::string, Entry> m_entries;
    std::int64_t m_revision = 0;
    std::uint64_t m_calls = 0;
};

//! @brief Applies a call and returns the reply that an undisturbed network would deliver.
StoreReply applyStoreCall(FakeStore &store, const CallStore &call);

} // namespace arbutusgrade::stress
