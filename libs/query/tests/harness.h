#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "query/query.h"

namespace arbutusgrade {

//! @brief Drives one engine by hand: collects its actions by type and lets tests reply to them.
struct Harness
{
    explicit Harness(Settings settings, QueryOptions options = {});

    //! @brief Submits a request of the kind and returns its caller id.
    CallerId submit(const std::string &kind, const std::string &payload = "{}",
                    const std::string &requestId = "", int sendNumber = 1);

    //! @brief Replies to the attempt as a healthy target that holds the given snapshot.
    void replyOk(const SendAttempt &attempt, Snapshot snapshot = {1, 7});
    void reply(const SendAttempt &attempt, AttemptStatus status,
               const std::vector<Snapshot> &holdings = {});
    void fail(const SendAttempt &attempt, AttemptFailure failure);
    void storeReply(const CallStore &call, StoreStatus status, const std::string &value = "",
                    std::int64_t revision = 1);

    //! @brief Replies Ok to all attempts sent so far and those sent because of that.
    void replyToAll(Snapshot snapshot = {1, 7});

    //! @brief Lets time pass, running timers at their times.
    void pass(Duration duration);

    //! @brief Lets time pass without running anything, as in a pause of the process.
    void pauseFor(Duration duration);

    //! @brief Tells the engine that all targets hold these snapshots.
    void holdEverywhere(const std::vector<Snapshot> &holdings);
    void observe(const TargetObservation &observation);

    //! @brief Takes the oldest attempt or store call not yet taken by a test.
    SendAttempt takeAttempt();
    CallStore takeCall();

    const CallerAnswer *answer(CallerId caller) const;
    void collect();

    Settings m_settings;
    QueryEnginePointer m_engine;
    TimePoint m_now{std::chrono::seconds(1000)};
    ActionList m_actions;
    std::deque<SendAttempt> m_attempts;
    std::deque<CallStore> m_calls;
    std::vector<CancelAttempt> m_cancels;
    std::vector<ShareDrain> m_drains;
    std::vector<ShareQuarantine> m_quarantines;
    std::map<CallerId, std::vector<CallerAnswer>> m_answers;
    CallerId m_callers = 0;
};

//! @brief One group "g" with services "s0", "s1", .. whose targets are "s0-t0", "s0-t1", ..; the
//! kinds "all" (Complete), "best" (BestByDeadline), "one" (Single) and "order" (Once).
Settings makeSettings(int services, int targets, int connections = 8, int nodes = 2);

} // namespace arbutusgrade
