#include <algorithm>

#include "details/clusterservice.h"

namespace arbutusgrade {

namespace {

constexpr Duration memberRefreshInterval{1'000'000};
//! Timers of both state machines that are closer together run in one batch.
constexpr Duration minimumTimerDelay{10'000};
constexpr Duration pullTimeout{2'000'000};

MembershipOptions membershipOptions(const ClusterOptions &options, const NodeSettings &self)
{
    MembershipOptions result;
    result.m_node = self.m_name;
    result.m_dataCentre = self.m_dataCentre;
    result.m_address = self.m_address;
    result.m_peerPort = self.m_peerPort;
    result.m_callerPort = self.m_callerPort;
    result.m_incarnation = options.m_incarnation;
    result.m_seed = options.m_seed;
    return result;
}

ConfigurationOptions configurationOptions(const ClusterOptions &options, const NodeSettings &self)
{
    ConfigurationOptions result;
    result.m_node = self.m_name;
    result.m_dataCentre = self.m_dataCentre;
    result.m_seed = options.m_seed;
    result.m_baseText = options.m_baseText;
    result.m_overlayText = options.m_overlayText;
    return result;
}

} // namespace

std::unique_ptr<NodeService> createClusterService(NodeShell &shell, const ClusterOptions &options,
                                                  std::string &error)
{
    const std::vector<NodeSettings> &nodes = options.m_fileSettings.m_nodes;
    const auto self =
        std::find_if(nodes.begin(), nodes.end(), [&options](const NodeSettings &node) {
            return node.m_name == options.m_node;
        });
    if (self == nodes.end()) {
        error = "the settings have no node named " + options.m_node;
        return nullptr;
    }
    return std::make_unique<ClusterService>(shell, options, *self);
}

ClusterService::ClusterService(NodeShell &shell, const ClusterOptions &options,
                               const NodeSettings &self)
    : m_shell(shell), m_options(options), m_self(self),
      m_membership(createMembershipCore(steadyNow(), membershipOptions(options, self))),
      m_configuration(createConfigurationCore(steadyNow(), configurationOptions(options, self))),
      m_gossipSocket(
          shell.context(),
          [this](const std::string &address, std::uint16_t port, const GossipMessage &message) {
              processMembershipEvent([&](TimePoint now, MembershipActions &actions) {
                  handleGossip(m_membership, now, address, port, message, actions);
              });
          }),
      m_peerServer(shell.context(),
                   [this](const PeerRequest &request, const PeerResponder &respond) {
                       respond(createPullReply(request));
                   }),
      m_timer(shell.context())
{
    m_configuration.m_invariants.m_observer = [this](Invariant invariant, std::string_view detail) {
        m_shell.log().write(LogLevel::Error, "invariant-violated", detail,
                            {{"invariant", invariantName(invariant)}});
    };
    updateMembershipSettings(m_options.m_fileSettings);
    registerShellListeners();
    registerTeamRules();
    addRoutes();
}

void ClusterService::start()
{
    if (m_gossipSocket.open(m_self.m_address, m_self.m_peerPort, m_startError) == 0
        || m_peerServer.listen(m_self.m_address, m_self.m_peerPort, m_startError) == 0) {
        m_shell.log().write(LogLevel::Error, "peer-port-failed", m_startError);
        return;
    }
    refreshConfigurationMembers(steadyNow());
    runDueTimers();
}

void ClusterService::stop(const ShutdownSchedule &schedule)
{
    limitAnswers(m_configuration, schedule.m_answerBy);
    processMembershipEvent([this](TimePoint now, MembershipActions &actions) {
        leaveCluster(m_membership, now, actions);
    });
}

void ClusterService::tick(TimePoint /*now*/)
{
    if (m_startError.empty()) {
        runDueTimers();
    }
}

void ClusterService::runDueTimers()
{
    processMembershipEvent([this](TimePoint now, MembershipActions &actions) {
        advanceTime(m_membership, now, actions);
    });
    const TimePoint now = steadyNow();
    if (now >= m_nextMemberRefresh) {
        refreshConfigurationMembers(now);
    }
    processConfigurationEvent([this](TimePoint at, ConfigurationActions &actions) {
        advanceTime(m_configuration, at, actions);
    });
    if (m_configuration.m_storeContact) {
        recordStoreContact(m_membership, *m_configuration.m_storeContact);
    }
    scheduleTimer();
}

void ClusterService::scheduleTimer()
{
    const TimePoint nextTimer = std::min(nextWakeUp(m_membership), nextWakeUp(m_configuration));
    m_timer.expires_at(std::max(nextTimer, steadyNow() + minimumTimerDelay));
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            runDueTimers();
        }
    });
}

