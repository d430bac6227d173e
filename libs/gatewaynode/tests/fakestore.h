#pragma once

#include <map>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "gatewaynode/gatewaynode.h"

namespace arbutusgrade {

//! @brief In-memory store. Watches stay pending until the test completes them, so that a test
//! controls their order and failures; other calls complete immediately.
class FakeStore : public MetadataStore
{
public:
    struct Watch
    {
        std::uint64_t m_afterRevision = 0;
        std::chrono::milliseconds m_wait{0};
        std::function<void(const MetadataChanges &)> m_handler;
    };

    void list(std::string_view prefix, std::string_view after, ReadConsistency consistency,
              std::function<void(const MetadataPage &)> handler) override;
    void watch(std::string_view prefix, std::uint64_t afterRevision, std::chrono::milliseconds wait,
               std::function<void(const MetadataChanges &)> handler) override;
    void write(std::string_view key, std::string_view value, std::string_view lease,
               std::uint64_t expectedRevision,
               std::function<void(const MetadataResult &)> handler) override;
    void createLease(std::chrono::milliseconds timeToLive,
                     std::function<void(const MetadataLease &)> handler) override;
    void renewLease(std::string_view lease,
                    std::function<void(const MetadataResult &)> handler) override;

    //! @brief Performs the writes that had no response, if their keys have the expected revisions.
    void performLateWrites();

    //! @brief Completes the oldest pending watch.
    void completeWatch(MetadataStatus status, const std::vector<MetadataEvent> &events,
                       std::uint64_t storeRevision);

    MetadataStatus m_listStatus = MetadataStatus::Ok;
    std::size_t m_pageSize = 2;
    std::uint64_t m_revision = 10;
    std::map<std::string, std::string> m_items;
    std::map<std::string, std::uint64_t> m_revisions; //!< Of the keys that were written.
    bool m_unreadableKeys = false;                    //!< Pages have items without a key.
    int m_listLimit = 100; //!< List calls that are answered; later ones stay unanswered.
    std::vector<Watch> m_pendingWatches;
    int m_watchCalls = 0;
    int m_listCalls = 0;
    int m_strongListCalls = 0;
    //! Completes the watch after a stale listing immediately and without events.
    bool m_completeCatchUpWatches = true;
    //! Otherwise nothing is written, but for what performLateWrites() does.
    MetadataStatus m_writeStatus = MetadataStatus::Ok;
    int m_writeCalls = 0;
    int m_createdLeases = 0;
    std::chrono::milliseconds m_leaseTimeToLive{0}; //!< Of the last lease created.
    bool m_leaseExists = true;
    StoreEra m_era;                          //!< Of all replies, as it is when they are sent.
    std::optional<TimePoint> m_changedAfter; //!< Of pages and changes.

private:
    struct Write
    {
        std::string m_key;
        std::string m_value;
        std::uint64_t m_expectedRevision = 0;
    };

    std::uint64_t revisionOf(const std::string &key) const;
    MetadataStatus perform(const Write &write);

    std::vector<Write> m_lateWrites;
};

void runFor(boost::asio::io_context &context, std::chrono::milliseconds duration);

MetadataEvent makeEvent(std::string_view key, std::string_view value, std::uint64_t revision);

} // namespace arbutusgrade
