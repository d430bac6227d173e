#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "gatewaynode/gatewaynode.h"

namespace arbutusgrade {

//! @brief Writes keys of this node so that a write which the store performs late undoes no later
//! one: each write expects the revision that the key had before, whoever wrote it.
class KeyWriter : public std::enable_shared_from_this<KeyWriter>
{
public:
    using Handler = std::function<void(const MetadataResult &)>;

    //! Keys whose revisions are remembered. A key that is not costs one more call.
    static constexpr std::size_t maximumRevisions = 4'096;

    explicit KeyWriter(MetadataStore &store) : m_store(store) { }

    //! @brief Writes the key, again after each conflict with another writer. The handler gets
    //! Conflict only if the key changes all the while.
    void write(const std::string &key, const std::string &value, const std::string &lease,
               Handler handler);

    //! @brief Forgets all revisions, as the store was restored from a copy and gives them out
    //! again.
    void storeEraChanged();

private:
    struct Write
    {
        std::string m_key;
        std::string m_value;
        std::string m_lease;
        Handler m_handler;
        int m_triesLeft = 0;
    };

    void send(Write write);
    void finish(Write write, const MetadataResult &result);
    std::uint64_t expectedRevision(const std::string &key) const;

    MetadataStore &m_store;
    std::unordered_map<std::string, std::uint64_t> m_revisions; //!< By key; 0: does not exist.
};

} // namespace arbutusgrade
