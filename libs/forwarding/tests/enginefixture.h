#pragma once

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "forwarding/forwarding.h"

namespace arbutusgrade {

//! @brief Stores the engine's commands and answers.
class RecordingOutput : public ForwardOutput
{
public:
    void send(const ForwardCommand &order) override;
    void abandon(std::uint64_t attempt) override;
    bool isSent(std::uint64_t attempt) const override;
    void probe(const TargetPointer &target) override;
    void answer(const ForwardAnswer &answer) override;
    void record(const ForwardDecision &decision) override;
    void publishCrash(const CrashReport &report) override;

    std::vector<ForwardCommand> m_orders;
    std::vector<std::uint64_t> m_abandoned;
    bool m_connectionsAreOpen = true; //!< Orders are written at once.
    std::vector<TargetPointer> m_probed;
    std::vector<ForwardAnswer> m_answers;
    std::vector<std::string> m_events;
    std::vector<CrashReport> m_crashReports;
};

//! @brief Provides an engine in data centre "a". The search route has two shards; the route to the
//! service "orders" is not idempotent. Each service has one target in each of the data centres "a",
//! "b" and "c".
class EngineTest : public testing::Test
{
protected:
    EngineTest();

    TimePoint now() const
    {
        return m_now;
    }

    //! @brief Advances the time and processes timers when they expire.
    void advanceTime(Duration duration);

    void addTarget(std::string_view id, std::string_view service, std::string_view dataCentre);

    //! @brief Applies m_table to the engine under the given version.
    void applyTable(std::uint64_t version);

    //! @brief Submits a request and returns the id of its exchange.
    std::uint64_t submit(std::string_view path, Duration timeLeft = std::chrono::seconds(2),
                         const CallerPath &callerPath = {});

    //! @brief Ends the attempt of an order with a successful reply.
    void replySuccess(const ForwardCommand &order, std::string_view body = "0123456789abcdef");

    //! @brief Ends the attempt of an order without a reply.
    void endAttempt(const ForwardCommand &order, ForwardEnd end);

    //! @brief Ends the attempt of an order with a reply of the given status.
    void replyStatus(const ForwardCommand &order, int status, bool notExecuted);

    //! @brief Makes the route to "orders" idempotent and submits requests that fail at their
    //! targets, until one waits for its retry.
    void useUpRetryBudget();

    //! @brief Returns the orders sent to a service, oldest first.
    std::vector<ForwardCommand> ordersFor(std::string_view service) const;
    const ForwardCommand &lastOrder() const;

    TimePoint m_now{std::chrono::hours(1)};
    RecordingOutput m_output;
    RoutingTable m_table;
    ForwardEngine m_engine;
    std::uint64_t m_lastCaller = 0;
};

} // namespace arbutusgrade
