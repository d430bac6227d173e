#include "details/prefixwatcher.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

// A reply with at least this many changes may be part of a backlog, which is fetched without delay.
constexpr std::size_t backlogThreshold = 24;

// The store already has the changes since a stale read, so there is no need to wait for them.
constexpr std::chrono::milliseconds catchUpWatchTimeout{1};

// A store that does not answer may be back at any moment. A watch that is sent just before then is
// lost and ends only after its wait, so the wait is short until one has succeeded.
constexpr std::chrono::milliseconds recoveryWatchTimeout{100};

constexpr std::chrono::milliseconds initialRetryDelay{100};
constexpr std::chrono::milliseconds maximumRetryDelay{800};

void applyEvent(std::vector<MetadataItem> &items, const MetadataEvent &event)
{
    std::erase_if(items,
                  [&event](const MetadataItem &item) { return item.m_key == event.m_item.m_key; });
    if (!event.m_removed) {
        items.push_back(event.m_item);
    }
}

std::string greatestKey(const std::vector<MetadataItem> &items)
{
    std::string greatest;
    for (const MetadataItem &item : items) {
        greatest = std::max(greatest, item.m_key);
    }
    return greatest;
}

} // namespace

PrefixWatcher::PrefixWatcher(boost::asio::io_context &context, MetadataStore &store,
                             std::string prefix, const PrefixWatcherOptions &options,
                             Handlers handlers)
    : m_store(store), m_prefix(std::move(prefix)), m_options(options),
      m_handlers(std::move(handlers)), m_timer(context)
{
    m_random.m_state =
        stableHash(m_prefix) ^ static_cast<std::uint64_t>(bootTimeNow().time_since_epoch().count());
}

void PrefixWatcher::setOptions(const PrefixWatcherOptions &options)
{
    m_options = options;
}

void PrefixWatcher::start()
{
    restart(ReadConsistency::Stale);
}

void PrefixWatcher::restart(ReadConsistency consistency)
{
    m_timer.cancel();
    m_items.clear();
    m_consistency = consistency;
    listPage(++m_generation, "");
}

void PrefixWatcher::stop()
{
    ++m_generation;
    m_timer.cancel();
}

template <typename Step> void PrefixWatcher::runGuarded(std::uint64_t generation, const Step &step)
{
    try {
        step();
    } catch (const std::exception &) {
        // What was applied in part is read again; a watch that is not sent again would leave the
        // node with what it knows now for good.
        if (m_generation == generation) {
            scheduleStrongListing(generation);
        }
    }
}

void PrefixWatcher::listPage(std::uint64_t generation, const std::string &after)
{
    m_store.list(m_prefix, after, m_consistency,
                 [weak = weak_from_this(), generation, after](const MetadataPage &page) {
                     const std::shared_ptr<PrefixWatcher> self = weak.lock();
                     if (self && self->m_generation == generation) {
                         self->runGuarded(generation,
                                          [&] { self->handlePage(generation, after, page); });
                     }
                 });
}

void PrefixWatcher::handlePage(std::uint64_t generation, const std::string &after,
                               const MetadataPage &page)
{
    // A key that cannot be read is empty, and an empty one would begin the listing anew.
    const bool hasMore = page.m_hasMore && !page.m_items.empty();
    const std::string last = hasMore ? greatestKey(page.m_items) : std::string();
    if (page.m_status != MetadataStatus::Ok || (hasMore && last <= after)) {
        m_items.clear();
        scheduleRetry(generation, true);
        return;
    }
    m_consecutiveFailures = 0;
    m_changedAfter = page.m_changedAfter;
    m_oldestRevision =
        m_items.empty() ? page.m_storeRevision : std::min(m_oldestRevision, page.m_storeRevision);
    for (const MetadataItem &item : page.m_items) {
        m_items.push_back(withoutLongValue(item));
    }
    if (hasMore) {
        listPage(generation, last);
        return;
    }
    m_revision = m_oldestRevision;
    if (m_consistency == ReadConsistency::Stale) {
        catchUp(generation);
        return;
    }
    completeListing(generation);
}

MetadataItem PrefixWatcher::withoutLongValue(const MetadataItem &item) const
{
    const bool isLong =
        m_handlers.m_valueLimit && item.m_value.size() > m_handlers.m_valueLimit(item.m_key);
    return isLong ? MetadataItem{item.m_key, std::string(), item.m_revision} : item;
}

void PrefixWatcher::completeListing(std::uint64_t generation)
{
    const std::vector<MetadataItem> items = std::move(m_items);
    m_items.clear();
    m_handlers.m_availability(true);
    m_handlers.m_snapshot(items);
    watch(generation);
}

