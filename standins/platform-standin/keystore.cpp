#include "keystore.h"

#include <utility>

namespace arbutusgrade::standins {

namespace {

// Older states are kept for rollBack only; claims would otherwise fill the memory of long runs.
constexpr std::size_t historyLimit = 32;

} // namespace

std::optional<KeyState> KeyStore::get(std::string_view key, StoreTime now)
{
    expire(now);
    const auto found = m_keys.find(key);
    if (found == m_keys.end()) {
        return std::nullopt;
    }
    return found->second;
}

PutResult KeyStore::put(const std::string &key, std::string value,
                        std::optional<std::int64_t> expected, std::int64_t lease, StoreTime now)
{
    expire(now);
    const auto found = m_keys.find(key);
    const KeyState current = found == m_keys.end() ? KeyState{} : found->second;
    if (expected && *expected != current.m_revision) {
        return PutResult{false, current};
    }
    const KeyState state{std::move(value), ++m_revision, lease};
    m_keys[key] = state;
    std::vector<KeyState> &history = m_history[key];
    if (history.size() == historyLimit) {
        history.erase(history.begin());
    }
    history.push_back(state);
    m_changes.push_back(KeyChange{key, state, false});
    return PutResult{true, state};
}

std::int64_t KeyStore::createLease(std::chrono::seconds timeToLive, StoreTime now)
{
    const std::int64_t lease = m_nextLease++;
    m_leases[lease] = Lease{timeToLive, now + timeToLive};
    return lease;
}

bool KeyStore::hasLease(std::int64_t lease, StoreTime now)
{
    expire(now);
    return m_leases.contains(lease);
}

bool KeyStore::keepAlive(std::int64_t lease, StoreTime now)
{
    expire(now);
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return false;
    }
    found->second.m_end = now + found->second.m_timeToLive;
    return true;
}

void KeyStore::expire(StoreTime now)
{
    bool lapsed = false;
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (lease->second.m_end <= now) {
            lease = m_leases.erase(lease);
            lapsed = true;
        } else {
            ++lease;
        }
    }
    if (!lapsed) {
        return;
    }
    for (auto key = m_keys.begin(); key != m_keys.end();) {
        if (key->second.m_lease != 0 && !m_leases.contains(key->second.m_lease)) {
            m_history.erase(key->first);
            m_changes.push_back(KeyChange{key->first, KeyState{{}, ++m_revision, 0}, true});
            key = m_keys.erase(key);
        } else {
            ++key;
        }
    }
}

bool KeyStore::rollBack(const std::string &key, std::int64_t revision)
{
    const auto history = m_history.find(key);
    if (history == m_history.end()) {
        return false;
    }
    for (const KeyState &state : history->second) {
        if (state.m_revision == revision) {
            m_keys[key] = state;
            return true;
        }
    }
    return false;
}

void KeyStore::restore(const KeyStore &copy)
{
    const std::int64_t nextLease = m_nextLease;
    *this = copy;
    m_leases.clear();
    m_nextLease = nextLease;
}

std::vector<KeyChange> KeyStore::list(std::string_view prefix, std::string_view after,
                                      std::size_t limit, StoreTime now)
{
    expire(now);
    std::vector<KeyChange> items;
    for (const std::pair<const std::string, KeyState> &key : m_keys) {
        if (items.size() < limit && key.first.starts_with(prefix) && key.first > after) {
            items.push_back(KeyChange{key.first, key.second, false});
        }
    }
    return items;
}

std::optional<std::vector<KeyChange>> KeyStore::changesAfter(std::string_view prefix,
                                                             std::int64_t revision) const
{
    if (revision < m_forgottenUpTo || revision > m_revision) {
        return std::nullopt;
    }
    std::vector<KeyChange> changes;
    for (const KeyChange &change : m_changes) {
        if (change.m_state.m_revision > revision && change.m_key.starts_with(prefix)) {
            changes.push_back(change);
        }
    }
    return changes;
}

void KeyStore::remove(const std::string &key)
{
    if (m_keys.erase(key) > 0) {
        m_changes.push_back(KeyChange{key, KeyState{{}, ++m_revision, 0}, true});
    }
}

void KeyStore::dropChanges()
{
    m_changes.clear();
    m_forgottenUpTo = m_revision;
}

std::size_t KeyStore::keyCount() const
{
    return m_keys.size();
}

} // namespace arbutusgrade::standins