void ClusterService::refreshConfigurationMembers(TimePoint now)
{
    m_nextMemberRefresh = now + memberRefreshInterval;
    std::vector<ConfigurationMember> members;
    for (const MemberUpdate &member : usableMembers(m_membership, now)) {
        members.push_back({member.m_name, member.m_dataCentre});
    }
    // A node that starts may pull from any node in its files, as no live members are known yet.
    if (!m_configuration.m_ready && members.empty()) {
        for (const std::pair<const std::string, MembershipSeed> &seed : m_membership.m_seeds) {
            members.push_back({seed.first, seed.second.m_dataCentre});
        }
    }
    processConfigurationEvent([this, &members](TimePoint at, ConfigurationActions &actions) {
        updateMembers(m_configuration, at, members, actions);
    });
}

std::optional<MembershipSeed> ClusterService::findPeer(const std::string &name) const
{
    const auto member = m_membership.m_members.find(name);
    if (member != m_membership.m_members.end()) {
        const MemberUpdate &update = member->second.m_update;
        return MembershipSeed{name, update.m_dataCentre, update.m_address, update.m_peerPort,
                              update.m_callerPort};
    }
    const auto seed = m_membership.m_seeds.find(name);
    if (seed != m_membership.m_seeds.end()) {
        return seed->second;
    }
    return std::nullopt;
}

void ClusterService::pullFromPeer(const std::string &peer, PullRequest request,
                                  std::function<void(const PullReply *)> handler)
{
    const std::optional<MembershipSeed> endpoint = findPeer(peer);
    if (!endpoint) {
        handler(nullptr);
        return;
    }
    request.m_sender = m_self.m_name;
    request.m_revision = m_configuration.m_revision;
    const std::weak_ptr<bool> lifetime = m_lifetimeToken;
    callPeer(m_shell.context(), endpoint->m_address, endpoint->m_peerPort,
             PeerRequest{++m_lastRequestId, request}, pullTimeout, m_peerCallStatistics,
             [lifetime, handler = std::move(handler)](const std::optional<PeerReply> &reply) {
                 if (lifetime.expired()) {
                     return;
                 }
                 handler(reply && reply->m_pull ? &*reply->m_pull : nullptr);
             });
}

PeerReply ClusterService::createPullReply(const PeerRequest &request) const
{
    PeerReply reply;
    reply.m_id = request.m_id;
    if (!request.m_pull) {
        return reply;
    }
    PullReply &pullReply = reply.m_pull.emplace();
    pullReply.m_sender = m_self.m_name;
    pullReply.m_revision = m_configuration.m_revision;
    if (request.m_pull->m_wantConfiguration && m_configuration.m_revision > 0) {
        pullReply.m_configuration = m_configuration.m_text;
    }
    if (request.m_pull->m_wantState) {
        pullReply.m_state = takeSnapshot(m_membership, steadyNow());
    }
    return reply;
}

std::optional<std::string> ClusterService::unreadyReason() const
{
    if (!m_startError.empty()) {
        return m_startError;
    }
    const std::string reason = readinessReason(m_configuration);
    if (reason.empty()) {
        return std::nullopt;
    }
    return reason;
}

