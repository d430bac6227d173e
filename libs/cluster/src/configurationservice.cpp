#include "details/clusterservice.h"

namespace arbutusgrade {

namespace {

ConfigurationCallStatus callStatus(ConfigurationCallKind kind, StoreStatus status)
{
    switch (status) {
    case StoreStatus::Ok:
        return ConfigurationCallStatus::Ok;
    case StoreStatus::NotFound:
        // A watch that ends without a change does not indicate whether the key exists.
        return kind == ConfigurationCallKind::Watch ? ConfigurationCallStatus::Unchanged
                                                    : ConfigurationCallStatus::NotFound;
    case StoreStatus::Conflict:
        return ConfigurationCallStatus::Conflict;
    case StoreStatus::Unavailable:
        break;
    }
    return ConfigurationCallStatus::Unavailable;
}

} // namespace

void ClusterService::settingsAdopted(const Settings &settings, std::int64_t revision)
{
    updateMembershipSettings(settings);
    if (!m_configuration.m_ready) {
        return;
    }
    processMembershipEvent([this, revision](TimePoint now, MembershipActions &actions) {
        shareRevision(m_membership, now, revision, actions);
    });
}

void ClusterService::performActions(const ConfigurationActions &actions)
{
    for (const ConfigurationAction &action : actions) {
        std::visit([this](const auto &concrete) { perform(concrete); }, action);
    }
}

void ClusterService::perform(const CallConfigurationStore &action)
{
    const std::uint64_t call = action.m_call;
    const ConfigurationCallKind kind = action.m_kind;
    const std::weak_ptr<bool> lifetime = m_lifetimeToken;
    const StoreHandler handler = [this, lifetime, call, kind](const StoreReply &reply) {
        if (!lifetime.expired()) {
            processStoreReply(call, kind, reply);
        }
    };
    if (kind == ConfigurationCallKind::Watch) {
        m_shell.store().watch(configurationKey, action.m_revision,
                              std::chrono::duration_cast<std::chrono::seconds>(action.m_wait),
                              handler);
        return;
    }
    CallStore request;
    request.m_call = call;
    request.m_operation =
        kind == ConfigurationCallKind::Read ? StoreOperation::Get : StoreOperation::CompareAndSwap;
    request.m_key = std::string(configurationKey);
    request.m_value = action.m_value;
    request.m_expectedRevision = action.m_revision;
    request.m_deadline = action.m_deadline;
    m_shell.store().call(request, handler);
}

void ClusterService::processStoreReply(std::uint64_t call, ConfigurationCallKind kind,
                                       const StoreReply &reply)
{
    ConfigurationStoreReply result;
    result.m_call = call;
    result.m_status = callStatus(kind, reply.m_status);
    result.m_value = reply.m_value;
    result.m_revision = reply.m_revision;
    if (result.m_status == ConfigurationCallStatus::Unchanged) {
        result.m_revision = -1;
    }
    processConfigurationEvent([this, &result](TimePoint now, ConfigurationActions &actions) {
        handleStoreReply(m_configuration, now, result, actions);
    });
}

void ClusterService::perform(const PullConfiguration &action)
{
    PullRequest request;
    request.m_wantConfiguration = true;
    const std::uint64_t pullId = action.m_pull;
    pullFromPeer(action.m_peer, request, [this, pullId](const PullReply *reply) {
        processConfigurationEvent([this, pullId, reply](TimePoint now,
                                                        ConfigurationActions &actions) {
            std::optional<std::int64_t> revision;
            std::string_view document;
            if (reply != nullptr) {
                document = reply->m_configuration ? *reply->m_configuration : std::string_view();
                revision = document.empty() ? 0 : reply->m_revision;
            }
            handleConfigurationPull(m_configuration, now, pullId, revision, document, actions);
        });
    });
}

void ClusterService::perform(const PutSettingsInForce &action)
{
    // The settings of the files are revision 0 too and may already be active.
    if (action.m_revision > m_shell.revision()) {
        m_shell.adoptSettings(*action.m_settings, action.m_revision);
    }
    m_nextMemberRefresh = steadyNow();
}

void ClusterService::perform(const RaiseConfigurationAlarm &action)
{
    m_shell.log().write(LogLevel::Error, "configuration-alarm", action.m_detail,
                        {{"alarm", configurationAlarmName(action.m_kind)}});
}

void ClusterService::perform(const AnswerWrite &action)
{
    const auto found = m_pendingWrites.find(action.m_request);
    if (found == m_pendingWrites.end()) {
        return;
    }
    const WriteResponder responder = std::move(found->second);
    m_pendingWrites.erase(found);
    responder(action);
}

} // namespace arbutusgrade
