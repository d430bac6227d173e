#pragma once

#include <functional>
#include <memory>

#include "gatewaynode/gatewaynode.h"

namespace arbutusgrade {

//! @brief Store that follows the era stated in the replies of another one.
//!
//! The era changes when the store is restored from a copy. The first reply of a new era calls the
//! handler before the reply is passed on. Replies of another era than the known one become
//! NoResponse; so do replies of the new era to calls that were sent in the earlier one, since their
//! revisions and leases are of the earlier one. A store that states no era is passed through.
class EraTracker : public MetadataStore
{
public:
    //! @param eraChanged called with the previous and the new era.
    EraTracker(MetadataStore &store,
               std::function<void(std::uint64_t previous, std::uint64_t era)> eraChanged);

    //! @brief Era of the latest reply; empty until one has stated it.
    StoreEra era() const;

    //! @brief Replies that were discarded as they belong to another era.
    std::uint64_t discardedReplies() const;

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

private:
    //! @brief Shared with the handlers of calls in flight, which may outlive the tracker.
    struct State
    {
        std::function<void(std::uint64_t, std::uint64_t)> m_eraChanged;
        StoreEra m_era;
        std::uint64_t m_changes = 0; //!< Of the era, since the start.
        TimePoint m_changedAt;       //!< When the era changed last.
        std::uint64_t m_discarded = 0;
    };

    static void change(State &state, std::uint64_t era);
    static bool accept(State &state, std::uint64_t changesAtStart, bool strong, StoreEra era);

    template <typename Reply>
    std::function<void(const Reply &)> filtered(std::function<void(const Reply &)> handler,
                                                bool strong = true) const;

    MetadataStore &m_store;
    std::shared_ptr<State> m_state;
};

} // namespace arbutusgrade
