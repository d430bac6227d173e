#pragma once

#include <deque>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "base/base.h"
#include "gatewaynode/gatewaynode.h"

namespace arbutusgrade {

//! @brief Registers this node in the store under a lease and counts the registered nodes.
//!
//! The nodes divide the limits at the targets by this count. A decrease takes effect with a delay,
//! since a node may still be running after its registration has expired.
class Membership : public std::enable_shared_from_this<Membership>
{
public:
    Membership(boost::asio::io_context &context, MetadataStore &store, std::string prefix,
               std::string node, std::chrono::milliseconds minimumLease);

    void start();
    void stop();

    //! @brief Drops the lease and registers again: the store was restored from a copy, in which
    //! neither exists. Results of calls in flight are ignored.
    void storeEraChanged();

    //! @brief Replaces the known registrations by those of a snapshot of the store. Keys without
    //! the prefix are ignored.
    void applySnapshot(const std::vector<MetadataItem> &items);
    void applyChanges(const std::vector<MetadataEvent> &events);

    //! @brief Nodes that are registered with their link, this one included.
    std::vector<RegisteredNode> linkedNodes() const
    {
        return {}; // Registrations have no link yet.
    }

    //! @brief Number of nodes that share the limits, including recently expired ones.
    int nodeCount(TimePoint now);

private:
    bool isCurrent(std::uint64_t era) const;
    void createLease();
    void writeRegistration();
    void renewLease();
    void scheduleRenewal(std::chrono::milliseconds delay);
    void retainCount(std::size_t nodes);

    struct RetainedCount
    {
        TimePoint m_expires;
        int m_nodes = 0;
    };

    MetadataStore &m_store;
    std::string m_prefix;
    std::string m_ownKey;
    std::string m_node;
    std::chrono::milliseconds m_timeToLive;
    boost::asio::steady_timer m_timer;
    std::string m_leaseId;
    std::uint64_t m_eraNumber = 0; //!< Changes of the store's era since the start.
    std::set<std::string> m_registeredKeys;
    std::deque<RetainedCount> m_retainedCounts; //!< Earlier, higher counts; greatest first.
    bool m_stopped = false;
};

} // namespace arbutusgrade
