#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

//! @brief Keys with revisions, compare-and-swap and leases of the stand-in for the store.
namespace arbutusgrade::standins {

using StoreTime = std::chrono::steady_clock::time_point;

struct KeyState
{
    std::string m_value;
    std::int64_t m_revision = 0;
    std::int64_t m_lease = 0; //!< 0: none.
};

//! @brief One change, for watches over a prefix.
struct KeyChange
{
    std::string m_key;
    KeyState m_state; //!< For removals only the revision holds.
    bool m_removed = false;
};

struct PutResult
{
    bool m_written = false;
    KeyState m_state; //!< The new state, or the current one if not written.
};

//! @brief State of the store. Revisions count over all keys, so a key that was deleted and created
//! again has a new revision. Not thread-safe; the caller supplies the time.
class KeyStore
{
public:
    //! @brief Current state of the key, or nothing.
    std::optional<KeyState> get(std::string_view key, StoreTime now);

    //! @brief Writes if the key has the expected revision; 0 means that it must not exist, no
    //! expectation always writes.
    PutResult put(const std::string &key, std::string value, std::optional<std::int64_t> expected,
                  std::int64_t lease, StoreTime now);

    std::int64_t createLease(std::chrono::seconds timeToLive, StoreTime now);
    bool hasLease(std::int64_t lease, StoreTime now);

    //! @brief Extends a lease by its time to live. False if it has lapsed.
    bool keepAlive(std::int64_t lease, StoreTime now);

    //! @brief Deletes the keys of lapsed leases. Called by all other functions too.
    void expire(StoreTime now);

    //! @brief Puts a key back to an older revision, as a store does that was restored from a copy.
    //! @return false if the key never had the revision.
    bool rollBack(const std::string &key, std::int64_t revision);

    //! @brief Takes the state of a copy: revisions go back to those of the copy and are issued
    //! again; no lease is held any more.
    void restore(const KeyStore &copy);

    std::size_t keyCount() const;

    //! @brief Keys with the prefix after the given key, in order, at most so many.
    std::vector<KeyChange> list(std::string_view prefix, std::string_view after, std::size_t limit,
                                StoreTime now);

    //! @brief Changes of keys with the prefix after the revision; nothing if the history no longer
    //! reaches back to it, or the revision has not been issued.
    std::optional<std::vector<KeyChange>> changesAfter(std::string_view prefix,
                                                       std::int64_t revision) const;

    void remove(const std::string &key);

    //! @brief Forgets the changes up to now, so that watches have to read again.
    void dropChanges();

    std::int64_t revision() const
    {
        return m_revision;
    }

private:
    struct Lease
    {
        std::chrono::seconds m_timeToLive{0};
        StoreTime m_end;
    };

    std::map<std::string, KeyState, std::less<>> m_keys;
    std::map<std::string, std::vector<KeyState>> m_history;
    std::map<std::int64_t, Lease> m_leases;
    std::vector<KeyChange> m_changes; //!< Oldest first.
    std::int64_t m_forgottenUpTo = 0; //!< Changes up to this revision are no longer known.
    std::int64_t m_revision = 0;
    std::int64_t m_nextLease = 1;
};

} // namespace arbutusgrade::standins
