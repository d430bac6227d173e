#pragma once

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "details/relaychoice.h"
#include "details/relayserver.h"
#include "telemetry/telemetry.h"

namespace arbutusgrade {

//! @brief What a RelayedStore has to know of its node and the watched keys.
struct RelayedStoreOptions
{
    std::string m_node;
    std::string m_dataCentre;
    std::string m_prefix; //!< Watches of this prefix are relayed.
    std::chrono::milliseconds m_changeBound{5'000};
    CoordinationSettings m_coordination;
};

//! @brief Counters since the start of the process.
struct RelayedStoreStatistics
{
    std::uint64_t m_relayAnswers = 0;    //!< Watches answered by a relay.
    std::uint64_t m_storeWatches = 0;    //!< Watches that went to the store.
    std::uint64_t m_rejectedAnswers = 0; //!< Answers of relays that were not used.
};

//! @brief Store whose watches are answered by a relay while that is useful.
//!
//! All other calls go to the store itself. So does a watch while the node has no relay or is one,
//! the first one after a listing, and a watch whose answer by a relay cannot be used; that relay is
//! skipped for a while. Answers continue from the revision that the watch names, so changing
//! between relay and store leaves out no change and repeats none.
class RelayedStore : public MetadataStore, public std::enable_shared_from_this<RelayedStore>
{
public:
    RelayedStore(boost::asio::io_context &context, MetadataStore &store,
                 const RelayedStoreOptions &options, Log &log);

    //! @brief Starts to listen for other nodes, if this node has a link.
    void start();

    //! @brief Ends the role of a relay; later watches go to the store.
    void stop();

    //! @brief Takes the registered nodes, from which the relays are chosen.
    void setRegisteredNodes(TimePoint now, std::span<const RegisteredNode> nodes);

    //! @brief Drops what was relayed: the store was restored from a copy.
    void storeEraChanged();

    //! @brief True if this node answers watches of others.
    bool isRelay() const;

    const RelayedStoreStatistics &statistics() const;

    //! @brief Answers the watches of other nodes.
    const RelayServer &server() const;

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
    struct Watch
    {
        std::uint64_t m_afterRevision = 0;
        std::chrono::milliseconds m_wait{0};
        std::chrono::milliseconds m_relayWait{0}; //!< Of the call to a relay.
        std::function<void(const MetadataChanges &)> m_handler;
        std::uint64_t m_generation = 0;
        TimePoint m_sentAt;
    };

    //! @brief Connections to one relay.
    struct Link
    {
        NodeLinkSettings m_address;
        HopStatistics m_hop;
        std::shared_ptr<HttpClient> m_client;
    };

    void watchStore(Watch watch);
    void handleStoreReply(const Watch &watch, const MetadataChanges &changes);
    void watchRelay(const RegisteredNode &relay, Watch watch);
    void handleRelayReply(const std::string &relay, const Watch &watch, const ReplyContent *reply);
    void handleRelayError(const std::string &relay, const Watch &watch, RelayError error);
    std::shared_ptr<Link> linkTo(const RegisteredNode &relay);
    void setRelayRole(bool isRelay);
    void logRelay(const std::string &relay, std::string_view reason);

    boost::asio::io_context &m_context;
    MetadataStore &m_store;
    RelayedStoreOptions m_options;
    Log &m_log;
    std::chrono::milliseconds m_maximumAge;
    std::shared_ptr<ReplyBudget> m_replyBudget; //!< Of the links to all relays.
    RelayServer m_server;
    std::vector<RegisteredNode> m_nodes; //!< As registered.
    RelayRoute m_route;                  //!< Empty while this node is a relay or has none.
    std::unordered_map<std::string, std::shared_ptr<Link>> m_links; //!< By name of the relay.
    RelayedStoreStatistics m_statistics;
    StoreEra m_era;                 //!< Of the latest reply of the store.
    TimePoint m_dataTime;           //!< When the data of this node was last current.
    std::uint64_t m_generation = 0; //!< Relays' answers to earlier calls are not used.
    bool m_storeIsNext = true;      //!< The next watch follows a listing.
    bool m_isListening = false;
    std::string m_loggedRelay; //!< Empty for the store.
};

} // namespace arbutusgrade