void ClusterService::contributeStatus(boost::json::object &status) const
{
    const TimePoint now = steadyNow();
    boost::json::object memberCounts;
    std::set<std::string> unreachableDataCentres;
    for (const MemberView &view : memberViews(m_membership, now)) {
        const std::string_view state = memberStateName(view.m_member.m_state);
        const boost::json::value *count = memberCounts.if_contains(state);
        memberCounts[state] = (count == nullptr ? 0 : count->to_number<std::int64_t>()) + 1;
        if (!view.m_reachable) {
            unreachableDataCentres.insert(view.m_member.m_dataCentre);
        }
    }
    boost::json::array dataCentresNotHeard;
    for (const std::string &dataCentre : unreachableDataCentres) {
        dataCentresNotHeard.emplace_back(dataCentre);
    }
    boost::json::array alarms;
    for (const std::pair<const ConfigurationAlarmKind, std::string> &alarm :
         m_configuration.m_alarms) {
        alarms.push_back(
            {{"alarm", configurationAlarmName(alarm.first)}, {"detail", alarm.second}});
    }
    boost::json::object cluster{{"members", std::move(memberCounts)},
                                {"dataCentresNotHeard", std::move(dataCentresNotHeard)},
                                {"storeWatcher", m_configuration.m_watcher},
                                {"awareness", m_membership.m_awareness},
                                {"alarms", std::move(alarms)}};
    if (m_configuration.m_storeContact) {
        cluster["storeContactAgeSeconds"] =
            std::chrono::duration<double>(now - *m_configuration.m_storeContact).count();
    }
    status["cluster"] = std::move(cluster);
}

void ClusterService::contributeMetrics(MetricFamilies &families) const
{
    const MembershipStatistics &gossip = m_membership.m_statistics;
    const ConfigurationStatistics &configuration = m_configuration.m_statistics;
    addGauge(families, "arbutusgrade_configuration_revision", "Revision in force.",
             static_cast<double>(m_configuration.m_revision));
    addGauge(families, "arbutusgrade_configuration_alarms", "Alarms raised and not over.",
             static_cast<double>(m_configuration.m_alarms.size()));
    addGauge(families, "arbutusgrade_members_usable", "Other nodes that are in use.",
             static_cast<double>(usableMembers(m_membership, steadyNow()).size()));
    const std::pair<std::string_view, std::uint64_t> counters[] = {
        {"arbutusgrade_gossip_datagrams_total", m_gossipSocket.statistics().m_sent},
        {"arbutusgrade_gossip_bytes_total", m_gossipSocket.statistics().m_sentBytes},
        {"arbutusgrade_gossip_received_bytes_total", m_gossipSocket.statistics().m_receivedBytes},
        {"arbutusgrade_gossip_malformed_total", m_gossipSocket.statistics().m_malformed},
        {"arbutusgrade_gossip_withheld_total", gossip.m_withheldDatagrams},
        {"arbutusgrade_member_suspicions_total", gossip.m_suspicions},
        {"arbutusgrade_member_deaths_total", gossip.m_deaths},
        {"arbutusgrade_pauses_total", gossip.m_pauses},
        {"arbutusgrade_peer_bytes_total",
         m_peerServer.statistics().m_sentBytes + m_peerCallStatistics.m_sentBytes},
        {"arbutusgrade_configuration_reads_total", configuration.m_reads},
        {"arbutusgrade_configuration_watches_total", configuration.m_watches},
        {"arbutusgrade_configuration_writes_total", configuration.m_writes},
        {"arbutusgrade_configuration_pulls_total", configuration.m_pulls},
    };
    for (const std::pair<std::string_view, std::uint64_t> &counter : counters) {
        addCounter(families, counter.first, "Count since start.",
                   static_cast<double>(counter.second));
    }
}

} // namespace arbutusgrade
