#pragma once

#include <map>

#include <boost/asio/steady_timer.hpp>

#include "administration/administration.h"
#include "cluster/cluster.h"
#include "configuration/configuration.h"
#include "membership/membership.h"
#include "peer/peer.h"

namespace arbutusgrade {

//! @brief Runs the membership and configuration state machines of a node with their I/O and timers.
class ClusterService : public NodeService
{
public:
    ClusterService(NodeShell &shell, const ClusterOptions &options, const NodeSettings &self);

    void start() override;
    void stop(const ShutdownSchedule &schedule) override;
    void tick(TimePoint now) override;
    void settingsAdopted(const Settings &settings, std::int64_t revision) override;
    void contributeStatus(boost::json::object &status) const override;
    std::optional<std::string> unreadyReason() const override;
    void contributeMetrics(MetricFamilies &families) const override;

private:
    using WriteResponder = std::function<void(const AnswerWrite &)>;

    // clusterservice.cpp
    void runDueTimers();
    void scheduleTimer();
    void refreshConfigurationMembers(TimePoint now);
    std::optional<MembershipSeed> findPeer(const std::string &name) const;
    void pullFromPeer(const std::string &peer, PullRequest request,
                      std::function<void(const PullReply *)> handler);
    PeerReply createPullReply(const PeerRequest &request) const;

    // membershipservice.cpp
    void updateMembershipSettings(const Settings &settings);
    void handleTargetObservation(const TargetObservation &observation);
    void registerShellListeners();
    //! Passes the event to the membership state machine and performs the resulting actions.
    template <typename Event> void processMembershipEvent(Event event)
    {
        MembershipActions actions;
        event(steadyNow(), actions);
        performActions(actions);
    }
    void performActions(const MembershipActions &actions);
    void perform(const SendGossip &action);
    void perform(const PullMembership &action);
    void perform(const ProbeTarget &action);
    void perform(const MembersChanged &action);
    void perform(const PeerRevisionSeen &action);
    void perform(const StoreContactSeen &action);
    void perform(const TargetStateChanged &action);
    void perform(const QuarantineLearned &action);

    // configurationservice.cpp
    //! Passes the event to the configuration state machine and performs the resulting actions.
    template <typename Event> void processConfigurationEvent(Event event)
    {
        ConfigurationActions actions;
        event(steadyNow(), actions);
        performActions(actions);
    }
    void performActions(const ConfigurationActions &actions);
    void perform(const CallConfigurationStore &action);
    void perform(const PullConfiguration &action);
    void perform(const PutSettingsInForce &action);
    void perform(const RaiseConfigurationAlarm &action);
    void perform(const AnswerWrite &action);
    void perform(const AnswerChange &action);
    void processStoreReply(std::uint64_t call, ConfigurationCallKind kind, const StoreReply &reply);

    // teams.cpp
    void registerTeamRules();
    //! Takes a token from the rate limit of the team. Returns false if none is left.
    bool consumeQuota(const std::string &team);
    //! Responds with status 401 and returns false if the settings define teams and the request's
    //! token belongs to none of them.
    bool authorize(const HttpRequest &request, const HttpResponder &responder) const;
    //! Returns the team of the request's token; null if it has none or no teams are defined.
    const TeamSettings *findRequestTeam(const HttpRequest &request) const;
    //! Returns the changes that the team of the request may not make.
    std::vector<Finding> findForbiddenWrites(const HttpRequest &request,
                                             const ConfigurationWrite &write) const;

    // administrationservice.cpp
    void addRoutes();
    using Route = void (ClusterService::*)(const HttpRequest &, const HttpResponder &);
    void addRoute(std::string_view method, std::string_view path, Route route);
    void showConfiguration(const HttpRequest &request, const HttpResponder &responder);
    void submitConfiguration(const HttpRequest &request, const HttpResponder &responder);
    void showChange(const HttpRequest &request, const HttpResponder &responder);
    void showNodes(const HttpRequest &request, const HttpResponder &responder);
    void changeDraining(const HttpRequest &request, const HttpResponder &responder);
    void writeDraining(const std::string &target, bool draining, int attemptsLeft,
                       const HttpResponder &responder);
    void submit(ConfigurationWrite write, WriteResponder responder);

    std::map<std::string, TokenBucket> m_quotaBuckets; //!< By team.
    NodeShell &m_shell;
    ClusterOptions m_options;
    NodeSettings m_self;
    MembershipCore m_membership;
    ConfigurationCore m_configuration;
    GossipSocket m_gossipSocket;
    PeerServer m_peerServer;
    PeerStatistics m_peerCallStatistics;
    asio::steady_timer m_timer;
    TimePoint m_nextMemberRefresh{};
    std::uint64_t m_lastRequestId = 0;
    std::map<std::uint64_t, WriteResponder> m_pendingWrites;
    std::map<std::uint64_t, HttpResponder> m_pendingLookups;
    std::string m_startError;
    //! Lets pending callbacks detect that the service was destroyed.
    std::shared_ptr<bool> m_lifetimeToken = std::make_shared<bool>(true);
};

} // namespace arbutusgrade
