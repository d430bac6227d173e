#pragma once

#include <functional>
#include <map>
#include <queue>
#include <set>

#include "quota/quota.h"

//! @brief Nodes with limiters that exchange messages over a simulated network on a virtual clock.
namespace arbutusgrade {

//! @brief Faults of the network. Probabilities are from 0 to 1.
struct NetworkFaults
{
    double m_loss = 0.0;
    double m_duplication = 0.0;
    Duration m_extraDelay{0}; //!< The greatest; drawn for each message.
};

//! @brief Requests of an organisation, at a constant mean rate.
struct Demand
{
    std::string m_organisation;
    double m_ratePerSecond = 0.0;
    std::vector<int> m_nodes; //!< Requests arrive at one of these, drawn evenly.
    TimePoint m_from;
    TimePoint m_until = farFuture;
};

//! @brief Requests of one organisation and their decisions.
struct Counts
{
    std::vector<TimePoint> m_offered;
    std::vector<TimePoint> m_admitted;
    int m_exhausted = 0;
    int m_undecided = 0;
    int m_pending = 0;
};

class Harness;

//! @brief A node with its limiter; its messages go to the harness.
struct SimulatedNode : QuotaOutput
{
    void sendReport(std::string_view node, const QuotaReport &report) override;
    void sendReply(std::string_view node, const QuotaReply &reply) override;
    void decided(std::uint64_t request, const QuotaDecision &decision) override;
    void coordinatorChanged(std::uint32_t partition, std::string_view node,
                            std::string_view reason) override;

    Harness *m_harness = nullptr;
    int m_index = 0;
    std::string m_name;
    std::unique_ptr<QuotaLimiter> m_limiter; //!< Null while the node is dead or not yet started.
    std::string m_coordinator;               //!< Of partition 0.
    TimePoint m_pausedUntil;
    TimePoint m_timerAt = farFuture;
    int m_side = 0; //!< Messages between nodes of different sides are lost.
};

//! @brief Simulated network, clock and demand, driven by a queue of events.
class Harness
{
public:
    Harness(int nodes, std::uint64_t seed);

    void start(int node);     //!< Starts or restarts it with all limits and peers.
    void addNodes(int count); //!< All nodes learn of them within a second.
    void setLimit(std::string_view organisation, QuotaLimit limit); //!< At all nodes within 1 s.
    void at(TimePoint time, std::function<void()> action);
    void add(const Demand &demand);
    void run(TimePoint until);

    int coordinator(); //!< The node that most nodes have chosen for partition 0.
    double random(double from, double to);
    Duration randomDuration(Duration from, Duration to);
    std::vector<int> allNodes() const;

    void countBytes(std::size_t bytes);
    void send(int from, std::string_view to, const std::function<void(SimulatedNode &)> &deliver);
    void record(std::string_view organisation, const QuotaDecision &decision);

    TimePoint m_now{std::chrono::seconds(100)};
    NetworkFaults m_faults;
    std::vector<std::unique_ptr<SimulatedNode>> m_nodes;
    std::map<std::string, QuotaLimit, std::less<>> m_limits;
    std::map<std::string, Counts, std::less<>> m_counts;
    std::map<std::uint64_t, std::string> m_waiting; //!< Organisations of pending requests.
    std::size_t m_messages = 0;
    std::size_t m_largestMessage = 0; //!< Bytes.
    std::size_t m_bytes = 0;          //!< Of all messages, without UDP and IP.

private:
    struct Event
    {
        TimePoint m_at;
        std::uint64_t m_sequence = 0;
        std::function<void()> m_action;
        bool operator<(const Event &other) const;
    };

    void offer(const Demand &demand);
    void scheduleTimer(SimulatedNode &node);
    void runTimer(SimulatedNode &node);
    void configure(SimulatedNode &node);
    void reconfigureSoon();

    RandomGenerator m_random;
    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
};

//! @brief Sizes in Thrift's compact protocol with a byte for the version.
std::size_t compactSize(const QuotaReport &report);
std::size_t compactSize(const QuotaReply &reply);

inline constexpr QuotaTolerance testTolerance{std::chrono::seconds(5), 0.1, 20.0};

} // namespace arbutusgrade
