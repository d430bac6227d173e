#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "base/base.h"
#include "eventqueue.h"
#include "query/query.h"

namespace arbutusgrade::stress {

//! @brief Probabilities and times of faults at targets; drawn once for each run.
struct TargetFaults
{
    double m_straggle = 0;      //!< Share of executions that take 20 times as long.
    double m_error = 0;         //!< Share of executions that end with an error.
    double m_loseReply = 0;     //!< Share of replies after which the connection is lost instead.
    double m_duplicate = 0;     //!< Share of replies that arrive twice.
    double m_cross = 0;         //!< Share of replies that carry another request's identity.
    double m_delayReply = 0;    //!< Share of replies that arrive up to a second late.
    double m_refuseConnect = 0; //!< Share of attempts of which no byte leaves the node.
    double m_wrongSnapshot = 0; //!< Share of replies from another snapshot than the one asked for.
};

//! @brief One attempt on its way to or at a target.
struct TargetWork
{
    SendAttempt m_send;
    std::size_t m_node = 0;
    std::uint64_t m_nodeIncarnation = 0;
    std::uint64_t m_sequence = 0; //!< Unique over the whole run.
};

//! @brief How an attempt ended, as seen at the node's end of the connection.
struct AttemptResult
{
    TargetWork m_work;
    bool m_replied = false;
    AttemptReply m_reply;
    AttemptFailure m_failure = AttemptFailure::ConnectionLost;
};

//! @brief A replica of a service: slots, queue, snapshots, drain and crashes.
class FakeTarget
{
public:
    struct Hooks
    {
        std::function<void(const TargetWork &)> m_started; //!< Execution begins: ground truth.
        std::function<void(const AttemptResult &, Duration)> m_deliver;
        std::function<void(const TargetWork &)> m_crashed; //!< Execution crashed the target.
    };

    FakeTarget(std::string name, std::string service, int slots, EventQueue &queue,
               RandomGenerator &random, const TargetFaults &faults, Hooks hooks);

    void receive(const TargetWork &work);
    void cancel(AttemptId attempt, std::size_t node);
    void crash();
    void setFrozen(bool frozen);
    void beginDrain();
    void holdSnapshot(const Snapshot &snapshot, std::size_t keep);

    const std::string &name() const noexcept
    {
        return m_name;
    }
    const std::string &service() const noexcept
    {
        return m_service;
    }
    bool isUp() const noexcept
    {
        return m_up;
    }
    bool isFrozen() const noexcept
    {
        return m_frozen;
    }
    bool isDraining() const noexcept
    {
        return m_draining;
    }
    TimePoint drainStart() const noexcept
    {
        return m_drainStart;
    }
    const std::vector<Snapshot> &holdings() const noexcept
    {
        return m_holdings;
    }
    std::string startId() const;

private:
    void start(const TargetWork &work);
    void finish(const TargetWork &work, std::uint64_t startCount);
    void startQueued();
    AttemptReply makeReply(const TargetWork &work, AttemptStatus status) const;
    void refuse(const TargetWork &work, AttemptStatus status);
    void reply(const TargetWork &work, AttemptReply reply);
    bool holds(const Snapshot &snapshot) const;
    bool chance(double probability);

    std::string m_name;
    std::string m_service;
    int m_slots;
    EventQueue &m_queue;
    RandomGenerator &m_random;
    const TargetFaults &m_faults;
    Hooks m_hooks;
    bool m_up = true;
    bool m_frozen = false;
    bool m_draining = false;
    bool m_acceptsWhileDraining = false; //!< Some targets only raise the flag in their replies.
    TimePoint m_drainStart = farFuture;
    std::uint64_t m_startCount = 1;
    std::vector<Snapshot> m_holdings;
    std::vector<TargetWork> m_running;
    std::deque<TargetWork> m_waiting;
};

//! @brief Entries that name the request, shard and snapshot, so that a mix-up is visible.
std::string makeEntries(const std::string &requestId, const std::string &service,
                        const Snapshot &snapshot);

//! @brief Payload that crashes every target that runs it.
bool isCrashingPayload(const std::string &payload);

} // namespace arbutusgrade::stress
