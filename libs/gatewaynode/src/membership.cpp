#include "details/membership.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

constexpr std::chrono::milliseconds leaseTime{24'000};
constexpr std::chrono::milliseconds keepInterval{8'000};
constexpr std::chrono::milliseconds retryInterval{1'000};

// A node whose registration lapsed still counts for this long: it may live on without the store.
constexpr Duration countMemory{15'000'000};

// Before the registrations have been read, this node takes itself for one of several.
constexpr int assumedNodes = 12;

} // namespace

Membership::Membership(boost::asio::io_context &context, MetadataStore &store, std::string prefix,
                       std::string node, std::chrono::milliseconds minimumLease)
    : m_store(store), m_prefix(std::move(prefix)), m_key(m_prefix + node), m_node(std::move(node)),
      m_timeToLive(std::max(leaseTime, minimumLease)), m_timer(context)
{
}

void Membership::start()
{
    m_past.push_back(PastCount{bootTimeNow() + countMemory, assumedNodes});
    createLease();
}

void Membership::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

int Membership::nodeCount(TimePoint now)
{
    while (!m_past.empty() && now >= m_past.front().m_until) {
        m_past.pop_front();
    }
    const int present = std::max<int>(1, static_cast<int>(m_present.size()));
    return m_past.empty() ? present : std::max(present, m_past.front().m_nodes);
}

void Membership::createLease()
{
    m_store.createLease(m_timeToLive, [weak = weak_from_this()](const MetadataLease &lease) {
        const std::shared_ptr<Membership> self = weak.lock();
        if (!self || self->m_stopped) {
            return;
        }
        if (lease.m_status != MetadataStatus::Ok) {
            self->m_lease.clear();
            self->keepLater(retryInterval);
            return;
        }
        self->m_lease = lease.m_lease;
        self->writeKey();
    });
}

void Membership::writeKey()
{
    m_store.write(m_key, m_node, m_lease, [weak = weak_from_this()](MetadataStatus status) {
        const std::shared_ptr<Membership> self = weak.lock();
        if (!self || self->m_stopped) {
            return;
        }
        if (status != MetadataStatus::Ok) {
            self->m_lease.clear();
        }
        self->keepLater(status == MetadataStatus::Ok ? keepInterval : retryInterval);
    });
}

void Membership::keepLease()
{
    if (m_lease.empty()) {
        createLease();
        return;
    }
    m_store.keepLease(m_lease, [weak = weak_from_this()](MetadataStatus status) {
        const std::shared_ptr<Membership> self = weak.lock();
        if (!self || self->m_stopped) {
            return;
        }
        if (status == MetadataStatus::NotFound) {
            self->createLease();
            return;
        }
        self->keepLater(status == MetadataStatus::Ok ? keepInterval : retryInterval);
    });
}

void Membership::keepLater(std::chrono::milliseconds delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const std::shared_ptr<Membership> self = weak.lock();
        if (!error && self && !self->m_stopped) {
            self->keepLease();
        }
    });
}

void Membership::takeSnapshot(const std::vector<MetadataItem> &items)
{
    const std::size_t before = m_present.size();
    m_present.clear();
    for (const MetadataItem &item : items) {
        if (item.m_key.starts_with(m_prefix)) {
            m_present.insert(item.m_key);
        }
    }
    if (m_present.size() < before) {
        rememberCount(before);
    }
}

void Membership::takeChanges(const std::vector<MetadataEvent> &events)
{
    const std::size_t before = m_present.size();
    bool ownKeyLost = false;
    for (const MetadataEvent &event : events) {
        const std::string &key = event.m_item.m_key;
        if (!key.starts_with(m_prefix)) {
            continue;
        }
        if (!event.m_removed) {
            m_present.insert(key);
            continue;
        }
        m_present.erase(key);
        ownKeyLost = ownKeyLost || key == m_key;
    }
    if (m_present.size() < before) {
        rememberCount(before);
    }
    if (ownKeyLost && !m_present.contains(m_key) && !m_lease.empty()) {
        m_lease.clear();
        keepLater(std::chrono::milliseconds(0));
    }
}

void Membership::rememberCount(std::size_t nodes)
{
    const PastCount past{bootTimeNow() + countMemory, static_cast<int>(nodes)};
    while (!m_past.empty() && m_past.back().m_nodes <= past.m_nodes) {
        m_past.pop_back();
    }
    m_past.push_back(past);
}

} // namespace arbutusgrade
