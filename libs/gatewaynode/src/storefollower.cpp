#include "details/storefollower.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

// An answer with this many changes may be part of a backlog, which is taken without pauses.
constexpr std::size_t backlogEvents = 24;

// The changes since a stale reading are there at once.
constexpr std::chrono::milliseconds catchUpWait{1};

constexpr std::chrono::milliseconds firstRetryDelay{100};
constexpr std::chrono::milliseconds longestRetryDelay{800};

void applyChanges(std::vector<MetadataItem> &items, const std::vector<MetadataEvent> &events)
{
    for (const MetadataEvent &event : events) {
        std::erase_if(
            items, [&event](const MetadataItem &item) { return item.m_key == event.m_item.m_key; });
        if (!event.m_removed) {
            items.push_back(event.m_item);
        }
    }
}

} // namespace

StoreFollower::StoreFollower(boost::asio::io_context &context, MetadataStore &store,
                             std::string prefix, const StoreFollowerOptions &options,
                             Handlers handlers)
    : m_store(store), m_prefix(std::move(prefix)), m_options(options),
      m_handlers(std::move(handlers)), m_timer(context)
{
    m_random.m_state =
        stableHash(m_prefix) ^ static_cast<std::uint64_t>(bootTimeNow().time_since_epoch().count());
}

void StoreFollower::start()
{
    restart(Freshness::Stale);
}

void StoreFollower::restart(Freshness freshness)
{
    m_timer.cancel();
    m_items.clear();
    m_freshness = freshness;
    readPage(++m_round, "");
}

void StoreFollower::stop()
{
    ++m_round;
    m_timer.cancel();
}

void StoreFollower::readPage(std::uint64_t round, const std::string &after)
{
    m_store.list(m_prefix, after, m_freshness,
                 [weak = weak_from_this(), round](const MetadataPage &page) {
                     const std::shared_ptr<StoreFollower> self = weak.lock();
                     if (self && self->m_round == round) {
                         self->takePage(round, page);
                     }
                 });
}

void StoreFollower::takePage(std::uint64_t round, const MetadataPage &page)
{
    if (page.m_status != MetadataStatus::Ok) {
        m_items.clear();
        retryLater(round, true);
        return;
    }
    m_failures = 0;
    m_oldestRevision =
        m_items.empty() ? page.m_storeRevision : std::min(m_oldestRevision, page.m_storeRevision);
    m_items.insert(m_items.end(), page.m_items.begin(), page.m_items.end());
    if (page.m_more && !page.m_items.empty()) {
        readPage(round, page.m_items.back().m_key);
        return;
    }
    m_revision = m_oldestRevision;
    if (m_freshness == Freshness::Stale) {
        catchUp(round);
        return;
    }
    completeReading(round);
}

void StoreFollower::completeReading(std::uint64_t round)
{
    const std::vector<MetadataItem> items = std::move(m_items);
    m_items.clear();
    m_handlers.m_availability(true);
    m_handlers.m_snapshot(items);
    watch(round);
}

void StoreFollower::catchUp(std::uint64_t round)
{
    m_store.watch(m_prefix, m_revision, catchUpWait,
                  [weak = weak_from_this(), round](const MetadataChanges &changes) {
                      const std::shared_ptr<StoreFollower> self = weak.lock();
                      if (!self || self->m_round != round) {
                          return;
                      }
                      if (changes.m_status == MetadataStatus::HistoryGone) {
                          self->restart(Freshness::Exact);
                          return;
                      }
                      if (changes.m_status != MetadataStatus::Ok) {
                          self->m_items.clear();
                          self->retryLater(round, true);
                          return;
                      }
                      applyChanges(self->m_items, changes.m_events);
                      self->m_revision = std::max(self->m_revision, changes.m_storeRevision);
                      if (changes.m_events.size() >= backlogEvents) {
                          self->catchUp(round);
                          return;
                      }
                      self->completeReading(round);
                  });
}

void StoreFollower::watch(std::uint64_t round)
{
    m_store.watch(m_prefix, m_revision, m_options.m_wait,
                  [weak = weak_from_this(), round](const MetadataChanges &changes) {
                      const std::shared_ptr<StoreFollower> self = weak.lock();
                      if (self && self->m_round == round) {
                          self->takeChanges(round, changes);
                      }
                  });
}

void StoreFollower::takeChanges(std::uint64_t round, const MetadataChanges &changes)
{
    if (changes.m_status == MetadataStatus::HistoryGone) {
        restart(Freshness::Exact);
        return;
    }
    if (changes.m_status != MetadataStatus::Ok) {
        retryLater(round, false);
        return;
    }
    m_failures = 0;
    m_revision = std::max(m_revision, changes.m_storeRevision);
    m_handlers.m_availability(true);
    if (changes.m_events.empty()) {
        watch(round);
        return;
    }
    m_handlers.m_changes(changes.m_events);
    if (changes.m_events.size() >= backlogEvents) {
        watch(round);
        return;
    }
    watchAfter(round, m_options.m_gather);
}

void StoreFollower::watchAfter(std::uint64_t round, std::chrono::milliseconds delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([weak = weak_from_this(), round](boost::system::error_code error) {
        const std::shared_ptr<StoreFollower> self = weak.lock();
        if (!error && self && self->m_round == round) {
            self->watch(round);
        }
    });
}

void StoreFollower::retryLater(std::uint64_t round, bool readAll)
{
    m_handlers.m_availability(false);
    const int doublings = std::min(m_failures, 3);
    ++m_failures;
    const std::chrono::milliseconds delay =
        std::min(longestRetryDelay, firstRetryDelay * (1 << doublings));
    // Jitter keeps the nodes from asking all at once when the store returns.
    const std::chrono::milliseconds jitter(
        nextRandomBelow(m_random, static_cast<std::uint64_t>(delay.count() / 2) + 1));
    m_timer.expires_after(delay + jitter);
    m_timer.async_wait([weak = weak_from_this(), round, readAll](boost::system::error_code error) {
        const std::shared_ptr<StoreFollower> self = weak.lock();
        if (error || !self || self->m_round != round) {
            return;
        }
        if (readAll) {
            self->readPage(round, "");
        } else {
            self->watch(round);
        }
    });
}

} // namespace arbutusgrade
