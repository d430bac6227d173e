#pragma once

#include <map>

#include <boost/asio/steady_timer.hpp>

#include "cluster/cluster.h"
#include "configuration/configuration.h"
#include "membership/membership.h"
#include "peer/peer.h"

namespace arbutusgrade {

//! @brief Both cores of one node with their sockets and timers.
class ClusterService : public NodeService
{
public:
    ClusterService(NodeShell &shell, const ClusterOptions &options, const NodeSettings &self);

    void start() override;
    void stop() override;
    void tick(TimePoint now) override;
    void settingsAdopted(const Settings &settings, std::int64_t revision) override;
    void contributeStatus(boost::json::object &status) const override;
    std::optional<std::string> unreadyReason() const override;
    void contributeMetrics(MetricFamilies &families) const override;

private:
    using Responder = std::function<void(const AnswerWrite &)>;

    // clusterservice.cpp
    void advance();
    void armTimer();
    void refreshMembers(TimePoint now);
    std::optional<MembershipSeed> findPeer(const std::string &name) const;
    void pull(const std::string &peer, PullRequest request,
              std::function<void(const PullReply *)> handler);
    PeerReply answerPull(const PeerRequest &request) const;

    // membershipservice.cpp
    void feedSeeds(const Settings &settings);
    void takeProbe(const TargetObservation &observation);
    void listenToShell();
    template <typename Event> void feedMembership(Event event)
    {
        MembershipActions actions;
        event(steadyNow(), actions);
        performAll(actions);
    }
    void performAll(const MembershipActions &actions);
    void perform(const SendGossip &action);
    void perform(const PullMembership &action);
    void perform(const ProbeTarget &action);
    void perform(const MembersChanged &action);
    void perform(const PeerRevisionSeen &action);
    void perform(const StoreContactSeen &action);
    void perform(const TargetStateChanged &action);
    void perform(const QuarantineLearned &action);

    // configurationservice.cpp
    template <typename Event> void feedConfiguration(Event event)
    {
        ConfigurationActions actions;
        event(steadyNow(), actions);
        performAll(actions);
    }
    void performAll(const ConfigurationActions &actions);
    void perform(const CallConfigurationStore &action);
    void perform(const PullConfiguration &action);
    void perform(const PutSettingsInForce &action);
    void perform(const RaiseConfigurationAlarm &action);
    void perform(const AnswerWrite &action);
    void perform(const AnswerChange &action);
    void takeStoreReply(std::uint64_t call, ConfigurationCallKind kind, const StoreReply &reply);

    // administrationservice.cpp
    void addRoutes();
    void showConfiguration(const HttpResponder &responder) const;
    void submitConfiguration(const HttpRequest &request, const HttpResponder &responder);
    void showChange(const HttpRequest &request, const HttpResponder &responder);
    void showNodes(const HttpResponder &responder) const;
    void changeDraining(const HttpRequest &request, const HttpResponder &responder);
    void writeDraining(const std::string &target, bool draining, int tries,
                       const HttpResponder &responder);
    void submit(ConfigurationWrite write, Responder responder);

    NodeShell &m_shell;
    ClusterOptions m_options;
    NodeSettings m_self;
    MembershipCore m_membership;
    ConfigurationCore m_configuration;
    GossipSocket m_socket;
    PeerServer m_server;
    PeerStatistics m_calls;
    asio::steady_timer m_timer;
    TimePoint m_nextRefresh{};
    std::uint64_t m_lastRequest = 0;
    std::map<std::uint64_t, Responder> m_writes;
    std::map<std::uint64_t, HttpResponder> m_lookUps;
    std::string m_startError;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); //!< Guards late callbacks.
};

} // namespace arbutusgrade
