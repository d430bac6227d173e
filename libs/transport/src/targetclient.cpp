#include <unordered_map>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "details/targetpool.h"

namespace arbutusgrade {

namespace {

// Bound on how late the deadlines of connections are noticed.
constexpr std::chrono::milliseconds sweepInterval{100};

bool sameAddress(const TargetEndpoint &left, const TargetEndpoint &right)
{
    return left.m_address == right.m_address && left.m_port == right.m_port;
}

} // namespace

struct TargetClient::Implementation : std::enable_shared_from_this<TargetClient::Implementation>
{
    explicit Implementation(std::shared_ptr<TargetClientState> state)
        : m_state(std::move(state)), m_timer(m_state->m_context)
    {
    }

    void sweep()
    {
        m_timer.expires_after(sweepInterval);
        m_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (error) {
                return;
            }
            self->sweepPools(steadyNow());
            self->sweep();
        });
    }

    void sweepPools(TimePoint now)
    {
        for (const std::pair<const std::string, std::shared_ptr<TargetPool>> &entry : m_pools) {
            entry.second->sweep(now);
        }
        for (const std::shared_ptr<TargetPool> &pool : m_retired) {
            pool->sweep(now);
        }
        std::erase_if(m_retired,
                      [](const std::shared_ptr<TargetPool> &pool) { return pool->isEmpty(); });
    }

    void retire(const std::shared_ptr<TargetPool> &pool)
    {
        pool->retire();
        m_retired.push_back(pool);
    }

    TargetPool *find(std::string_view target)
    {
        const std::unordered_map<std::string, std::shared_ptr<TargetPool>>::iterator entry =
            m_pools.find(std::string(target));
        return entry == m_pools.end() ? nullptr : entry->second.get();
    }

    std::shared_ptr<TargetClientState> m_state;
    asio::steady_timer m_timer;
    std::unordered_map<std::string, std::shared_ptr<TargetPool>> m_pools;
    std::vector<std::shared_ptr<TargetPool>> m_retired;
};

TargetClient::TargetClient(asio::io_context &context, const TargetClientOptions &options,
                           TargetClientEvents events, InvariantCounters &invariants)
    : m_implementation(std::make_shared<Implementation>(std::make_shared<TargetClientState>(
        TargetClientState{context,
                          options,
                          std::move(events),
                          invariants,
                          makeReplyBudget(options.m_bufferedLimitBytes),
                          {},
                          {}})))
{
    m_implementation->sweep();
}

TargetClient::~TargetClient()
{
    m_implementation->m_timer.cancel();
    // The handlers of exchanges in flight refer to their connections, which would stay otherwise.
    for (const std::pair<const std::string, std::shared_ptr<TargetPool>> &entry :
         m_implementation->m_pools) {
        entry.second->close();
    }
    for (const std::shared_ptr<TargetPool> &pool : m_implementation->m_retired) {
        pool->close();
    }
}

void TargetClient::setTargets(std::span<const TargetEndpoint> targets)
{
    std::unordered_map<std::string, std::shared_ptr<TargetPool>> previous =
        std::move(m_implementation->m_pools);
    m_implementation->m_pools.clear();
    for (const TargetEndpoint &endpoint : targets) {
        std::shared_ptr<TargetPool> pool;
        const std::unordered_map<std::string, std::shared_ptr<TargetPool>>::iterator known =
            previous.find(endpoint.m_name);
        if (known != previous.end() && sameAddress(known->second->endpoint(), endpoint)) {
            pool = known->second;
            previous.erase(known);
            pool->setCap(endpoint.m_connectionCap);
        } else {
            pool = std::make_shared<TargetPool>(m_implementation->m_state, endpoint);
        }
        m_implementation->m_pools[endpoint.m_name] = std::move(pool);
    }
    for (const std::pair<const std::string, std::shared_ptr<TargetPool>> &entry : previous) {
        m_implementation->retire(entry.second);
    }
}

void TargetClient::send(const SendAttempt &attempt)
{
    if (TargetPool *pool = m_implementation->find(attempt.m_target)) {
        pool->send(attempt);
        return;
    }
    asio::post(m_implementation->m_state->m_context,
               [state = m_implementation->m_state, id = attempt.m_attempt] {
                   state->m_events.m_failure(id, AttemptFailure::NotSent);
               });
}

void TargetClient::cancel(const CancelAttempt &cancel)
{
    if (TargetPool *pool = m_implementation->find(cancel.m_target)) {
        pool->cancel(cancel.m_attempt);
    }
    for (const std::shared_ptr<TargetPool> &pool : m_implementation->m_retired) {
        if (pool->endpoint().m_name == cancel.m_target) {
            pool->cancel(cancel.m_attempt);
        }
    }
}

bool TargetClient::probe(std::string_view target, ProbeHandler handler)
{
    TargetPool *pool = m_implementation->find(target);
    return pool != nullptr && pool->probe(std::move(handler));
}

TargetClientStatistics TargetClient::statistics() const
{
    return m_implementation->m_state->m_statistics;
}

} // namespace arbutusgrade
