#include "harness.h"

namespace arbutusgrade {

namespace {

//! Field header and a zigzag varint; fields of value 0 are sent as well.
std::size_t fieldSize(std::uint64_t value)
{
    const std::int64_t number = static_cast<std::int64_t>(value);
    std::uint64_t zigzag = (value << 1U) ^ static_cast<std::uint64_t>(number >> 63U);
    std::size_t size = 2;
    while (zigzag >= 0x80U) {
        zigzag >>= 7U;
        ++size;
    }
    return size;
}

//! The version byte, the header of the list with its length, and the end of the struct.
constexpr std::size_t frameSize = 5;

} // namespace

std::size_t compactSize(const QuotaReport &report)
{
    std::size_t size = frameSize + fieldSize(report.m_nodeSession)
                       + fieldSize(report.m_coordinatorSession)
                       + fieldSize(static_cast<std::uint64_t>(report.m_sentAt))
                       + fieldSize(static_cast<std::uint64_t>(report.m_coordinatorTime))
                       + fieldSize(report.m_partition) + fieldSize(report.m_partitions)
                       + fieldSize(report.m_nodes);
    for (const QuotaUse &use : report.m_uses) {
        size += 1 + fieldSize(use.m_organisation) + fieldSize(use.m_consumed)
                + fieldSize(use.m_returned) + fieldSize(use.m_wanted) + fieldSize(use.m_pending);
    }
    return size;
}

std::size_t compactSize(const QuotaReply &reply)
{
    std::size_t size = frameSize + 1 + fieldSize(reply.m_nodeSession)
                       + fieldSize(reply.m_coordinatorSession)
                       + fieldSize(static_cast<std::uint64_t>(reply.m_reportSentAt))
                       + fieldSize(static_cast<std::uint64_t>(reply.m_coordinatorTime))
                       + fieldSize(reply.m_partition) + fieldSize(reply.m_partitions);
    for (const QuotaGrant &grant : reply.m_grants) {
        // The end of the struct and two bool fields take a byte each.
        size += 3 + fieldSize(grant.m_organisation) + fieldSize(grant.m_granted)
                + fieldSize(grant.m_retryAfterMilliseconds);
    }
    return size;
}

void Harness::countBytes(std::size_t bytes)
{
    m_bytes += bytes;
    m_largestMessage = std::max(m_largestMessage, bytes);
}

void SimulatedNode::sendReport(std::string_view node, const QuotaReport &report)
{
    m_harness->countBytes(compactSize(report));
    m_harness->send(m_index, node, [this, report](SimulatedNode &to) {
        to.m_limiter->receiveReport(m_harness->m_now, m_name, report);
    });
}

void SimulatedNode::sendReply(std::string_view node, const QuotaReply &reply)
{
    m_harness->countBytes(compactSize(reply));
    m_harness->send(m_index, node, [this, reply](SimulatedNode &to) {
        to.m_limiter->receiveReply(m_harness->m_now, m_name, reply);
    });
}

void SimulatedNode::decided(std::uint64_t request, const QuotaDecision &decision)
{
    const std::string organisation = m_harness->m_waiting.at(request);
    m_harness->m_waiting.erase(request);
    m_harness->record(organisation, decision);
}

void SimulatedNode::coordinatorChanged(std::uint32_t partition, std::string_view node,
                                       std::string_view /*reason*/)
{
    if (partition == 0) {
        m_coordinator = node;
    }
}

bool Harness::Event::operator<(const Event &other) const
{
    return m_at != other.m_at ? m_at > other.m_at : m_sequence > other.m_sequence;
}

Harness::Harness(int nodes, std::uint64_t seed) : m_random{seed}
{
    addNodes(nodes);
}

void Harness::addNodes(int count)
{
    const bool first = m_nodes.empty();
    for (int added = 0; added < count; ++added) {
        SimulatedNode &node = *m_nodes.emplace_back(std::make_unique<SimulatedNode>());
        node.m_harness = this;
        node.m_index = static_cast<int>(m_nodes.size()) - 1;
        node.m_name = "node" + std::to_string(node.m_index);
    }
    if (!first) {
        reconfigureSoon();
    }
}

void Harness::start(int index)
{
    SimulatedNode &node = *m_nodes[static_cast<std::size_t>(index)];
    QuotaOptions options;
    options.m_node = node.m_name;
    options.m_tolerance = testTolerance;
    options.m_session = nextRandom(m_random);
    node.m_limiter = std::make_unique<QuotaLimiter>(options, m_now, node);
    configure(node);
}

void Harness::configure(SimulatedNode &node)
{
    std::vector<OrganisationLimit> limits;
    for (const std::pair<const std::string, QuotaLimit> &limit : m_limits) {
        limits.push_back({limit.first, limit.second});
    }
    std::vector<QuotaPeer> peers;
    for (const std::unique_ptr<SimulatedNode> &peer : m_nodes) {
        peers.push_back({peer->m_name, 1.0});
    }
    node.m_limiter->setLimits(m_now, limits);
    node.m_limiter->setPeers(m_now, peers, static_cast<int>(peers.size()));
    scheduleTimer(node);
}

void Harness::reconfigureSoon()
{
    for (const std::unique_ptr<SimulatedNode> &node : m_nodes) {
        SimulatedNode *target = node.get();
        at(m_now + randomDuration(Duration(0), std::chrono::seconds(1)), [this, target] {
            if (target->m_limiter == nullptr) {
                start(target->m_index);
            } else {
                configure(*target);
            }
        });
    }
}

void Harness::setLimit(std::string_view organisation, QuotaLimit limit)
{
    m_limits[std::string(organisation)] = limit;
    reconfigureSoon();
}

void Harness::at(TimePoint time, std::function<void()> action)
{
    m_events.push({time, ++m_sequence, std::move(action)});
}

void Harness::add(const Demand &demand)
{
    const double gap = 2e6 * random(0.0, 1.0) / demand.m_ratePerSecond;
    at(std::max(m_now, demand.m_from) + Duration(static_cast<std::int64_t>(gap) + 1),
       [this, demand] {
           if (m_now < demand.m_until) {
               offer(demand);
               add(demand);
           }
       });
}

void Harness::offer(const Demand &demand)
{
    const std::uint64_t drawn = nextRandomBelow(m_random, demand.m_nodes.size());
    SimulatedNode &node = *m_nodes[static_cast<std::size_t>(demand.m_nodes[drawn])];
    Counts &counts = m_counts[demand.m_organisation];
    if (node.m_limiter == nullptr || node.m_pausedUntil > m_now) {
        return;
    }
    counts.m_offered.push_back(m_now);
    const std::uint64_t request = ++m_sequence;
    m_waiting[request] = demand.m_organisation;
    const QuotaDecision decision = node.m_limiter->admit(m_now, demand.m_organisation, request);
    if (decision.m_verdict == QuotaVerdict::Pending) {
        ++counts.m_pending;
    } else {
        m_waiting.erase(request);
        record(demand.m_organisation, decision);
    }
    scheduleTimer(node);
}

void Harness::record(std::string_view organisation, const QuotaDecision &decision)
{
    Counts &counts = m_counts.find(organisation)->second;
    if (decision.m_verdict == QuotaVerdict::Admitted) {
        counts.m_admitted.push_back(m_now);
    } else if (decision.m_verdict == QuotaVerdict::Exhausted) {
        ++counts.m_exhausted;
    } else {
        ++counts.m_undecided;
    }
}

void Harness::send(int from, std::string_view to,
                   const std::function<void(SimulatedNode &)> &deliver)
{
    ++m_messages;
    const int target = std::stoi(std::string(to.substr(4)));
    if (random(0.0, 1.0) < m_faults.m_loss) {
        return;
    }
    const int copies = random(0.0, 1.0) < m_faults.m_duplication ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const Duration delay = randomDuration(Duration(300), Duration(6000))
                               + randomDuration(Duration(0), m_faults.m_extraDelay);
        at(m_now + delay, [this, from, target, deliver] {
            SimulatedNode &node = *m_nodes[static_cast<std::size_t>(target)];
            if (node.m_limiter == nullptr
                || node.m_side != m_nodes[static_cast<std::size_t>(from)]->m_side) {
                return;
            }
            if (node.m_pausedUntil > m_now) {
                // The socket buffer keeps messages during a pause.
                at(node.m_pausedUntil, [this, &node, deliver] {
                    if (node.m_limiter != nullptr) {
                        deliver(node);
                        scheduleTimer(node);
                    }
                });
                return;
            }
            deliver(node);
            scheduleTimer(node);
        });
    }
}