void PrefixWatcher::catchUp(std::uint64_t generation)
{
    m_store.watch(m_prefix, m_revision, catchUpWatchTimeout,
                  [weak = weak_from_this(), generation](const MetadataChanges &changes) {
                      const std::shared_ptr<PrefixWatcher> self = weak.lock();
                      if (!self || self->m_generation != generation) {
                          return;
                      }
                      self->runGuarded(generation,
                                       [&] { self->handleCatchUp(generation, changes); });
                  });
}

bool PrefixWatcher::recoverFrom(std::uint64_t generation, MetadataStatus status, bool relist)
{
    switch (status) {
    case MetadataStatus::Ok:
        return false;
    case MetadataStatus::HistoryUnavailable:
        restart(ReadConsistency::Strong);
        return true;
    case MetadataStatus::Unreadable:
        scheduleStrongListing(generation);
        return true;
    default:
        m_items.clear();
        scheduleRetry(generation, relist);
        return true;
    }
}

void PrefixWatcher::handleCatchUp(std::uint64_t generation, const MetadataChanges &changes)
{
    if (recoverFrom(generation, changes.m_status, true)) {
        return;
    }
    for (const MetadataEvent &event : changes.m_events) {
        applyEvent(m_items, MetadataEvent{withoutLongValue(event.m_item), event.m_removed});
    }
    m_revision = std::max(m_revision, changes.m_storeRevision);
    if (changes.m_events.size() >= backlogThreshold) {
        catchUp(generation);
        return;
    }
    completeListing(generation);
}

void PrefixWatcher::watch(std::uint64_t generation)
{
    const std::chrono::milliseconds wait =
        m_consecutiveFailures > 0 ? std::min(recoveryWatchTimeout, m_options.m_watchTimeout)
                                  : m_options.m_watchTimeout;
    m_store.watch(m_prefix, m_revision, wait,
                  [weak = weak_from_this(), generation](const MetadataChanges &changes) {
                      const std::shared_ptr<PrefixWatcher> self = weak.lock();
                      if (self && self->m_generation == generation) {
                          self->runGuarded(generation,
                                           [&] { self->handleChanges(generation, changes); });
                      }
                  });
}

void PrefixWatcher::handleChanges(std::uint64_t generation, const MetadataChanges &changes)
{
    if (recoverFrom(generation, changes.m_status, false)) {
        return;
    }
    m_consecutiveFailures = 0;
    m_revision = std::max(m_revision, changes.m_storeRevision);
    m_handlers.m_availability(true);
    if (changes.m_events.empty()) {
        watch(generation);
        return;
    }
    m_changedAfter = changes.m_changedAfter;
    m_handlers.m_changes(changes.m_events);
    // A relay has batched the changes already.
    if (changes.m_isRelayed || changes.m_events.size() >= backlogThreshold) {
        watch(generation);
        return;
    }
    scheduleWatch(generation, m_options.m_batchDelay);
}

void PrefixWatcher::scheduleWatch(std::uint64_t generation, std::chrono::milliseconds delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([weak = weak_from_this(), generation](boost::system::error_code error) {
        const std::shared_ptr<PrefixWatcher> self = weak.lock();
        if (!error && self && self->m_generation == generation) {
            self->watch(generation);
        }
    });
}

void PrefixWatcher::scheduleStrongListing(std::uint64_t generation)
{
    // A stale listing may be older than the changes that could not be read.
    m_consistency = ReadConsistency::Strong;
    m_items.clear();
    scheduleRetry(generation, true);
}

void PrefixWatcher::scheduleRetry(std::uint64_t generation, bool relist)
{
    m_handlers.m_availability(false);
    const int doublings = std::min(m_consecutiveFailures, 3);
    ++m_consecutiveFailures;
    const std::chrono::milliseconds delay =
        std::min(maximumRetryDelay, initialRetryDelay * (1 << doublings));
    // Jitter prevents all nodes from calling at the same time when the store is available again.
    const std::chrono::milliseconds jitter(
        nextRandomBelow(m_random, static_cast<std::uint64_t>(delay.count() / 2) + 1));
    m_timer.expires_after(delay + jitter);
    m_timer.async_wait(
        [weak = weak_from_this(), generation, relist](boost::system::error_code error) {
            const std::shared_ptr<PrefixWatcher> self = weak.lock();
            if (error || !self || self->m_generation != generation) {
                return;
            }
            if (relist) {
                self->listPage(generation, "");
            } else {
                self->watch(generation);
            }
        });
}

} // namespace arbutusgrade
