#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "base/base.h"
#include "keystore.h"
#include "standins/httpserver.h"

namespace arbutusgrade::standins {

//! @brief Faults and limits, set by PUT /v1/faults; members that the body omits stay as they are.
struct PlatformFaults
{
    bool m_down = false;               //!< Closes each connection without an answer.
    bool m_hang = false;               //!< Accepts calls and never answers.
    std::int64_t m_delayMs = 0;        //!< Before the effect of a call.
    std::int64_t m_replyDelayMs = 0;   //!< Between the effect and the reply.
    double m_loseReplies = 0;          //!< Share of calls that take effect and get no reply.
    std::int64_t m_callsPerSecond = 0; //!< Beyond it 429; 0: no limit.
    std::int64_t m_vmLagMs = 0;        //!< Age of the VM list that is shown.
    bool m_hideEra = false;            //!< Sends no Store-Era, as an earlier release of the store.
};

//! @brief The platform's key-value service and VM list over HTTP.
class Platform
{
public:
    Platform(boost::asio::io_context &context, std::uint64_t seed);

    std::uint16_t listen(std::uint16_t port);
    PlatformFaults &faults();

private:
    struct Watch
    {
        std::string m_key;
        std::int64_t m_after = 0;
        StoreTime m_end;
        Responder m_responder;
    };

    //! @brief A waiting watch of the published calls.
    struct PrefixWatch
    {
        std::string m_prefix;
        std::int64_t m_after = 0;
        StoreTime m_end;
        Responder m_responder;
    };

    // Published calls of the users' platform (publishedcalls.cpp)
    bool handlePublishedCall(const HttpRequest &request, const Responder &responder);
    void readKey(const HttpRequest &request, const Responder &responder);
    void readRange(const HttpRequest &request, const Responder &responder);
    void commit(const HttpRequest &request, const Responder &responder);
    //! @brief Current state of the keys that a call of commit() expects.
    boost::json::array currentItems(const boost::json::object &body);
    void startLease(const HttpRequest &request, const Responder &responder);
    void completePrefixWatches();

    void handle(const HttpRequest &request, const Responder &responder);
    void handleControl(const HttpRequest &request, const Responder &responder);
    void perform(const HttpRequest &request, const Responder &responder);
    void reply(const Responder &responder, unsigned status, const boost::json::value &body);
    bool admitCall();
    void get(const std::string &key, const Responder &responder);
    void put(const HttpRequest &request, const std::string &key, const Responder &responder);
    void watch(const HttpRequest &request, const std::string &key, const Responder &responder);
    void checkWatches();
    void checkWatchesLater();
    void showVms(const Responder &responder);
    boost::json::object statistics() const;
    std::string applyCopyFaults(boost::json::object &patch);
    std::string applyFaults(boost::json::object patch);
    void after(std::int64_t milliseconds, std::function<void()> action);

    boost::asio::io_context &m_context;
    HttpServer m_server;
    boost::asio::steady_timer m_watchTimer;
    RandomGenerator m_random;
    PlatformFaults m_faults;
    KeyStore m_store;
    std::optional<KeyStore> m_copy; //!< For a restore.
    std::int64_t m_era = 1;         //!< Increases with each restore.
    std::vector<Watch> m_watches;
    std::vector<PrefixWatch> m_prefixWatches;
    std::vector<std::pair<StoreTime, boost::json::array>> m_vms; //!< Oldest first.
    std::map<std::string, std::uint64_t> m_counts;
    std::deque<StoreTime> m_recentCalls;
    std::uint64_t m_peakCallsPerSecond = 0;
};

} // namespace arbutusgrade::standins
