#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "query/query.h"

namespace arbutusgrade {

//! @brief Drives one engine with a simulated clock, sorts its actions by type and lets tests reply.
struct Harness
{
    explicit Harness(Settings settings, QueryOptions options = {});

    //! @brief Submits a request of the kind and returns its caller id.
    CallerId submit(const std::string &kind, const std::string &payload = "{}",
                    const std::string &requestId = "", int sendNumber = 1);

    //! @brief Replies Ok with a result of the given snapshot.
    void replyOk(const SendAttempt &attempt, Snapshot snapshot = {1, 7});
    void reply(const SendAttempt &attempt, AttemptStatus status,
               const std::vector<Snapshot> &holdings = {});
    void failAttempt(const SendAttempt &attempt, AttemptFailure failure);
    void storeReply(const CallStore &call, StoreStatus status, const std::string &value = "",
                    std::int64_t revision = 1);

    //! @brief Replies Ok to all pending attempts, including those that the replies trigger.
    void replyToAll(Snapshot snapshot = {1, 7});

    //! @brief Advances the clock and runs the timers at the times when they are due.
    void advance(Duration duration);

    //! @brief Advances the clock without running timers, as in a pause of the process.
    void pause(Duration duration);

    //! @brief Reports to the engine that all targets hold these snapshots.
    void reportHoldings(const std::vector<Snapshot> &holdings);
    void observe(const TargetObservation &observation);

    //! @brief Removes and returns the oldest pending attempt.
    SendAttempt nextAttempt();

    //! @brief Removes and returns the oldest pending store call.
    CallStore nextStoreCall();

    //! @brief Returns the first answer to the caller, or null.
    const CallerAnswer *answer(CallerId caller) const;

    //! @brief Moves the actions of the engine into the lists by type.
    void collectActions();

    Settings m_settings;
    QueryEnginePointer m_engine;
    TimePoint m_now{std::chrono::seconds(1000)};
    ActionList m_actions;
    std::deque<SendAttempt> m_attempts;
    std::deque<CallStore> m_storeCalls;
    std::vector<CancelAttempt> m_cancels;
    std::vector<AnnounceDrain> m_drainAnnouncements;
    std::vector<AnnounceQuarantine> m_quarantineAnnouncements;
    std::map<CallerId, std::vector<CallerAnswer>> m_answers;
    CallerId m_lastCaller = 0;
};

//! @brief Returns settings with one group "g" of services "s0", "s1", .. whose targets are "s0-t0",
//! "s0-t1", ..; the kinds are "all" (Complete), "best" (BestByDeadline), "one" (Single) and "order"
//! (Once).
Settings makeSettings(int services, int targets, int connections = 8, int nodes = 2);

//! @brief Expects that the caller has exactly one answer, with this outcome and reason.
void expectAnswer(const Harness &harness, CallerId caller, Outcome outcome, Reason reason);

} // namespace arbutusgrade
