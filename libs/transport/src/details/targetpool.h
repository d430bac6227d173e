#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "details/clientconnection.h"
#include "details/targetmessages.h"
#include "transport/transport.h"

namespace arbutusgrade {

//! @brief What the pools of all targets share.
struct TargetClientState
{
    asio::io_context &m_context;
    TargetClientOptions m_options;
    TargetClientEvents m_events;
    InvariantCounters &m_invariants;
    std::shared_ptr<ReplyBudget> m_budget;
    TargetClientStatistics m_statistics;
    std::string m_requestText; //!< Reused for each request.
};

//! @brief Connections to one target and the attempts that wait for one.
class TargetPool : public std::enable_shared_from_this<TargetPool>
{
public:
    TargetPool(std::shared_ptr<TargetClientState> state, const TargetEndpoint &endpoint);

    const TargetEndpoint &endpoint() const
    {
        return m_endpoint;
    }

    //! @brief Changes the cap; connections above it are closed once they are idle.
    void setCap(int cap);

    void send(const SendAttempt &attempt);
    void cancel(AttemptId attempt);
    bool probe(ProbeHandler handler);

    //! @brief Ends connections and attempts whose time is over.
    void sweep(TimePoint now);

    //! @brief Closes idle connections; busy ones close when their exchange ends.
    void retire();

    //! @brief Closes all connections at once, without any event.
    void close();

    bool isEmpty() const
    {
        return m_connections.empty() && m_waiting.empty();
    }

private:
    enum class Use { Connecting, Idle, Attempt, Cancel, Probe };

    struct PooledConnection
    {
        std::shared_ptr<ClientConnection> m_connection;
        Use m_use = Use::Connecting;
        bool m_cancelled = false;
        TimePoint m_deadline = farFuture; //!< When the connection is given up.
        TimePoint m_idleSince;
        AttemptId m_attempt = 0;
        std::string m_requestId;
        std::string m_service;
        ProbeHandler m_probeHandler;
    };
    using PooledPointer = std::shared_ptr<PooledConnection>;

    void pump();
    void openConnection();
    void handleConnected(const PooledPointer &pooled, bool connected);
    PooledPointer takeIdle();
    void startAttempt(const PooledPointer &pooled, const SendAttempt &attempt, TimePoint now);
    void handleAttemptEnd(const PooledPointer &pooled, ExchangeEnd end, const ReplyContent &reply);
    void startProbe(const PooledPointer &pooled);
    void release(const PooledPointer &pooled);
    void remove(const PooledPointer &pooled);
    void failLater(AttemptId attempt, AttemptFailure failure);
    void checkCap();
    bool echoes(const PooledConnection &pooled, const AttemptReply &reply) const;

    std::shared_ptr<TargetClientState> m_state;
    TargetEndpoint m_endpoint;
    std::string m_host;
    Tcp::endpoint m_address;
    std::vector<PooledPointer> m_connections;
    std::vector<PooledPointer> m_idle; //!< Most recently used last.
    std::deque<SendAttempt> m_waiting;
    int m_connecting = 0;
    bool m_retired = false;
};

} // namespace arbutusgrade
