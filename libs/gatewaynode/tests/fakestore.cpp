#include "fakestore.h"

namespace arbutusgrade {

void FakeStore::list(std::string_view prefix, std::string_view after, ReadConsistency consistency,
                     std::function<void(const MetadataPage &)> handler)
{
    ++m_listCalls;
    m_strongListCalls += consistency == ReadConsistency::Strong ? 1 : 0;
    if (m_listCalls > m_listLimit) {
        return;
    }
    MetadataPage page;
    page.m_status = m_listStatus;
    page.m_storeRevision = m_revision;
    page.m_era = m_era;
    page.m_changedAfter = m_changedAfter;
    for (const std::pair<const std::string, std::string> &item : m_items) {
        if (!item.first.starts_with(prefix) || item.first <= after) {
            continue;
        }
        if (page.m_items.size() == m_pageSize) {
            page.m_hasMore = true;
            break;
        }
        page.m_items.push_back(
            MetadataItem{m_unreadableKeys ? std::string() : item.first, item.second, m_revision});
    }
    handler(page);
}

void FakeStore::watch(std::string_view /*prefix*/, std::uint64_t afterRevision,
                      std::chrono::milliseconds wait,
                      std::function<void(const MetadataChanges &)> handler)
{
    ++m_watchCalls;
    if (m_completeCatchUpWatches && wait <= std::chrono::milliseconds(1)) {
        handler(MetadataChanges{MetadataStatus::Ok, {}, afterRevision, m_era});
        return;
    }
    m_pendingWatches.push_back(Watch{afterRevision, wait, std::move(handler)});
}

void FakeStore::write(std::string_view key, std::string_view value, std::string_view /*lease*/,
                      std::uint64_t expectedRevision,
                      std::function<void(const MetadataResult &)> handler)
{
    ++m_writeCalls;
    const Write write{std::string(key), std::string(value), expectedRevision};
    if (m_writeStatus != MetadataStatus::Ok) {
        if (m_writeStatus == MetadataStatus::NoResponse) {
            m_lateWrites.push_back(write);
        }
        handler(MetadataResult{m_writeStatus, m_era});
        return;
    }
    const MetadataStatus status = perform(write);
    handler(MetadataResult{status, m_era, revisionOf(write.m_key)});
}

void FakeStore::performLateWrites()
{
    for (const Write &write : m_lateWrites) {
        perform(write);
    }
    m_lateWrites.clear();
}

std::uint64_t FakeStore::revisionOf(const std::string &key) const
{
    const std::map<std::string, std::uint64_t>::const_iterator found = m_revisions.find(key);
    if (!m_items.contains(key)) {
        return 0;
    }
    return found != m_revisions.end() ? found->second : 1;
}

MetadataStatus FakeStore::perform(const Write &write)
{
    if (revisionOf(write.m_key) != write.m_expectedRevision) {
        return MetadataStatus::Conflict;
    }
    m_items[write.m_key] = write.m_value;
    m_revisions[write.m_key] = ++m_revision;
    return MetadataStatus::Ok;
}

void FakeStore::createLease(std::chrono::milliseconds timeToLive,
                            std::function<void(const MetadataLease &)> handler)
{
    ++m_createdLeases;
    m_leaseTimeToLive = timeToLive;
    handler(MetadataLease{MetadataStatus::Ok, std::to_string(m_createdLeases), timeToLive, m_era});
}

void FakeStore::renewLease(std::string_view /*lease*/,
                           std::function<void(const MetadataResult &)> handler)
{
    handler(MetadataResult{m_leaseExists ? MetadataStatus::Ok : MetadataStatus::NotFound, m_era});
}

void FakeStore::completeWatch(MetadataStatus status, const std::vector<MetadataEvent> &events,
                              std::uint64_t storeRevision)
{
    const Watch watch = m_pendingWatches.front();
    m_pendingWatches.erase(m_pendingWatches.begin());
    watch.m_handler(MetadataChanges{status, events, storeRevision, m_era, false, m_changedAfter});
}

void runFor(boost::asio::io_context &context, std::chrono::milliseconds duration)
{
    context.restart();
    context.run_for(duration);
}

MetadataEvent makeEvent(std::string_view key, std::string_view value, std::uint64_t revision)
{
    return MetadataEvent{MetadataItem{std::string(key), std::string(value), revision}, false};
}

} // namespace arbutusgrade
