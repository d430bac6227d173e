#include "details/clusterservice.h"

namespace arbutusgrade {

void ClusterService::updateMembershipSettings(const Settings &settings)
{
    std::vector<MembershipSeed> seeds;
    for (const NodeSettings &node : settings.m_nodes) {
        seeds.push_back(
            {node.m_name, node.m_dataCentre, node.m_address, node.m_peerPort, node.m_callerPort});
    }
    updateSeeds(m_membership, seeds);
    std::vector<TargetLocation> targets;
    for (const GroupSettings &group : settings.m_groups) {
        for (const ServiceSettings &service : group.m_services) {
            for (const TargetSettings &target : service.m_targets) {
                targets.push_back({target.m_name, target.m_dataCentre});
            }
        }
    }
    updateTargets(m_membership, steadyNow(), targets);
}

void ClusterService::registerShellListeners()
{
    m_shell.addDrainListener([this](const AnnounceDrain &drain) {
        processMembershipEvent([this, &drain](TimePoint now, MembershipActions &actions) {
            shareDraining(m_membership, now, drain.m_target, actions);
        });
    });
    m_shell.addQuarantineListener([this](const AnnounceQuarantine &quarantine) {
        processMembershipEvent([this, &quarantine](TimePoint now, MembershipActions &actions) {
            shareQuarantine(m_membership, now,
                            {quarantine.m_notice.m_fingerprint, quarantine.m_notice.m_lostTargets,
                             quarantine.m_notice.m_remaining},
                            actions);
        });
    });
    m_shell.addProbeListener(
        [this](const TargetObservation &observation) { handleTargetObservation(observation); });
    m_shell.setProberRule([this](const TargetSettings &target) {
        const auto entry = m_membership.m_targets.find(target.m_name);
        return entry != m_membership.m_targets.end() && entry->second.m_isProber;
    });
    // Reading the VM list costs a store call, so only watchers do it and spread the result by
    // gossip.
    m_shell.setVmListRule([this] { return m_configuration.m_watcher; });
}

void ClusterService::handleTargetObservation(const TargetObservation &observation)
{
    processMembershipEvent([this, &observation](TimePoint now, MembershipActions &actions) {
        if (!observation.m_reachable) {
            if (observation.m_draining.value_or(false)) {
                shareDraining(m_membership, now, observation.m_target, actions);
            }
            return;
        }
        std::optional<TargetProbeResult> result;
        if (*observation.m_reachable) {
            result =
                TargetProbeResult{observation.m_startId, observation.m_draining.value_or(false),
                                  observation.m_holdings};
        }
        handleTargetProbe(m_membership, now, observation.m_target, result, actions);
    });
}

void ClusterService::performActions(const MembershipActions &actions)
{
    for (const MembershipAction &action : actions) {
        std::visit([this](const auto &concrete) { perform(concrete); }, action);
    }
}

void ClusterService::perform(const SendGossip &action)
{
    m_gossipSocket.send(action.m_address, action.m_port, action.m_message);
}

void ClusterService::perform(const PullMembership &action)
{
    PullRequest request;
    request.m_wantState = true;
    pullFromPeer(action.m_peer, request, [this](const PullReply *reply) {
        if (reply == nullptr) {
            return;
        }
        processMembershipEvent([this, reply](TimePoint now, MembershipActions &actions) {
            applySnapshot(m_membership, now, reply->m_state, actions);
        });
    });
}

void ClusterService::perform(const ProbeTarget & /*action*/)
{
    // The shell probes the targets selected by its prober rule on its own timers.
}

void ClusterService::perform(const MembersChanged & /*action*/)
{
    // Deferred to the next timer, so that a burst of changes reassigns the roles only once.
    m_nextMemberRefresh = steadyNow();
}

void ClusterService::perform(const PeerRevisionSeen &action)
{
    processConfigurationEvent([this, &action](TimePoint now, ConfigurationActions &actions) {
        observePeerRevision(m_configuration, now, action.m_peer, action.m_revision, actions);
    });
}

void ClusterService::perform(const StoreContactSeen &action)
{
    observeStoreContact(m_configuration, steadyNow(), action.m_age);
}

void ClusterService::perform(const TargetStateChanged &action)
{
    TargetObservation observation;
    observation.m_target = action.m_state.m_target;
    observation.m_reachable = action.m_state.m_reachable;
    observation.m_draining = action.m_state.m_draining;
    observation.m_holdings = action.m_state.m_holdings;
    observation.m_startId = action.m_state.m_startId;
    m_shell.observeTarget(observation);
}

void ClusterService::perform(const QuarantineLearned &action)
{
    m_shell.observeQuarantine({action.m_quarantine.m_fingerprint, action.m_quarantine.m_lostTargets,
                               action.m_quarantine.m_remaining});
}

} // namespace arbutusgrade
