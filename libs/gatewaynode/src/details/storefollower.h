#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "base/base.h"
#include "gatewaynode/gatewaynode.h"

namespace arbutusgrade {

struct StoreFollowerOptions
{
    std::chrono::milliseconds m_wait{3'000}; //!< Of one watch.
    //! Pause after changes, in which further ones gather; each call is paid for, and changes often
    //! come in series.
    std::chrono::milliseconds m_gather{0};
};

//! @brief Keeps in step with all keys of a prefix: reads all pages, then watches for changes.
//!
//! The first reading may be stale, as it costs a fraction; the changes since then follow before it
//! counts as complete. Where the store does not have them any more, the pages are read exactly.
//! After a lost answer it goes on from the last revision; when the store no longer has the history,
//! it reads all pages again.
class StoreFollower : public std::enable_shared_from_this<StoreFollower>
{
public:
    struct Handlers
    {
        std::function<void(const std::vector<MetadataItem> &)> m_snapshot; //!< Complete reading.
        std::function<void(const std::vector<MetadataEvent> &)> m_changes;
        std::function<void(bool available)> m_availability; //!< After each answer or failure.
    };

    StoreFollower(boost::asio::io_context &context, MetadataStore &store, std::string prefix,
                  const StoreFollowerOptions &options, Handlers handlers);

    void start();

    //! @brief Reads all pages again, for example after a suspension of the VM.
    void restart(Freshness freshness);

    //! @brief No handler is called from now on.
    void stop();

private:
    void readPage(std::uint64_t round, const std::string &after);
    void takePage(std::uint64_t round, const MetadataPage &page);
    void completeReading(std::uint64_t round);
    void catchUp(std::uint64_t round);
    void watch(std::uint64_t round);
    void takeChanges(std::uint64_t round, const MetadataChanges &changes);
    void retryLater(std::uint64_t round, bool readAll);
    void watchAfter(std::uint64_t round, std::chrono::milliseconds delay);

    MetadataStore &m_store;
    std::string m_prefix;
    StoreFollowerOptions m_options;
    Handlers m_handlers;
    boost::asio::steady_timer m_timer;
    RandomGenerator m_random;
    std::vector<MetadataItem> m_items;  //!< Pages of the reading in progress.
    std::uint64_t m_oldestRevision = 0; //!< Of the pages, which differ in age.
    Freshness m_freshness = Freshness::Exact;
    std::uint64_t m_revision = 0; //!< Changes up to here are known.
    std::uint64_t m_round = 0;    //!< Answers to earlier rounds are ignored.
    int m_failures = 0;           //!< In a row.
};

} // namespace arbutusgrade
