#pragma once

#include <map>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "gatewaynode/gatewaynode.h"

namespace arbutusgrade {

//! @brief Store in memory. Calls wait until the test answers them, so that it decides on order and
//! on failures.
class FakeStore : public MetadataStore
{
public:
    struct Watch
    {
        std::uint64_t m_after = 0;
        std::function<void(const MetadataChanges &)> m_handler;
    };

    void list(std::string_view prefix, std::string_view after, Freshness freshness,
              std::function<void(const MetadataPage &)> handler) override;
    void watch(std::string_view prefix, std::uint64_t afterRevision, std::chrono::milliseconds wait,
               std::function<void(const MetadataChanges &)> handler) override;
    void write(std::string_view key, std::string_view value, std::string_view lease,
               std::function<void(MetadataStatus)> handler) override;
    void createLease(std::chrono::milliseconds timeToLive,
                     std::function<void(const MetadataLease &)> handler) override;
    void keepLease(std::string_view lease, std::function<void(MetadataStatus)> handler) override;

    //! @brief Answers the oldest waiting watch.
    void answerWatch(MetadataStatus status, const std::vector<MetadataEvent> &events,
                     std::uint64_t storeRevision);

    MetadataStatus m_listStatus = MetadataStatus::Ok;
    std::size_t m_pageSize = 2;
    std::uint64_t m_revision = 10;
    std::map<std::string, std::string> m_items;
    std::vector<Watch> m_watches; //!< Waiting.
    int m_watchCalls = 0;
    int m_listCalls = 0;
    int m_exactLists = 0;
    //! Answers the watch that follows a stale reading at once, with nothing new.
    bool m_answersCatchUp = true;
    int m_leases = 0;
    bool m_leaseIsKnown = true;
};

//! @brief Runs the context for the given time.
void runFor(boost::asio::io_context &context, std::chrono::milliseconds time);

MetadataEvent eventOf(std::string_view key, std::string_view value, std::uint64_t revision);

} // namespace arbutusgrade
