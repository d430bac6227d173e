#pragma once

#include <set>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "details/relayhistory.h"
#include "details/relaymessages.h"

namespace arbutusgrade {

//! @brief Counters since the start of the process.
struct RelayServerStatistics
{
    std::uint64_t m_answered = 0; //!< Watches, with changes or without.
    std::uint64_t m_refused = 0;  //!< Callers that are not registered, calls beyond the limit, and
                                  //!< watches of changes that are not known.
};

//! @brief Answers the watches of other nodes from the history that this node keeps as a relay.
class RelayServer
{
public:
    //! Calls that wait for changes; more are refused.
    static constexpr std::size_t maximumPending = 256;

    //! @param prefix of the watches that the history covers.
    RelayServer(boost::asio::io_context &context, std::string_view prefix,
                std::chrono::milliseconds maximumAge);

    boost::system::error_code listen(std::string_view address, std::uint16_t port);
    std::uint16_t port() const;

    //! @brief Answers the waiting calls and accepts no more.
    void stop();

    //! @brief Replaces the addresses whose calls are accepted.
    void setRegisteredAddresses(std::set<std::string> addresses);

    //! @brief Starts or stops keeping changes. While the node is no relay, calls are refused.
    void setActive(bool active);
    bool isActive() const
    {
        return m_active;
    }

    //! @brief Takes in a reply of the store.
    void append(TimePoint now, TimePoint dataTime, std::uint64_t afterRevision,
                const MetadataChanges &changes);

    //! @brief Drops the history, for example as the store is in another era.
    void clear();

    const RelayServerStatistics &statistics() const
    {
        return m_statistics;
    }

    std::size_t pendingCalls() const
    {
        return m_pending.size();
    }

private:
    struct Pending
    {
        std::uint64_t m_exchange = 0;
        std::uint64_t m_afterRevision = 0;
        TimePoint m_until;
        HttpResponder m_responder;
    };

    void handleWatch(const HttpRequest &request, const HttpResponder &responder);
    void refuse(const HttpResponder &responder, int status, std::string_view message);
    HttpResponse responseTo(TimePoint now, std::uint64_t afterRevision) const;
    void answer(TimePoint now, std::span<const Pending> calls);
    void completeCalls(TimePoint now);
    void armTimer();
    //! @brief When the data will be older than followers accept.
    TimePoint oldDataTime() const;

    std::string m_encodedPrefix;
    std::chrono::milliseconds m_maximumAge;
    HttpServer m_server;
    boost::asio::steady_timer m_timer;
    RelayHistory m_history;
    std::set<std::string> m_registeredAddresses;
    std::vector<Pending> m_pending;
    RelayServerStatistics m_statistics;
    bool m_active = false;
};

} // namespace arbutusgrade
