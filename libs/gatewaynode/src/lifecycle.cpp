#include "details/nodeimplementation.h"

namespace arbutusgrade {

using boost::system::error_code;

namespace {

// The load balancer checks readiness once per second and removes a node after two failed checks.
// New connections arrive until then and for slightly longer; the rest of the shutdown grace is
// reserved for requests in flight.
constexpr std::chrono::milliseconds requestDrainTime{1'700};

// The process ends by itself before the platform kills it.
constexpr std::chrono::milliseconds shutdownMargin{250};

constexpr std::chrono::milliseconds drainPollInterval{20};

// Bounds the lines that a shutdown writes; the count of all requests is logged beside them.
constexpr int maximumUnansweredLines = 50;

} // namespace

void GatewayNode::Implementation::beginShutdown(std::function<void()> finished)
{
    if (m_shutdown) {
        return;
    }
    const TimePoint now = bootTimeNow();
    m_shutdown = scheduleShutdown(now, m_settings.m_shutdownGrace - requestDrainTime,
                                  m_settings.m_shutdownGrace - shutdownMargin);
    m_shutdownFinished = std::move(finished);
    m_log.write(LogLevel::Info, "shutdown-begun",
                "requests are accepted until the load balancer has removed this node",
                {{"graceMilliseconds", m_settings.m_shutdownGrace.count()},
                 {"requestsInFlight", m_pendingExchanges.size()}});
    m_callerServer.announceClose();
    m_engine.beginShutdown(now, *m_shutdown);
    armEngineTimer();
    m_shutdownTimer.expires_after(m_shutdown->m_acceptUntil - now);
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
                {{"sinceShutdownMicroseconds", (bootTimeNow() - m_shutdown->m_begunAt).count()},
                 {"requestsInFlight", m_callerServer.requestsInFlight()},
                 {"idleConnections", before.m_idle}});
    m_storeSync.stop();
    m_relayedStore->stop();
    m_membership->stop();
    waitForConnections();
}

void GatewayNode::Implementation::waitForConnections()
{
    // The first look is not at once, as a connection that was just accepted has no session yet.
    m_shutdownTimer.expires_after(drainPollInterval);
    m_shutdownTimer.async_wait([this](error_code error) {
        if (error) {
            return;
        }
        // After a stall of the process the last answers may still be due.
        m_quotaService.advance(bootTimeNow());
        m_engine.advance(bootTimeNow());
        // A connection that is not closed yet may hold an answer that its caller has not read.
        const bool allClosed = m_callerServer.statistics().m_connections == 0;
        if (allClosed || bootTimeNow() >= m_shutdown->m_exitBy) {
            endShutdown();
        } else {
            waitForConnections();
        }
    });
}

void GatewayNode::Implementation::endShutdown()
{
    logUnansweredRequests();
    const HttpConnectionCounts counts = m_callerServer.connectionCounts();
    m_log.write(LogLevel::Info, "shutdown-ended", "",
                {{"sinceShutdownMicroseconds", (bootTimeNow() - m_shutdown->m_begunAt).count()},
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
                      (exchange.m_arrived - m_shutdown->m_begunAt).count()}});
    }
}

} // namespace arbutusgrade
