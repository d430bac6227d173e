#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "base/base.h"
#include "gatewaynode/gatewaynode.h"

namespace arbutusgrade {

struct PrefixWatcherOptions
{
    std::chrono::milliseconds m_watchTimeout{3'000}; //!< Wait time of one watch call.
    //! Delay between receiving changes and the next watch, so that one call returns a batch: calls
    //! are billed, and changes often come in series.
    std::chrono::milliseconds m_batchDelay{0};
};

//! @brief Tracks all keys of a prefix: lists all pages, then watches for changes.
//!
//! The first listing uses stale reads, which cost a fraction of strong ones. Before it is reported
//! as a snapshot, the changes since its oldest page are applied; if the store no longer has them,
//! the pages are listed again with strong reads. After a failed watch, the next one resumes from
//! the last known revision; when the store no longer has the changes since then, all pages are
//! listed again. So they are when the changes cannot be read, for
//! example because many large values were written together: pages are short.
class PrefixWatcher : public std::enable_shared_from_this<PrefixWatcher>
{
public:
    struct Handlers
    {
        std::function<void(const std::vector<MetadataItem> &)> m_snapshot; //!< Complete listing.
        std::function<void(const std::vector<MetadataEvent> &)> m_changes;
        std::function<void(bool available)> m_availability; //!< After each success or failure.
        //! Size in bytes up to which a value is of use. Longer ones are reported as empty, so that
        //! a listing takes little memory. Without this handler, all are reported.
        std::function<std::size_t(std::string_view key)> m_valueLimit;
    };

    PrefixWatcher(boost::asio::io_context &context, MetadataStore &store, std::string prefix,
                  const PrefixWatcherOptions &options, Handlers handlers);

    void start();

    //! @brief Lists all pages again, for example after a suspension of the VM.
    void restart(ReadConsistency consistency);

    //! @brief Applies to calls and delays that begin later.
    void setOptions(const PrefixWatcherOptions &options);

    //! @brief All changes up to this revision have been reported.
    std::uint64_t revision() const
    {
        return m_revision;
    }

    //! @brief The items or changes that are being reported differ from earlier ones by what was
    //! changed after this time. Empty if that is not known.
    std::optional<TimePoint> changedAfter() const
    {
        return m_changedAfter;
    }

    //! @brief Stops watching. No handler is called afterwards.
    void stop();

private:
    void listPage(std::uint64_t generation, const std::string &after);
    //! @brief Runs what a reply of the store leads to; after an exception all is listed again.
    template <typename Step> void runGuarded(std::uint64_t generation, const Step &step);

    void handlePage(std::uint64_t generation, const std::string &after, const MetadataPage &page);
    void completeListing(std::uint64_t generation);
    MetadataItem withoutLongValue(const MetadataItem &item) const;
    void catchUp(std::uint64_t generation);
    //! @brief Schedules what follows a failed watch.
    //! @param relist whether a call without a usable reply is followed by a listing.
    //! @return false if the watch has not failed.
    bool recoverFrom(std::uint64_t generation, MetadataStatus status, bool relist);
    void handleCatchUp(std::uint64_t generation, const MetadataChanges &changes);
    void watch(std::uint64_t generation);
    void handleChanges(std::uint64_t generation, const MetadataChanges &changes);
    void scheduleRetry(std::uint64_t generation, bool relist);
    void scheduleStrongListing(std::uint64_t generation);
    void scheduleWatch(std::uint64_t generation, std::chrono::milliseconds delay);

    MetadataStore &m_store;
    std::string m_prefix;
    PrefixWatcherOptions m_options;
    Handlers m_handlers;
    boost::asio::steady_timer m_timer;
    RandomGenerator m_random;
    std::vector<MetadataItem> m_items;  //!< Pages of the listing in progress.
    std::uint64_t m_oldestRevision = 0; //!< Of the pages, which may have different revisions.
    ReadConsistency m_consistency = ReadConsistency::Strong;
    std::optional<TimePoint> m_changedAfter;
    std::uint64_t m_revision = 0;   //!< All changes up to this revision are known.
    std::uint64_t m_generation = 0; //!< Replies to calls of earlier generations are ignored.
    int m_consecutiveFailures = 0;
};

} // namespace arbutusgrade