void Harness::scheduleTimer(SimulatedNode &node)
{
    const TimePoint due = std::max(node.m_limiter->nextTimer(), m_now);
    if (due >= node.m_timerAt) {
        return;
    }
    node.m_timerAt = due;
    at(due, [this, &node, due] {
        if (node.m_timerAt == due) {
            node.m_timerAt = farFuture;
            runTimer(node);
        }
    });
}

void Harness::runTimer(SimulatedNode &node)
{
    if (node.m_limiter == nullptr) {
        return;
    }
    if (node.m_pausedUntil > m_now) {
        at(node.m_pausedUntil, [this, &node] { runTimer(node); });
        return;
    }
    node.m_limiter->advance(m_now);
    scheduleTimer(node);
}

void Harness::run(TimePoint until)
{
    while (!m_events.empty() && m_events.top().m_at <= until) {
        const Event event = std::move(const_cast<Event &>(m_events.top()));
        m_events.pop();
        m_now = std::max(m_now, event.m_at);
        event.m_action();
    }
    m_now = until;
}

int Harness::coordinator()
{
    std::map<std::string, int> votes;
    std::string best;
    for (const std::unique_ptr<SimulatedNode> &node : m_nodes) {
        if (++votes[node->m_coordinator] > votes[best]) {
            best = node->m_coordinator;
        }
    }
    return std::stoi(best.substr(4));
}

double Harness::random(double from, double to)
{
    return from + (to - from) * nextRandomUnit(m_random);
}

Duration Harness::randomDuration(Duration from, Duration to)
{
    return Duration(static_cast<std::int64_t>(
        random(static_cast<double>(from.count()), static_cast<double>(to.count()))));
}

std::vector<int> Harness::allNodes() const
{
    std::vector<int> nodes;
    for (const std::unique_ptr<SimulatedNode> &node : m_nodes) {
        nodes.push_back(node->m_index);
    }
    return nodes;
}

} // namespace arbutusgrade
