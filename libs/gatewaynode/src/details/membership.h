#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "base/base.h"
#include "details/keywriter.h"
#include "gatewaynode/gatewaynode.h"

namespace arbutusgrade {

//! @brief Registers this node in the store under a lease and counts the registered nodes.
//!
//! The nodes divide the limits at the targets by this count. A decrease takes effect with a delay,
//! since a node may still be running after its registration has expired. For the same reason the
//! links of nodes are kept for a while.
class Membership : public std::enable_shared_from_this<Membership>
{
public:
    //! @param self registered with its link; without it, only the name is registered.
    Membership(boost::asio::io_context &context, MetadataStore &store, std::string prefix,
               std::string node, std::chrono::milliseconds minimumLease,
               const std::optional<RegisteredNode> &self = std::nullopt);

    void start();
    void stop();

    //! @brief Drops the lease and registers again: the store was restored from a copy, in which
    //! neither exists. Results of calls in flight are ignored.
    void storeEraChanged();

    //! @brief Replaces the known registrations by those of a snapshot of the store. Keys without
    //! the prefix are ignored.
    void applySnapshot(const std::vector<MetadataItem> &items);
    void applyChanges(const std::vector<MetadataEvent> &events);

    //! @brief Number of nodes that share the limits, including recently expired ones.
    int nodeCount(TimePoint now);

    //! @brief Number of nodes that may use a share of the quotas: those that are registered, and
    //! those whose registration ended within the last hour, as they may be cut off from the store.
    int quotaShareCount(TimePoint now);

    //! @brief Nodes that are registered with a link, including recently expired ones, sorted by
    //! name. Those that have expired are dropped by nodeCount().
    std::vector<RegisteredNode> linkedNodes() const;

    //! @brief True if this node's registration was in the registrations read last.
    bool isRegistered() const
    {
        return m_registeredKeys.contains(m_ownKey);
    }

    //! @brief Number that increases whenever linkedNodes() or isRegistered() may have changed.
    std::uint64_t revision() const
    {
        return m_revision;
    }

    //! @brief Names of the registered nodes.
    std::vector<std::string> nodeNames() const;

private:
    bool isCurrent(std::uint64_t era) const;
    void createLease();
    void writeRegistration();
    void renewLease();
    void scheduleRenewal(std::chrono::milliseconds delay);
    void retainCount(std::size_t nodes);
    void applyRegistration(const MetadataItem &item);
    void removeRegistration(const std::string &key);
    void dropExpiredLinks(TimePoint now);
    int registeredCount(TimePoint now);

    struct RetainedCount
    {
        TimePoint m_expires;
        int m_nodes = 0;
    };

    struct LinkedNode
    {
        RegisteredNode m_node;
        TimePoint m_expires = farFuture; //!< Set when its registration has ended.
    };

    MetadataStore &m_store;
    std::shared_ptr<KeyWriter> m_writer;
    std::string m_prefix;
    std::string m_ownKey;
    std::string m_registration; //!< Value of this node's key.
    std::chrono::milliseconds m_timeToLive;
    boost::asio::steady_timer m_timer;
    std::string m_leaseId;
    std::uint64_t m_eraNumber = 0; //!< Changes of the store's era since the start.
    std::set<std::string> m_registeredKeys;
    std::deque<RetainedCount> m_retainedCounts; //!< Earlier, higher counts; greatest first.
    TimePoint m_initialCountExpires; //!< Until then, the count is not below an assumed one.
    std::map<std::string, LinkedNode> m_linkedNodes; //!< By key.
    std::map<std::string, TimePoint> m_endedKeys;    //!< With the time until which they count.
    std::uint64_t m_revision = 0;
    bool m_stopped = false;
};

} // namespace arbutusgrade
