#pragma once

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "forwarding/forwarding.h"

namespace arbutusgrade {

//! @brief Records the orders of the engine.
class RecordingOutput : public ForwardOutput
{
public:
    void send(const ForwardOrder &order) override;
    void abandon(std::uint64_t attempt) override;
    void probe(const TargetPointer &target) override;
    void answer(const ForwardAnswer &answer) override;
    void record(const ForwardDecision &decision) override;
    void shareCrashes(std::uint64_t fingerprint, int crashes) override;

    std::vector<ForwardOrder> m_orders;
    std::vector<std::uint64_t> m_abandoned;
    std::vector<TargetPointer> m_probed;
    std::vector<ForwardAnswer> m_answers;
    std::vector<std::string> m_events;
    std::vector<std::pair<std::uint64_t, int>> m_crashes;
};

//! @brief An engine in data centre "a" with two shards of three targets each, and one service
//! "orders" whose requests must not run twice.
class EngineTest : public testing::Test
{
protected:
    EngineTest();

    TimePoint now() const
    {
        return m_now;
    }

    //! @brief Lets time pass; timers fire when they are due.
    void pass(Duration duration);

    void addTarget(std::string_view id, std::string_view service, std::string_view dataCentre);
    void adopt(std::uint64_t version);

    //! @brief Submits a request; the caller's number is returned.
    std::uint64_t submit(std::string_view path, Duration timeLeft = std::chrono::seconds(2));

    //! @brief Answers an order with a good reply.
    void succeed(const ForwardOrder &order, std::string_view body = "0123456789abcdef");
    void fail(const ForwardOrder &order, ForwardEnd end);
    void reply(const ForwardOrder &order, int status, bool notExecuted);

    //! @brief Orders for a service, in order.
    std::vector<ForwardOrder> ordersFor(std::string_view service) const;
    const ForwardOrder &lastOrder() const;

    TimePoint m_now{std::chrono::hours(1)};
    RecordingOutput m_output;
    RoutingTable m_table;
    ForwardEngine m_engine;
    std::uint64_t m_lastCaller = 0;
};

} // namespace arbutusgrade
