#include "details/clusterservice.h"

namespace arbutusgrade {

namespace {

ConfigurationCallStatus statusOf(ConfigurationCallKind kind, StoreStatus status)
{
    switch (status) {
    case StoreStatus::Ok:
        return ConfigurationCallStatus::Ok;
    case StoreStatus::NotFound:
        // The end of a watch does not tell whether the key exists.
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
    feedSeeds(settings);
    if (!m_configuration.m_ready) {
        return;
    }
    feedMembership([this, revision](TimePoint now, MembershipActions &actions) {
        shareRevision(m_membership, now, revision, actions);
    });
}

void ClusterService::performAll(const ConfigurationActions &actions)
{
    for (const ConfigurationAction &action : actions) {
        std::visit([this](const auto &concrete) { perform(concrete); }, action);
    }
}

void ClusterService::perform(const CallConfigurationStore &action)
{
    const std::uint64_t call = action.m_call;
    const ConfigurationCallKind kind = action.m_kind;
    const std::weak_ptr<bool> alive = m_alive;
    const StoreHandler handler = [this, alive, call, kind](const StoreReply &reply) {
        if (!alive.expired()) {
            takeStoreReply(call, kind, reply);
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

void ClusterService::takeStoreReply(std::uint64_t call, ConfigurationCallKind kind,
                                    const StoreReply &reply)
{
    ConfigurationStoreReply result;
    result.m_call = call;
    result.m_status = statusOf(kind, reply.m_status);
    result.m_value = reply.m_value;
    result.m_revision = reply.m_revision;
    if (result.m_status == ConfigurationCallStatus::Unchanged) {
        result.m_revision = -1;
    }
    feedConfiguration([this, &result](TimePoint now, ConfigurationActions &actions) {
        handleStoreReply(m_configuration, now, result, actions);
    });
}

void ClusterService::perform(const PullConfiguration &action)
{
    PullRequest request;
    request.m_wantConfiguration = true;
    const std::uint64_t id = action.m_pull;
    pull(action.m_peer, request, [this, id](const PullReply *reply) {
        feedConfiguration([this, id, reply](TimePoint now, ConfigurationActions &actions) {
            std::optional<std::int64_t> revision;
            std::string_view text;
            if (reply != nullptr) {
                text = reply->m_configuration ? *reply->m_configuration : std::string_view();
                revision = text.empty() ? 0 : reply->m_revision;
            }
            handleConfigurationPull(m_configuration, now, id, revision, text, actions);
        });
    });
}

void ClusterService::perform(const PutSettingsInForce &action)
{
    // The shell may already have the files in force, which are revision 0 too.
    if (action.m_revision > m_shell.revision()) {
        m_shell.adoptSettings(*action.m_settings, action.m_revision);
    }
    m_nextRefresh = steadyNow();
}

void ClusterService::perform(const RaiseConfigurationAlarm &action)
{
    m_shell.log().write(LogLevel::Error, "configuration-alarm", action.m_detail,
                        {{"alarm", configurationAlarmName(action.m_kind)}});
}

void ClusterService::perform(const AnswerWrite &action)
{
    const auto found = m_writes.find(action.m_request);
    if (found == m_writes.end()) {
        return;
    }
    const Responder responder = std::move(found->second);
    m_writes.erase(found);
    responder(action);
}

} // namespace arbutusgrade
