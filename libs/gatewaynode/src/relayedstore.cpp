#include "details/relayedstore.h"

#include <algorithm>
#include <utility>

namespace arbutusgrade {

namespace {

// One call is in flight; another may follow while a replaced one has not ended yet.
constexpr int connectionsPerRelay = 2;

// Shorter watches fetch changes that the store is known to have; a relay may not have them yet.
constexpr std::chrono::milliseconds minimumRelayedWait{100};

// Largest answer of a relay, with the framing of its events.
constexpr std::uint64_t relayReplyLimitBytes = 2 * RelayHistory::answerLimitBytes;

// For the answers of all relays.
constexpr std::size_t relayBudgetBytes = 4 * relayReplyLimitBytes;

// Ends connections to a relay that has disappeared.
constexpr std::chrono::milliseconds relayPeerTimeout{1'000};

//! @brief The answer in the reply of a relay, or why there is none.
struct ReadAnswer
{
    std::optional<RelayAnswer> m_answer;
    RelayError m_error = RelayError::Unreadable;
};

ReadAnswer readAnswer(const ReplyContent *reply)
{
    if (reply == nullptr) {
        return ReadAnswer{std::nullopt, RelayError::NoReply};
    }
    switch (reply->m_status) {
    case 200:
        return ReadAnswer{decodeRelayAnswer(reply->m_body), RelayError::Unreadable};
    case historyGoneStatus:
        return ReadAnswer{std::nullopt, RelayError::HistoryGone};
    case 0:
        return ReadAnswer{std::nullopt, RelayError::Unreadable};
    default:
        return ReadAnswer{std::nullopt, RelayError::Refused};
    }
}

std::set<std::string> addressesOf(std::span<const RegisteredNode> nodes)
{
    std::set<std::string> addresses;
    for (const RegisteredNode &node : nodes) {
        boost::system::error_code error;
        const asio::ip::address address = asio::ip::make_address(node.m_link.m_address, error);
        if (!error) {
            addresses.insert(address.to_string());
        }
    }
    return addresses;
}

} // namespace

RelayedStore::RelayedStore(boost::asio::io_context &context, MetadataStore &store,
                           const RelayedStoreOptions &options, Log &log)
    : m_context(context), m_store(store), m_options(options), m_log(log),
      m_maximumAge(maximumRelayAge(options.m_changeBound)),
      m_replyBudget(makeReplyBudget(relayBudgetBytes)),
      m_server(context, options.m_prefix, m_maximumAge)
{
}

void RelayedStore::start()
{
    if (!m_options.m_coordination.m_link) {
        return;
    }
    const NodeLinkSettings &link = *m_options.m_coordination.m_link;
    const boost::system::error_code error = m_server.listen(link.m_address, link.m_port);
    m_isListening = !error;
    if (error) {
        m_log.write(LogLevel::Warning, "relay-unavailable",
                    "cannot listen at " + link.m_address + ":" + std::to_string(link.m_port) + ": "
                        + error.message() + "; other nodes cannot follow this one");
    }
}

void RelayedStore::stop()
{
    m_isListening = false;
    m_options.m_coordination.m_link.reset();
    m_route.m_relays.clear();
    m_server.stop();
}

void RelayedStore::setRegisteredNodes(TimePoint now, std::span<const RegisteredNode> nodes)
{
    const bool isUnchanged = std::equal(nodes.begin(), nodes.end(), m_nodes.begin(), m_nodes.end());
    if (!m_options.m_coordination.m_link || isUnchanged) {
        return;
    }
    m_nodes.assign(nodes.begin(), nodes.end());
    std::vector<RegisteredNode> relays = selectRelays(nodes, m_options.m_dataCentre);
    const bool isRelay =
        std::any_of(relays.begin(), relays.end(), [this](const RegisteredNode &relay) {
            return relay.m_name == m_options.m_node;
        });
    m_server.setRegisteredAddresses(addressesOf(nodes));
    setRelayRole(isRelay && m_isListening);
    if (isRelay) {
        relays.clear();
    }
    if (!setRelays(m_route, m_options.m_node, std::move(relays))) {
        return;
    }
    std::erase_if(m_links, [this](const std::pair<const std::string, std::shared_ptr<Link>> &link) {
        return std::none_of(
            m_route.m_relays.begin(), m_route.m_relays.end(),
            [&link](const RegisteredNode &relay) { return relay.m_name == link.first; });
    });
    const RegisteredNode *relay = chooseRelay(m_route, now);
    logRelay(relay != nullptr ? relay->m_name : std::string(), "registrations");
}

void RelayedStore::setRelayRole(bool isRelay)
{
    if (isRelay == m_server.isActive()) {
        return;
    }
    m_server.setActive(isRelay);
    m_log.write(LogLevel::Info, isRelay ? "relay-role-begun" : "relay-role-ended",
                isRelay ? "this node answers watches of other nodes of its data centre" : "");
}

void RelayedStore::storeEraChanged()
{
    ++m_generation;
    m_storeIsNext = true;
    m_server.clear();
}

bool RelayedStore::isRelay() const
{
    return m_server.isActive();
}

const RelayedStoreStatistics &RelayedStore::statistics() const
{
    return m_statistics;
}

const RelayServer &RelayedStore::server() const
{
    return m_server;
}

void RelayedStore::list(std::string_view prefix, std::string_view after,
                        ReadConsistency consistency,
                        std::function<void(const MetadataPage &)> handler)
{
    ++m_generation;
    m_storeIsNext = true;
    m_store.list(prefix, after, consistency,
                 [dataTime = m_dataTime, handler = std::move(handler)](const MetadataPage &page) {
                     MetadataPage dated = page;
                     dated.m_changedAfter = dataTime;
                     handler(dated);
                 });
}

void RelayedStore::watch(std::string_view prefix, std::uint64_t afterRevision,
                         std::chrono::milliseconds wait,
                         std::function<void(const MetadataChanges &)> handler)
{
    if (prefix != m_options.m_prefix) {
        m_store.watch(prefix, afterRevision, wait, std::move(handler));
        return;
    }
    const TimePoint now = bootTimeNow();
    Watch watch;
    watch.m_afterRevision = afterRevision;
    watch.m_wait = wait;
    watch.m_handler = std::move(handler);
    watch.m_generation = ++m_generation;
    watch.m_sentAt = now;
    const RegisteredNode *relay = chooseRelay(m_route, now);
    if (m_storeIsNext || relay == nullptr || wait < minimumRelayedWait) {
        watchStore(std::move(watch));
    } else {
        watchRelay(*relay, std::move(watch));
    }
}

void RelayedStore::watchStore(Watch watch)
{
    ++m_statistics.m_storeWatches;
    watch.m_sentAt = bootTimeNow();
    const std::uint64_t afterRevision = watch.m_afterRevision;
    const std::chrono::milliseconds wait = watch.m_wait;
    m_store.watch(
        m_options.m_prefix, afterRevision, wait,
        [weak = weak_from_this(), watch = std::move(watch)](const MetadataChanges &changes) {
            if (const std::shared_ptr<RelayedStore> self = weak.lock()) {
                self->handleStoreReply(watch, changes);
            }
        });
}

void RelayedStore::handleStoreReply(const Watch &watch, const MetadataChanges &changes)
{
    if (changes.m_status != MetadataStatus::Ok) {
        watch.m_handler(changes);
        return;
    }
    const TimePoint now = bootTimeNow();
    MetadataChanges dated = changes;
    dated.m_changedAfter = changeTimeOfReply(m_dataTime, watch.m_sentAt, now);
    if (watch.m_generation == m_generation) {
        const TimePoint dataTime = dataTimeOfReply(watch.m_sentAt, watch.m_wait, now);
        m_server.append(now, dataTime, watch.m_afterRevision, changes);
        m_storeIsNext = false;
        m_dataTime = std::max(m_dataTime, dataTime);
        m_era = changes.m_era;
    }
    watch.m_handler(dated);
}

std::shared_ptr<RelayedStore::Link> RelayedStore::linkTo(const RegisteredNode &relay)
{
    std::shared_ptr<Link> &link = m_links[relay.m_name];
    const NodeLinkSettings &address = relay.m_link;
    if (!link || !isSameEndpoint(link->m_address, address)) {
        link = std::make_shared<Link>();
        link->m_address = address;
        link->m_client = std::make_shared<HttpClient>(m_context, link->m_hop, connectionsPerRelay);
        link->m_client->setEndpoint(address.m_address, address.m_port);
        link->m_client->setPeerTimeout(relayPeerTimeout);
        link->m_client->setReplyLimits(relayReplyLimitBytes, m_replyBudget);
    }
    return link;
}

void RelayedStore::watchRelay(const RegisteredNode &relay, Watch watch)
{
    const RelayCallTimes times = relayCallTimes(watch.m_sentAt - m_dataTime, m_maximumAge);
    logRelay(relay.m_name, "used");
    const std::shared_ptr<Link> link = linkTo(relay);
    HttpClient::Call call;
    call.m_method = "GET";
    call.m_path =
        encodeRelayRequest(RelayRequest{m_options.m_prefix, watch.m_afterRevision, times.m_wait});
    call.m_deadline = steadyNow() + times.m_timeout;
    call.m_reportUnreadable = true;
    watch.m_relayWait = times.m_wait;
    // The handler keeps the link, whose client otherwise ends without calling it.
    link->m_client->call(std::move(call), [weak = weak_from_this(), link, name = relay.m_name,
                                           watch = std::move(watch)](const ReplyContent *reply) {
        if (const std::shared_ptr<RelayedStore> self = weak.lock()) {
            self->handleRelayReply(name, watch, reply);
        }
    });
}

void RelayedStore::handleRelayReply(const std::string &relay, const Watch &watch,
                                    const ReplyContent *reply)
{
    if (watch.m_generation != m_generation) {
        watch.m_handler(MetadataChanges{});
        return;
    }
    const ReadAnswer read = readAnswer(reply);
    if (!read.m_answer) {
        handleRelayError(relay, watch, read.m_error);
        return;
    }
    const RelayAnswer &answer = *read.m_answer;
    const std::optional<RelayError> error =
        validateAnswer(answer, m_era, watch.m_afterRevision, m_maximumAge);
    if (error) {
        handleRelayError(relay, watch, *error);
        return;
    }
    ++m_statistics.m_relayAnswers;
    // An answer with changes may have been built as soon as the watch arrived.
    const std::chrono::milliseconds waited =
        answer.m_events.empty() ? watch.m_relayWait : std::chrono::milliseconds(0);
    const TimePoint receivedData =
        dataTimeOfReply(watch.m_sentAt, waited, bootTimeNow()) - answer.m_age;
    MetadataChanges changes;
    changes.m_status = MetadataStatus::Ok;
    changes.m_changedAfter = m_dataTime;
    m_dataTime = std::max(m_dataTime, receivedData);
    changes.m_events = answer.m_events;
    changes.m_storeRevision = std::max(watch.m_afterRevision, answer.m_upTo);
    changes.m_era = answer.m_era;
    changes.m_isRelayed = true;
    watch.m_handler(changes);
}

void RelayedStore::handleRelayError(const std::string &relay, const Watch &watch, RelayError error)
{
    ++m_statistics.m_rejectedAnswers;
    skipRelay(m_route, bootTimeNow(), relay);
    logRelay({}, relayErrorName(error));
    watchStore(watch);
}

void RelayedStore::logRelay(const std::string &relay, std::string_view reason)
{
    if (relay == m_loggedRelay) {
        return;
    }
    m_log.write(LogLevel::Info, "relay-changed",
                relay.empty() ? "the store itself is watched" : "a relay is asked for changes",
                {{"from", m_loggedRelay}, {"to", relay}, {"reason", reason}});
    m_loggedRelay = relay;
}

void RelayedStore::write(std::string_view key, std::string_view value, std::string_view lease,
                         std::uint64_t expectedRevision,
                         std::function<void(const MetadataResult &)> handler)
{
    m_store.write(key, value, lease, expectedRevision, std::move(handler));
}

void RelayedStore::createLease(std::chrono::milliseconds timeToLive,
                               std::function<void(const MetadataLease &)> handler)
{
    m_store.createLease(timeToLive, std::move(handler));
}

void RelayedStore::renewLease(std::string_view lease,
                              std::function<void(const MetadataResult &)> handler)
{
    m_store.renewLease(lease, std::move(handler));
}

} // namespace arbutusgrade
