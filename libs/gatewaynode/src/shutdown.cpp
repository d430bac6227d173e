#include <algorithm>

#include "details/nodeimplementation.h"

namespace arbutusgrade {

using boost::system::error_code;

namespace {

// The load balancer checks readiness once per second and removes a node after two failed checks.
// New connections arrive until then and for slightly longer; the rest of the shutdown grace is
// reserved for requests in flight.
constexpr std::chrono::milliseconds requestDrainTime{1'700};
constexpr std::chrono::milliseconds shutdownMargin{250};
constexpr std::chrono::milliseconds drainPollInterval{20};

// Bounds the lines that a shutdown writes; the count of all requests is logged beside them.
constexpr int maximumUnansweredLines = 50;

} // namespace

void GatewayNode::Implementation::beginShutdown(std::function<void()> finished)
{
    if (m_shuttingDown) {
        return;
    }
    m_shuttingDown = true;
    m_shutdownStarted = bootTimeNow();
    m_shutdownFinished = std::move(finished);
    m_log.write(LogLevel::Info, "shutdown-begun",
                "requests are accepted until the load balancer has removed this node",
                {{"graceMilliseconds", m_settings.m_shutdownGrace.count()},
                 {"requestsInFlight", m_pendingExchanges.size()}});
    m_callerServer.announceClose();
    m_shutdownTimer.expires_after(
        std::max(std::chrono::milliseconds(0), m_settings.m_shutdownGrace - requestDrainTime));
    m_shutdownTimer.async_wait([this](error_code error) {
        if (!error) {
            stopAccepting();
        }
    });
}

void GatewayNode::Implementation::stopAccepting()
{
    const HttpConnectionCounts before = m_callerServer.connectionCounts();
    m_callerServer.stopAccepting();
    m_log.write(LogLevel::Info, "accepting-ended", "",
                {{"sinceShutdownMicroseconds", (bootTimeNow() - m_shutdownStarted).count()},
                 {"requestsInFlight", m_callerServer.requestsInFlight()},
                 {"idleConnections", before.m_idle}});
    m_storeSync.stop();
    m_membership->stop();
    waitForRequests();
}

void GatewayNode::Implementation::waitForRequests()
{
    const bool graceOver =
        bootTimeNow() - m_shutdownStarted >= m_settings.m_shutdownGrace - shutdownMargin;
    if (m_callerServer.requestsInFlight() == 0 || graceOver) {
        endShutdown();
        return;
    }
    m_shutdownTimer.expires_after(drainPollInterval);
    m_shutdownTimer.async_wait([this](error_code error) {
        if (!error) {
            waitForRequests();
        }
    });
}

void GatewayNode::Implementation::endShutdown()
{
    logUnansweredRequests();
    const HttpConnectionCounts counts = m_callerServer.connectionCounts();
    m_log.write(LogLevel::Info, "shutdown-ended", "",
                {{"sinceShutdownMicroseconds", (bootTimeNow() - m_shutdownStarted).count()},
                 {"requestsInFlight", m_callerServer.requestsInFlight()},
                 {"unanswered", m_pendingExchanges.size()},
                 {"reading", counts.m_reading},
                 {"writing", counts.m_writing},
                 {"draining", counts.m_draining},
                 {"closedWithUnreadBytes", m_callerServer.statistics().m_closedWithUnreadBytes}});
    m_log.flush();
    m_shutdownFinished();
}

void GatewayNode::Implementation::logUnansweredRequests()
{
    const TimePoint now = bootTimeNow();
    int lines = 0;
    for (const std::pair<const std::uint64_t, PendingExchange> &entry : m_pendingExchanges) {
        if (++lines > maximumUnansweredLines) {
            return;
        }
        const PendingExchange &exchange = entry.second;
        m_log.write(LogLevel::Warning, "request-cut", "the process ends before the answer",
                    {{"request", exchange.m_requestId},
                     {"ageMicroseconds", (now - exchange.m_arrived).count()},
                     {"arrivedSinceShutdownMicroseconds",
                      (exchange.m_arrived - m_shutdownStarted).count()}});
    }
}

} // namespace arbutusgrade
