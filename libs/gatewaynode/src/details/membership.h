#pragma once

#include <deque>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "base/base.h"
#include "gatewaynode/gatewaynode.h"

namespace arbutusgrade {

//! @brief Registers this node in the store under a lease and counts the nodes that did.
//!
//! The nodes divide the limits at the targets by this count. It falls late, since the others may
//! live on while their registrations lapse.
class Membership : public std::enable_shared_from_this<Membership>
{
public:
    Membership(boost::asio::io_context &context, MetadataStore &store, std::string prefix,
               std::string node, std::chrono::milliseconds minimumLease);

    void start();
    void stop();

    //! @brief Takes a complete reading of the store; other keys are left alone.
    void takeSnapshot(const std::vector<MetadataItem> &items);
    void takeChanges(const std::vector<MetadataEvent> &events);

    //! @brief Lease of the registration; empty if there is none now.
    const std::string &lease() const
    {
        return m_lease;
    }

    //! @brief Nodes that count now.
    int nodeCount(TimePoint now);

private:
    void createLease();
    void writeKey();
    void keepLease();
    void keepLater(std::chrono::milliseconds delay);
    void rememberCount(std::size_t nodes);

    struct PastCount
    {
        TimePoint m_until;
        int m_nodes = 0;
    };

    MetadataStore &m_store;
    std::string m_prefix;
    std::string m_key;
    std::string m_node;
    std::chrono::milliseconds m_timeToLive;
    boost::asio::steady_timer m_timer;
    std::string m_lease;
    std::set<std::string> m_present;
    std::deque<PastCount> m_past; //!< Higher counts that still hold, greatest first.
    bool m_stopped = false;
};

} // namespace arbutusgrade
