#include "details/membership.h"

#include <algorithm>
#include <utility>

#include "details/registration.h"

namespace arbutusgrade {

namespace {

constexpr std::chrono::milliseconds leaseTimeToLive{24'000};
constexpr std::chrono::milliseconds leaseRenewInterval{8'000};
constexpr std::chrono::milliseconds retryInterval{1'000};

// All nodes register again after a restore of the store, each with two calls; together they would
// exceed its limit of 1,200 writes per second.
constexpr std::chrono::milliseconds reregistrationSpread{1'000};

// A node still counts for this long after its registration has expired, since it may be running
// without contact to the store.
constexpr Duration countRetention = std::chrono::seconds(15);

// A node that is cut off from the store goes on using its share of the quotas. Cuts between regions
// last up to an hour.
constexpr Duration quotaShareRetention = std::chrono::hours(1);
constexpr std::size_t maximumEndedKeys = 4'096;

// Assumed until the registrations have been read, so that a new node does not use the limits as if
// it were the only one.
constexpr int initialNodeCount = 12;

} // namespace

Membership::Membership(boost::asio::io_context &context, MetadataStore &store, std::string prefix,
                       std::string node, std::chrono::milliseconds minimumLease,
                       const std::optional<RegisteredNode> &self)
    : m_store(store), m_writer(std::make_shared<KeyWriter>(store)), m_prefix(std::move(prefix)),
      m_ownKey(m_prefix + node), m_registration(self ? encodeRegistration(*self) : std::move(node)),
      m_timeToLive(std::max(leaseTimeToLive, minimumLease)), m_timer(context)
{
}

void Membership::start()
{
    m_initialCountExpires = bootTimeNow() + countRetention;
    createLease();
}

void Membership::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

int Membership::nodeCount(TimePoint now)
{
    dropExpiredLinks(now);
    const int count = registeredCount(now);
    return now < m_initialCountExpires ? std::max(count, initialNodeCount) : count;
}

int Membership::quotaShareCount(TimePoint now)
{
    std::erase_if(m_endedKeys, [now](const std::pair<const std::string, TimePoint> &ended) {
        return now >= ended.second;
    });
    return registeredCount(now) + static_cast<int>(m_endedKeys.size());
}

int Membership::registeredCount(TimePoint now)
{
    while (!m_retainedCounts.empty() && now >= m_retainedCounts.front().m_expires) {
        m_retainedCounts.pop_front();
    }
    const int registered = std::max<int>(1, static_cast<int>(m_registeredKeys.size()));
    return m_retainedCounts.empty() ? registered
                                    : std::max(registered, m_retainedCounts.front().m_nodes);
}

std::vector<std::string> Membership::nodeNames() const
{
    std::vector<std::string> names;
    for (const std::string &key : m_registeredKeys) {
        names.push_back(key.substr(m_prefix.size()));
    }
    return names;
}

void Membership::createLease()
{
    m_store.createLease(m_timeToLive,
                        [weak = weak_from_this(), era = m_eraNumber](const MetadataLease &lease) {
                            const std::shared_ptr<Membership> self = weak.lock();
                            if (!self || !self->isCurrent(era)) {
                                return;
                            }
                            if (lease.m_status != MetadataStatus::Ok) {
                                self->m_leaseId.clear();
                                self->scheduleRenewal(retryInterval);
                                return;
                            }
                            self->m_leaseId = lease.m_id;
                            self->writeRegistration();
                        });
}

void Membership::writeRegistration()
{
    m_writer->write(m_ownKey, m_registration, m_leaseId,
                    [weak = weak_from_this(), era = m_eraNumber](const MetadataResult &result) {
                        const std::shared_ptr<Membership> self = weak.lock();
                        if (!self || !self->isCurrent(era)) {
                            return;
                        }
                        const bool written = result.m_status == MetadataStatus::Ok;
                        if (!written) {
                            self->m_leaseId.clear();
                        }
                        self->scheduleRenewal(written ? leaseRenewInterval : retryInterval);
                    });
}

void Membership::renewLease()
{
    if (m_leaseId.empty()) {
        createLease();
        return;
    }
    m_store.renewLease(
        m_leaseId, [weak = weak_from_this(), era = m_eraNumber](const MetadataResult &result) {
            const std::shared_ptr<Membership> self = weak.lock();
            if (!self || !self->isCurrent(era)) {
                return;
            }
            if (result.m_status == MetadataStatus::NotFound) {
                self->createLease();
                return;
            }
            self->scheduleRenewal(result.m_status == MetadataStatus::Ok ? leaseRenewInterval
                                                                        : retryInterval);
        });
}

void Membership::storeEraChanged()
{
    if (m_stopped) {
        return;
    }
    ++m_eraNumber;
    m_leaseId.clear();
    m_writer->storeEraChanged();
    const std::uint64_t bound = static_cast<std::uint64_t>(reregistrationSpread.count()) + 1;
    RandomGenerator random{stableHash(m_ownKey) ^ m_eraNumber};
    scheduleRenewal(std::chrono::milliseconds(nextRandomBelow(random, bound)));
}

bool Membership::isCurrent(std::uint64_t era) const
{
    return !m_stopped && era == m_eraNumber;
}

void Membership::scheduleRenewal(std::chrono::milliseconds delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const std::shared_ptr<Membership> self = weak.lock();
        if (!error && self && !self->m_stopped) {
            self->renewLease();
        }
    });
}

void Membership::applySnapshot(const std::vector<MetadataItem> &items)
{
    const std::size_t previousCount = m_registeredKeys.size();
    const std::set<std::string> previousKeys = std::exchange(m_registeredKeys, {});
    for (const MetadataItem &item : items) {
        if (item.m_key.starts_with(m_prefix)) {
            applyRegistration(item);
        }
    }
    for (const std::string &key : previousKeys) {
        if (!m_registeredKeys.contains(key)) {
            removeRegistration(key);
        }
    }
    if (m_registeredKeys.size() < previousCount) {
        retainCount(previousCount);
    }
}

void Membership::applyChanges(const std::vector<MetadataEvent> &events)
{
    const std::size_t previousCount = m_registeredKeys.size();
    bool ownKeyLost = false;
    for (const MetadataEvent &event : events) {
        const std::string &key = event.m_item.m_key;
        if (!key.starts_with(m_prefix)) {
            continue;
        }
        if (!event.m_removed) {
            applyRegistration(event.m_item);
            continue;
        }
        removeRegistration(key);
        ownKeyLost = ownKeyLost || key == m_ownKey;
    }
    if (m_registeredKeys.size() < previousCount) {
        retainCount(previousCount);
    }
    if (ownKeyLost && !m_registeredKeys.contains(m_ownKey) && !m_leaseId.empty()) {
        m_leaseId.clear();
        scheduleRenewal(std::chrono::milliseconds(0));
    }
}

void Membership::applyRegistration(const MetadataItem &item)
{
    bool changed = m_registeredKeys.insert(item.m_key).second;
    m_endedKeys.erase(item.m_key);
    const std::string_view name = std::string_view(item.m_key).substr(m_prefix.size());
    const std::optional<RegisteredNode> node = decodeRegistration(name, item.m_value);
    if (node) {
        LinkedNode &linked = m_linkedNodes[item.m_key];
        changed = changed || linked.m_node != *node;
        linked = LinkedNode{*node, farFuture};
    } else {
        changed = m_linkedNodes.erase(item.m_key) > 0 || changed;
    }
    m_revision += changed ? 1 : 0;
}

void Membership::removeRegistration(const std::string &key)
{
    if (m_registeredKeys.erase(key) == 0) {
        return;
    }
    ++m_revision;
    if (m_endedKeys.size() < maximumEndedKeys) {
        m_endedKeys[key] = bootTimeNow() + quotaShareRetention;
    }
    const std::map<std::string, LinkedNode>::iterator found = m_linkedNodes.find(key);
    if (found != m_linkedNodes.end()) {
        found->second.m_expires = std::min(found->second.m_expires, bootTimeNow() + countRetention);
    }
}

std::vector<RegisteredNode> Membership::linkedNodes() const
{
    std::vector<RegisteredNode> nodes;
    nodes.reserve(m_linkedNodes.size());
    for (const std::pair<const std::string, LinkedNode> &entry : m_linkedNodes) {
        nodes.push_back(entry.second.m_node);
    }
    return nodes;
}

void Membership::dropExpiredLinks(TimePoint now)
{
    const std::size_t dropped =
        std::erase_if(m_linkedNodes, [now](const std::pair<const std::string, LinkedNode> &entry) {
            return now >= entry.second.m_expires;
        });
    if (dropped > 0) {
        ++m_revision;
    }
}

void Membership::retainCount(std::size_t nodes)
{
    const RetainedCount retained{bootTimeNow() + countRetention, static_cast<int>(nodes)};
    while (!m_retainedCounts.empty() && m_retainedCounts.back().m_nodes <= retained.m_nodes) {
        m_retainedCounts.pop_back();
    }
    m_retainedCounts.push_back(retained);
}

} // namespace arbutusgrade
