#include "details/eratracker.h"

#include <utility>

namespace arbutusgrade {

namespace {

// Limits the rate of listings while servers of different eras answer alternately.
constexpr Duration lowerEraDelay = std::chrono::seconds(5);

} // namespace

EraTracker::EraTracker(MetadataStore &store,
                       std::function<void(std::uint64_t previous, std::uint64_t era)> eraChanged)
    : m_store(store), m_state(std::make_shared<State>())
{
    m_state->m_eraChanged = std::move(eraChanged);
}

StoreEra EraTracker::era() const
{
    return m_state->m_era;
}

std::uint64_t EraTracker::discardedReplies() const
{
    return m_state->m_discarded;
}

void EraTracker::change(State &state, std::uint64_t era)
{
    const std::uint64_t previous = *state.m_era;
    state.m_era = era;
    ++state.m_changes;
    state.m_changedAt = bootTimeNow();
    state.m_eraChanged(previous, era);
}

bool EraTracker::accept(State &state, std::uint64_t changesAtStart, bool strong, StoreEra era)
{
    if (!era) {
        return true;
    }
    if (!state.m_era) {
        state.m_era = era;
        return true;
    }
    const bool sentInKnownEra = changesAtStart == state.m_changes;
    if (*era == *state.m_era) {
        return sentInKnownEra;
    }
    // A lower era is that of a late reply or of a replica that lags behind, unless a strongly
    // consistent call that was sent in the known era returns it.
    const bool followsLower =
        strong && sentInKnownEra
        && (state.m_changes == 0 || bootTimeNow() - state.m_changedAt >= lowerEraDelay);
    if (*era > *state.m_era || followsLower) {
        change(state, *era);
    }
    return false;
}

template <typename Reply>
std::function<void(const Reply &)> EraTracker::filtered(std::function<void(const Reply &)> handler,
                                                        bool strong) const
{
    return [weak = std::weak_ptr<State>(m_state), changes = m_state->m_changes, strong,
            handler = std::move(handler)](const Reply &reply) {
        const std::shared_ptr<State> state = weak.lock();
        if (!state) {
            return;
        }
        if (accept(*state, changes, strong, reply.m_era)) {
            handler(reply);
            return;
        }
        ++state->m_discarded;
        handler(Reply{});
    };
}

void EraTracker::list(std::string_view prefix, std::string_view after, ReadConsistency consistency,
                      std::function<void(const MetadataPage &)> handler)
{
    const bool strong = consistency == ReadConsistency::Strong;
    m_store.list(prefix, after, consistency, filtered(std::move(handler), strong));
}

void EraTracker::watch(std::string_view prefix, std::uint64_t afterRevision,
                       std::chrono::milliseconds wait,
                       std::function<void(const MetadataChanges &)> handler)
{
    m_store.watch(prefix, afterRevision, wait, filtered(std::move(handler)));
}

void EraTracker::write(std::string_view key, std::string_view value, std::string_view lease,
                       std::uint64_t expectedRevision,
                       std::function<void(const MetadataResult &)> handler)
{
    m_store.write(key, value, lease, expectedRevision, filtered(std::move(handler)));
}

void EraTracker::createLease(std::chrono::milliseconds timeToLive,
                             std::function<void(const MetadataLease &)> handler)
{
    m_store.createLease(timeToLive, filtered(std::move(handler)));
}

void EraTracker::renewLease(std::string_view lease,
                            std::function<void(const MetadataResult &)> handler)
{
    m_store.renewLease(lease, filtered(std::move(handler)));
}

} // namespace arbutusgrade
