#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "forwarding/forwarding.h"
#include "settings/settings.h"
#include "telemetry/telemetry.h"

//! @brief A node that passes requests through: joins the gateway core to sockets and the store.
//!
//! All functions are called from the thread that runs the io_context.
namespace arbutusgrade {

// Store ------------------------------------------------------------------------------------------

enum class MetadataStatus {
    Ok,
    NotFound,    //!< No such key or lease.
    Conflict,    //!< A condition of a commit does not hold; nothing was done.
    HistoryGone, //!< The changes since the revision are no longer known; read all again.
    Refused,     //!< The store answered that it does nothing now.
    NoAnswer,    //!< Nothing was answered in time; a commit may have been done.
};

struct MetadataItem
{
    std::string m_key;
    std::string m_value;
    std::uint64_t m_revision = 0;
};

struct MetadataEvent
{
    MetadataItem m_item; //!< Without a value if it was removed.
    bool m_removed = false;
};

//! @brief One page of items in order of keys.
struct MetadataPage
{
    MetadataStatus m_status = MetadataStatus::NoAnswer;
    std::vector<MetadataItem> m_items;
    bool m_more = false;
    std::uint64_t m_storeRevision = 0;
};

struct MetadataChanges
{
    MetadataStatus m_status = MetadataStatus::NoAnswer;
    std::vector<MetadataEvent> m_events;
    std::uint64_t m_storeRevision = 0;
};

struct MetadataLease
{
    MetadataStatus m_status = MetadataStatus::NoAnswer;
    std::string m_lease;
    std::chrono::milliseconds m_timeToLive{0};
};

//! @brief How a node waits for the store.
struct MetadataStoreOptions
{
    std::chrono::milliseconds m_callTimeout{1'500};
    std::chrono::milliseconds m_watchAnswerTime{800}; //!< For the answer after a watch's wait.
    std::chrono::milliseconds m_peerTimeout{2'000};   //!< For a peer that acknowledges nothing.
    int m_callConnections = 4;
    int m_watchConnections = 4;
};

//! @brief How current a reading must be.
enum class Freshness {
    Exact,
    Stale, //!< May be seconds old; costs a fraction.
};

//! @brief Calls of the store that holds what must last. Handlers run from the io_context.
class MetadataStore
{
public:
    MetadataStore() = default;
    virtual ~MetadataStore() = default;
    MetadataStore(const MetadataStore &) = delete;
    MetadataStore &operator=(const MetadataStore &) = delete;

    //! @brief Reads a page of the items with the prefix whose keys come after the given key.
    virtual void list(std::string_view prefix, std::string_view after, Freshness freshness,
                      std::function<void(const MetadataPage &)> handler) = 0;

    //! @brief Waits for changes after the revision; answers without events when the wait is over.
    virtual void watch(std::string_view prefix, std::uint64_t afterRevision,
                       std::chrono::milliseconds wait,
                       std::function<void(const MetadataChanges &)> handler) = 0;

    //! @brief Writes a key without a condition, attached to a lease.
    virtual void write(std::string_view key, std::string_view value, std::string_view lease,
                       std::function<void(MetadataStatus)> handler) = 0;

    virtual void createLease(std::chrono::milliseconds timeToLive,
                             std::function<void(const MetadataLease &)> handler) = 0;
    virtual void keepLease(std::string_view lease, std::function<void(MetadataStatus)> handler) = 0;
};

// Formats ----------------------------------------------------------------------------------------

//! @brief Names of the headers that carry the facts of a request.
struct ForwardHeaders
{
    std::string m_requestId;
    std::string m_timeLeft;       //!< Milliseconds.
    std::string m_expectedTarget; //!< Id of the target that is meant.
    std::string m_receipt;
    std::string m_notExecuted;
    std::string m_shardReceipts;
    std::string m_missingShards;
};

//! @brief How the surroundings of the node name and encode things.
struct DeploymentFormat
{
    ForwardHeaders m_headers;
    std::string m_readinessPath;
    std::string m_followedPrefix; //!< Of all keys below.
    std::string m_configurationKey;
    std::string m_targetPrefix; //!< Of the registry's keys; the id follows.
    std::string m_ownPrefix;    //!< Of the keys that nodes may write.
    std::function<Checked<RoutingTable>(std::string_view text)> m_decodeRouting;
    std::function<Checked<TargetEntry>(std::string_view id, std::string_view text)> m_decodeTarget;
};

// Node -------------------------------------------------------------------------------------------

//! @brief Time since boot, which goes on while the VM is suspended, unlike the steady clock.
TimePoint bootTimeNow() noexcept;

class GatewayNode
{
public:
    GatewayNode(boost::asio::io_context &context, const GatewaySettings &settings,
                const DeploymentFormat &format, MetadataStore &store, Log &log);
    ~GatewayNode();
    GatewayNode(const GatewayNode &) = delete;
    GatewayNode &operator=(const GatewayNode &) = delete;

    //! @brief Listens and begins to read the store.
    //! @return an empty text, or why the node cannot start.
    std::string start();

    //! @brief True if configuration and registry have been read and the node is not leaving.
    bool isReady() const;

    //! @brief Leaves the balancer, serves on for a while, ends requests in flight, then calls the
    //! handler. Later calls have no effect.
    void beginShutdown(std::function<void()> finished);

    //! @brief Takes settings that have changed while the process runs.
    void settingsChanged(const GatewaySettings &settings);

private:
    struct Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace arbutusgrade
