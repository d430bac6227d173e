#include "details/targetpool.h"

#include <algorithm>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

namespace arbutusgrade {

namespace {

// A connection that was used within this time is taken as open without asking the socket.
constexpr Duration trustedIdleTime{10'000};

} // namespace

TargetPool::TargetPool(std::shared_ptr<TargetClientState> state, const TargetEndpoint &endpoint)
    : m_state(std::move(state)), m_endpoint(endpoint),
      m_host(endpoint.m_address + ":" + std::to_string(endpoint.m_port))
{
    boost::system::error_code error;
    m_address = Tcp::endpoint(asio::ip::make_address(endpoint.m_address, error), endpoint.m_port);
}

void TargetPool::setCap(int cap)
{
    m_endpoint.m_connectionCap = cap;
    while (static_cast<int>(m_connections.size()) > cap && !m_idle.empty()) {
        const PooledPointer pooled = m_idle.front();
        remove(pooled);
    }
    pump();
}

void TargetPool::send(const SendAttempt &attempt)
{
    const TimePoint now = steadyNow();
    if (m_waiting.empty() && now < attempt.m_deadline) {
        if (const PooledPointer pooled = takeIdle()) {
            startAttempt(pooled, attempt, now);
            return;
        }
    }
    m_waiting.push_back(attempt);
    ++m_state->m_statistics.m_waiting;
    pump();
}

void TargetPool::cancel(AttemptId attempt)
{
    const std::deque<SendAttempt>::iterator waiting =
        std::find_if(m_waiting.begin(), m_waiting.end(),
                     [attempt](const SendAttempt &item) { return item.m_attempt == attempt; });
    if (waiting != m_waiting.end()) {
        m_waiting.erase(waiting);
        --m_state->m_statistics.m_waiting;
        return;
    }
    const std::vector<PooledPointer>::iterator busy = std::find_if(
        m_connections.begin(), m_connections.end(), [attempt](const PooledPointer &pooled) {
            return pooled->m_use == Use::Attempt && pooled->m_attempt == attempt;
        });
    if (busy == m_connections.end()) {
        return;
    }
    (*busy)->m_cancelled = true;
    (*busy)->m_deadline = steadyNow() + m_state->m_options.m_cancelLinger;
    const PooledPointer messenger = takeIdle();
    if (!messenger) {
        return;
    }
    ++m_state->m_statistics.m_cancels;
    messenger->m_use = Use::Cancel;
    messenger->m_deadline = steadyNow() + m_state->m_options.m_cancelLinger;
    messenger->m_connection->exchange(
        cancelRequest(m_host, attempt, (*busy)->m_requestId), {},
        [weak = weak_from_this(), messenger](ExchangeEnd, const ReplyContent &) {
            if (const std::shared_ptr<TargetPool> self = weak.lock()) {
                self->release(messenger);
            }
        });
}

bool TargetPool::probe(ProbeHandler handler)
{
    if (m_retired) {
        return false;
    }
    if (const PooledPointer pooled = takeIdle()) {
        pooled->m_probeHandler = std::move(handler);
        startProbe(pooled);
        return true;
    }
    if (static_cast<int>(m_connections.size()) >= m_endpoint.m_connectionCap) {
        return false;
    }
    openConnection();
    m_connections.back()->m_probeHandler = std::move(handler);
    return true;
}

void TargetPool::sweep(TimePoint now)
{
    const std::vector<PooledPointer> connections = m_connections;
    for (const PooledPointer &pooled : connections) {
        if (now < pooled->m_deadline) {
            continue;
        }
        if (pooled->m_use == Use::Connecting) {
            handleConnected(pooled, false);
            continue;
        }
        const ProbeHandler handler = std::move(pooled->m_probeHandler);
        remove(pooled);
        if (handler) {
            TargetObservation observation;
            observation.m_target = m_endpoint.m_name;
            observation.m_reachable = false;
            handler(observation);
        }
    }
    pump();
}

void TargetPool::retire()
{
    m_retired = true;
    setCap(0);
    for (const SendAttempt &attempt : m_waiting) {
        failLater(attempt.m_attempt, AttemptFailure::NotSent);
    }
    m_state->m_statistics.m_waiting -= m_waiting.size();
    m_waiting.clear();
}

void TargetPool::close()
{
    m_waiting.clear();
    const std::vector<PooledPointer> connections = m_connections;
    for (const PooledPointer &pooled : connections) {
        remove(pooled);
    }
}

void TargetPool::pump()
{
    while (!m_waiting.empty()) {
        // The attempt has waited, and the process may have been paused since the core decided.
        const TimePoint now = steadyNow();
        const bool expired = now >= m_waiting.front().m_deadline;
        const PooledPointer pooled = expired ? nullptr : takeIdle();
        if (!expired && !pooled) {
            break;
        }
        const SendAttempt attempt = std::move(m_waiting.front());
        m_waiting.pop_front();
        --m_state->m_statistics.m_waiting;
        if (expired) {
            failLater(attempt.m_attempt, AttemptFailure::NotSent);
        } else {
            startAttempt(pooled, attempt, now);
        }
    }
    while (m_connecting < static_cast<int>(m_waiting.size())
           && static_cast<int>(m_connections.size()) < m_endpoint.m_connectionCap) {
        openConnection();
    }
}

void TargetPool::openConnection()
{
    const PooledPointer pooled = std::make_shared<PooledConnection>();
    pooled->m_connection = std::make_shared<ClientConnection>(
        m_state->m_context, m_state->m_statistics.m_hop, m_state->m_options.m_replyLimitBytes);
    pooled->m_connection->setReplyBudget(m_state->m_budget);
    pooled->m_deadline = steadyNow() + m_state->m_options.m_connectTimeout;
    m_connections.push_back(pooled);
    ++m_connecting;
    ++m_state->m_statistics.m_opened;
    ++m_state->m_statistics.m_connections;
    checkCap();
    const std::weak_ptr<PooledConnection> weakPooled = pooled;
    pooled->m_connection->setIdleCloseHandler([weak = weak_from_this(), weakPooled] {
        const std::shared_ptr<TargetPool> self = weak.lock();
        const PooledPointer closed = weakPooled.lock();
        if (self && closed) {
            self->remove(closed);
        }
    });
    pooled->m_connection->connect(m_address, [weak = weak_from_this(), pooled](bool connected) {
        if (const std::shared_ptr<TargetPool> self = weak.lock()) {
            self->handleConnected(pooled, connected);
        }
    });
}

void TargetPool::handleConnected(const PooledPointer &pooled, bool connected)
{
    if (pooled->m_use != Use::Connecting) {
        return;
    }
    if (connected) {
        --m_connecting;
        pooled->m_use = Use::Idle;
        if (pooled->m_probeHandler && m_waiting.empty()) {
            startProbe(pooled);
            return;
        }
        // The reply of the attempt that takes the connection says more than the probe would.
        pooled->m_probeHandler = nullptr;
        release(pooled);
        return;
    }
    ++m_state->m_statistics.m_connectFailures;
    const ProbeHandler handler = std::move(pooled->m_probeHandler);
    remove(pooled);
    if (!m_waiting.empty()) {
        const AttemptId attempt = m_waiting.front().m_attempt;
        m_waiting.pop_front();
        --m_state->m_statistics.m_waiting;
        failLater(attempt, AttemptFailure::NotSent);
    }
    if (handler) {
        TargetObservation observation;
        observation.m_target = m_endpoint.m_name;
        observation.m_reachable = false;
        handler(observation);
    }
    pump();
}

TargetPool::PooledPointer TargetPool::takeIdle()
{
    const TimePoint now = steadyNow();
    while (!m_idle.empty()) {
        PooledPointer pooled = m_idle.back();
        if (now - pooled->m_idleSince < trustedIdleTime || pooled->m_connection->isOpen()) {
            m_idle.pop_back();
            return pooled;
        }
        remove(pooled);
    }
    return nullptr;
}

void TargetPool::startAttempt(const PooledPointer &pooled, const SendAttempt &attempt,
                              TimePoint now)
{
    pooled->m_use = Use::Attempt;
    pooled->m_cancelled = false;
    pooled->m_deadline = farFuture;
    pooled->m_attempt = attempt.m_attempt;
    pooled->m_requestId = attempt.m_requestId;
    pooled->m_service = attempt.m_service;
    std::string &text = m_state->m_requestText;
    writeExecuteRequest(text, m_host, attempt, now);
    pooled->m_connection->exchange(
        text, {}, [weak = weak_from_this(), pooled](ExchangeEnd end, const ReplyContent &reply) {
            if (const std::shared_ptr<TargetPool> self = weak.lock()) {
                self->handleAttemptEnd(pooled, end, reply);
            }
        });
}

void TargetPool::handleAttemptEnd(const PooledPointer &pooled, ExchangeEnd end,
                                  const ReplyContent &reply)
{
    const AttemptId attempt = pooled->m_attempt;
    std::optional<AttemptReply> parsed;
    if (end == ExchangeEnd::Reply) {
        parsed = parseExecuteReply(reply);
        if (parsed && !echoes(*pooled, *parsed)) {
            ++m_state->m_statistics.m_mismatches;
            parsed.reset();
        }
    }
    if (parsed) {
        release(pooled);
        m_state->m_events.m_reply(m_endpoint.m_name, *parsed);
        return;
    }
    // After a reply that does not match, nothing else on the connection can be trusted.
    remove(pooled);
    pump();
    AttemptFailure failure = AttemptFailure::BadReply;
    if (end == ExchangeEnd::NotSent) {
        failure = AttemptFailure::NotSent;
    } else if (end == ExchangeEnd::Lost || end == ExchangeEnd::Reset) {
        failure = AttemptFailure::ConnectionLost;
    }
    m_state->m_events.m_failure(attempt, failure);
}

void TargetPool::startProbe(const PooledPointer &pooled)
{
    pooled->m_use = Use::Probe;
    pooled->m_deadline = steadyNow() + m_state->m_options.m_probeTimeout;
    pooled->m_connection->exchange(
        getRequest(m_host, "/v1/health"), {},
        [weak = weak_from_this(), pooled](ExchangeEnd end, const ReplyContent &reply) {
            const std::shared_ptr<TargetPool> self = weak.lock();
            if (!self) {
                return;
            }
            std::optional<TargetObservation> observation;
            if (end == ExchangeEnd::Reply) {
                observation = parseHealthReply(reply);
            }
            if (!observation) {
                observation.emplace();
                observation->m_reachable = false;
            }
            observation->m_target = self->m_endpoint.m_name;
            const ProbeHandler handler = std::move(pooled->m_probeHandler);
            pooled->m_probeHandler = nullptr;
            self->release(pooled);
            handler(*observation);
        });
}

void TargetPool::release(const PooledPointer &pooled)
{
    const bool tooMany = static_cast<int>(m_connections.size()) > m_endpoint.m_connectionCap;
    if (!pooled->m_connection->isReusable() || tooMany) {
        remove(pooled);
        pump();
        return;
    }
    pooled->m_use = Use::Idle;
    pooled->m_deadline = farFuture;
    pooled->m_idleSince = steadyNow();
    m_idle.push_back(pooled);
    pump();
}

void TargetPool::remove(const PooledPointer &pooled)
{
    pooled->m_connection->close();
    std::erase(m_idle, pooled);
    if (std::erase(m_connections, pooled) == 0) {
        return;
    }
    if (pooled->m_use == Use::Connecting) {
        --m_connecting;
    }
    pooled->m_use = Use::Idle;
    --m_state->m_statistics.m_connections;
}

void TargetPool::failLater(AttemptId attempt, AttemptFailure failure)
{
    asio::post(m_state->m_context, [state = m_state, attempt, failure] {
        state->m_events.m_failure(attempt, failure);
    });
}

void TargetPool::checkCap()
{
    checkInvariant(m_state->m_invariants, Invariant::ConnectionLimit,
                   static_cast<int>(m_connections.size()) <= m_endpoint.m_connectionCap,
                   m_endpoint.m_name);
}

bool TargetPool::echoes(const PooledConnection &pooled, const AttemptReply &reply) const
{
    return reply.m_attempt == pooled.m_attempt && reply.m_requestId == pooled.m_requestId
           && reply.m_service == pooled.m_service;
}

} // namespace arbutusgrade
