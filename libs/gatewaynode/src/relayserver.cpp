#include "details/relayserver.h"

#include <algorithm>
#include <map>
#include <utility>

#include "details/errorresponse.h"

namespace arbutusgrade {

namespace {

// More than the connections of 256 followers, some of which have just been replaced.
constexpr std::size_t connectionLimit = 512;
constexpr std::uint32_t headerLimitBytes = 4 * 1024;
constexpr std::uint32_t bodyLimitBytes = 1024;
constexpr std::uint32_t framingLimitBytes = 4 * 1024;

// For peers that do not read their answer or have disappeared.
constexpr Duration writeTimeout = std::chrono::seconds(3);
constexpr std::chrono::milliseconds peerTimeout{3'000};

HttpServerOptions serverOptions()
{
    HttpServerOptions options;
    options.m_headerLimitBytes = headerLimitBytes;
    options.m_bodyLimitBytes = bodyLimitBytes;
    options.m_framingLimitBytes = framingLimitBytes;
    options.m_writeTimeout = writeTimeout;
    options.m_connectionLimit = connectionLimit;
    options.m_peerTimeout = peerTimeout;
    return options;
}

} // namespace

RelayServer::RelayServer(boost::asio::io_context &context, std::string_view prefix,
                         std::chrono::milliseconds maximumAge)
    : m_encodedPrefix(percentEncode(prefix)), m_maximumAge(maximumAge),
      m_server(context, serverOptions()), m_timer(context)
{
    m_server.addRoute("GET", relayWatchPath,
                      [this](const HttpRequest &request, const HttpResponder &responder) {
                          handleWatch(request, responder);
                      });
    m_server.setDisconnectHandler([this](std::uint64_t exchange) {
        std::erase_if(m_pending, [exchange](const Pending &pending) {
            return pending.m_exchange == exchange;
        });
    });
}

boost::system::error_code RelayServer::listen(std::string_view address, std::uint16_t port)
{
    return m_server.listen(address, port);
}

std::uint16_t RelayServer::port() const
{
    return m_server.port();
}

void RelayServer::stop()
{
    setActive(false);
    m_server.stopAccepting();
}

void RelayServer::setRegisteredAddresses(std::set<std::string> addresses)
{
    m_registeredAddresses = std::move(addresses);
}

void RelayServer::setActive(bool active)
{
    if (active == m_active) {
        return;
    }
    m_active = active;
    clear();
}

void RelayServer::clear()
{
    m_history.clear();
    completeCalls(bootTimeNow());
}

void RelayServer::append(TimePoint now, TimePoint dataTime, std::uint64_t afterRevision,
                         const MetadataChanges &changes)
{
    if (!m_active) {
        return;
    }
    m_history.append(now, dataTime, afterRevision, changes);
    completeCalls(now);
}

void RelayServer::handleWatch(const HttpRequest &request, const HttpResponder &responder)
{
    if (!m_registeredAddresses.contains(request.m_peerAddress)) {
        refuse(responder, 403, "the caller is not registered");
        return;
    }
    const std::optional<RelayRequest> watch = decodeRelayRequest(request.m_query);
    if (!watch || watch->m_prefix != m_encodedPrefix) {
        refuse(responder, 400, "no watch of the keys that are relayed");
        return;
    }
    if (!m_active || m_pending.size() >= maximumPending) {
        refuse(responder, 503, m_active ? "too many calls" : "this node is no relay");
        return;
    }
    const TimePoint now = bootTimeNow();
    m_pending.push_back(
        Pending{request.m_exchange, watch->m_afterRevision, now + watch->m_wait, responder});
    completeCalls(now);
}

void RelayServer::refuse(const HttpResponder &responder, int status, std::string_view message)
{
    ++m_statistics.m_refused;
    responder(errorResponse(status, message));
}

HttpResponse RelayServer::responseTo(TimePoint now, std::uint64_t afterRevision) const
{
    const std::optional<RelayAnswer> answer = m_history.changesAfter(now, afterRevision);
    if (!answer) {
        return errorResponse(historyGoneStatus, "the changes are not known");
    }
    HttpResponse response;
    response.m_body = encodeRelayAnswer(*answer);
    return response;
}

void RelayServer::answer(TimePoint now, std::span<const Pending> calls)
{
    // Most followers ask from the same revision, so a response is seldom built more than once.
    std::map<std::uint64_t, HttpResponse> responses;
    for (const Pending &call : calls) {
        std::map<std::uint64_t, HttpResponse>::iterator response =
            responses.find(call.m_afterRevision);
        if (response == responses.end()) {
            response =
                responses.emplace(call.m_afterRevision, responseTo(now, call.m_afterRevision))
                    .first;
        }
        const bool isAnswered = response->second.m_status == 200;
        ++(isAnswered ? m_statistics.m_answered : m_statistics.m_refused);
        call.m_responder(response->second);
    }
}

TimePoint RelayServer::oldDataTime() const
{
    const std::optional<TimePoint> dataTime = m_history.dataTime();
    return dataTime ? *dataTime + m_maximumAge + std::chrono::milliseconds(1) : TimePoint();
}

void RelayServer::completeCalls(TimePoint now)
{
    const bool isOld = now >= oldDataTime();
    std::vector<Pending> due;
    std::erase_if(m_pending, [&](const Pending &pending) {
        const bool isDue =
            isOld || now >= pending.m_until || m_history.hasAnswer(pending.m_afterRevision);
        if (isDue) {
            due.push_back(pending);
        }
        return isDue;
    });
    answer(now, due);
    armTimer();
}

void RelayServer::armTimer()
{
    if (m_pending.empty()) {
        m_timer.cancel();
        return;
    }
    TimePoint next = oldDataTime();
    for (const Pending &pending : m_pending) {
        next = std::min(next, pending.m_until);
    }
    m_timer.expires_after(std::max(Duration::zero(), next - bootTimeNow()));
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            completeCalls(bootTimeNow());
        }
    });
}

} // namespace arbutusgrade
