#include <algorithm>
#include <set>

#include "configuration/configuration.h"
#include "details/core.h"

namespace arbutusgrade {

namespace {

using configurationdetails::callStore;
using configurationdetails::retryDelay;

constexpr Duration longestWriteRetry{2'000'000};

//! @brief Findings of all sites that the document names or that the settings in force have.
std::vector<Finding> checkAllSites(const ConfigurationCore &core, const ConfigurationWrite &write)
{
    std::set<std::string> sites{core.m_options.m_dataCentre};
    for (const std::pair<const std::string, std::string> &overlay : write.m_overlays) {
        sites.insert(overlay.first);
    }
    std::vector<Finding> findings;
    for (const std::string &site : sites) {
        const Checked<Settings> settings =
            configurationdetails::parseSite(core, write.m_base, write.m_overlays, site);
        if (settings) {
            continue;
        }
        for (const Finding &finding : settings.error()) {
            const auto same = [&finding](const Finding &other) {
                return formatFinding(other) == formatFinding(finding);
            };
            if (std::none_of(findings.begin(), findings.end(), same)) {
                findings.push_back(finding);
            }
        }
    }
    return findings;
}

ConfigurationDocument nextDocument(const ConfigurationDocument &replaced,
                                   const ConfigurationWrite &write)
{
    ConfigurationDocument document;
    document.m_changeId = write.m_changeId;
    document.m_author = write.m_author;
    document.m_timestamp = write.m_timestamp;
    document.m_base = write.m_base;
    document.m_overlays = write.m_overlays;
    document.m_draining = write.m_draining.value_or(replaced.m_draining);
    document.m_changes.push_back({write.m_expectedRevision, 0, write.m_changeId, write.m_author,
                                  write.m_timestamp, write.m_summary});
    for (const ConfigurationChange &change : replaced.m_changes) {
        if (document.m_changes.size() == configurationHistoryLimit) {
            break;
        }
        document.m_changes.push_back(change);
    }
    return document;
}

void finish(ConfigurationCore &core, AnswerWrite answer, ConfigurationActions &actions)
{
    core.m_writes.erase(answer.m_request);
    actions.emplace_back(std::move(answer));
}

//! @brief Ends a write whose effect is not known, or that had none.
void finishUnsettled(ConfigurationCore &core, const PendingWrite &pending, const std::string &error,
                     ConfigurationActions &actions)
{
    AnswerWrite answer;
    answer.m_request = pending.m_write.m_request;
    answer.m_result = pending.m_sent ? WriteResult::Unknown : WriteResult::NotApplied;
    answer.m_error = error;
    finish(core, std::move(answer), actions);
}

AnswerWrite acceptedAnswer(const ConfigurationWrite &write, std::int64_t revision)
{
    AnswerWrite answer;
    answer.m_request = write.m_request;
    answer.m_result = WriteResult::Accepted;
    answer.m_revision = revision;
    answer.m_changeId = write.m_changeId;
    return answer;
}

AnswerWrite conflictAnswer(const ConfigurationWrite &write, const ConfigurationDocument &current,
                           std::int64_t revision)
{
    AnswerWrite answer;
    answer.m_request = write.m_request;
    answer.m_result = WriteResult::Conflict;
    answer.m_revision = revision;
    answer.m_changeId = current.m_changeId;
    answer.m_author = current.m_author;
    answer.m_difference = describeDifference(current, nextDocument(current, write));
    return answer;
}

void callForWrite(ConfigurationCore &core, TimePoint now, PendingWrite &pending,
                  CallConfigurationStore call, ConfigurationActions &actions)
{
    pending.m_call = callStore(core, now, std::move(call), actions);
    pending.m_retryAt = now + core.m_options.m_callTimeout;
}

void readForWrite(ConfigurationCore &core, TimePoint now, PendingWrite &pending,
                  ConfigurationActions &actions)
{
    pending.m_reading = true;
    callForWrite(core, now, pending, CallConfigurationStore{}, actions);
}

void sendWrite(ConfigurationCore &core, TimePoint now, PendingWrite &pending,
               std::int64_t expectedRevision, ConfigurationActions &actions)
{
    pending.m_reading = false;
    CallConfigurationStore call;
    call.m_kind = ConfigurationCallKind::CompareAndSwap;
    call.m_value = pending.m_text;
    call.m_revision = expectedRevision;
    callForWrite(core, now, pending, std::move(call), actions);
}

//! @brief Composes the document over the one replaced and sends it, if it is not too large.
void composeAndSend(ConfigurationCore &core, TimePoint now, PendingWrite &pending,
                    const ConfigurationDocument &replaced, std::int64_t expectedRevision,
                    ConfigurationActions &actions)
{
    if (pending.m_text.empty()) {
        pending.m_text = formatConfigurationDocument(nextDocument(replaced, pending.m_write));
    }
    if (pending.m_text.size() > configurationLimitBytes) {
        AnswerWrite answer;
        answer.m_request = pending.m_write.m_request;
        answer.m_result = WriteResult::Invalid;
        answer.m_findings = {Finding{"base", 0, 0, "the document exceeds 1 MB"}};
        finish(core, std::move(answer), actions);
        return;
    }
    sendWrite(core, now, pending, expectedRevision, actions);
}

//! @brief True if the changes since the revision are all in the history of the document.
bool historyReaches(const ConfigurationDocument &document, std::int64_t revision)
{
    return std::any_of(
        document.m_changes.begin(), document.m_changes.end(),
        [revision](const ConfigurationChange &change) { return change.m_replaced <= revision; });
}

//! @brief Decides a write by the document that the store holds now.
void settle(ConfigurationCore &core, TimePoint now, PendingWrite &pending,
            const ConfigurationStoreReply &reply, ConfigurationActions &actions)
{
    const ConfigurationWrite &write = pending.m_write;
    if (reply.m_revision < core.m_revision) {
        finishUnsettled(core, pending, "the store holds an older revision than is in force",
                        actions);
        return;
    }
    const Checked<ConfigurationDocument> current =
        parseConfigurationDocument(reply.m_value, reply.m_revision);
    if (!current) {
        finishUnsettled(core, pending, "the store holds a document that cannot be read", actions);
        return;
    }
    const ConfigurationChange *change = findChange(current.value(), write.m_changeId);
    if (change != nullptr) {
        finish(core, acceptedAnswer(write, change->m_revision), actions);
        return;
    }
    if (reply.m_revision == write.m_expectedRevision
        || core.m_options.m_mutant == ConfigurationMutant::ViewArbitrates) {
        // A write that is still on its way has the same text and expected revision, so that at
        // most one of the two takes effect.
        composeAndSend(core, now, pending, current.value(), reply.m_revision, actions);
        return;
    }
    if (pending.m_sent
        && (reply.m_revision < write.m_expectedRevision
            || !historyReaches(current.value(), write.m_expectedRevision))) {
        finishUnsettled(core, pending, "the change may be older than the history of the document",
                        actions);
        return;
    }
    finish(core, conflictAnswer(write, current.value(), reply.m_revision), actions);
}

void settleWithoutDocument(ConfigurationCore &core, TimePoint now, PendingWrite &pending,
                           ConfigurationActions &actions)
{
    if (core.m_revision > 0 || pending.m_write.m_expectedRevision != 0) {
        finishUnsettled(core, pending, "the store holds no document", actions);
        return;
    }
    composeAndSend(core, now, pending, core.m_document, 0, actions);
}

void retryLater(ConfigurationCore &core, TimePoint now, PendingWrite &pending)
{
    pending.m_call = 0;
    ++pending.m_tries;
    pending.m_retryAt = now + retryDelay(core.m_random, pending.m_tries, longestWriteRetry);
}

void handleReply(ConfigurationCore &core, TimePoint now, PendingWrite &pending,
                 const ConfigurationStoreReply &reply, ConfigurationActions &actions)
{
    switch (reply.m_status) {
    case ConfigurationCallStatus::Ok: {
        configurationdetails::takeStoreDocument(core, now, reply.m_revision,
                                                pending.m_reading ? reply.m_value : pending.m_text,
                                                actions);
        if (pending.m_reading) {
            settle(core, now, pending, reply, actions);
        } else {
            finish(core, acceptedAnswer(pending.m_write, reply.m_revision), actions);
        }
        return;
    }
    case ConfigurationCallStatus::Conflict:
        if (reply.m_revision == 0) {
            configurationdetails::takeStoreNone(core, now, actions);
            finishUnsettled(core, pending, "the store holds no document", actions);
            return;
        }
        configurationdetails::takeStoreDocument(core, now, reply.m_revision, reply.m_value,
                                                actions);
        settle(core, now, pending, reply, actions);
        return;
    case ConfigurationCallStatus::NotFound:
        configurationdetails::takeStoreNone(core, now, actions);
        settleWithoutDocument(core, now, pending, actions);
        return;
    case ConfigurationCallStatus::NotSent:
        retryLater(core, now, pending);
        return;
    case ConfigurationCallStatus::Unchanged:
    case ConfigurationCallStatus::Unavailable:
        if (!pending.m_reading
            && core.m_options.m_mutant == ConfigurationMutant::LostReplyMeansFailure) {
            finishUnsettled(core, pending, "the store did not answer", actions);
            return;
        }
        pending.m_sent = pending.m_sent || !pending.m_reading;
        retryLater(core, now, pending);
        return;
    }
}

void handleLookUp(ConfigurationCore &core, TimePoint now, std::uint64_t request,
                  const std::string &changeId, const ConfigurationStoreReply &reply,
                  ConfigurationActions &actions)
{
    AnswerChange answer;
    answer.m_request = request;
    if (reply.m_status == ConfigurationCallStatus::Ok) {
        configurationdetails::takeStoreDocument(core, now, reply.m_revision, reply.m_value,
                                                actions);
        const Checked<ConfigurationDocument> document =
            parseConfigurationDocument(reply.m_value, reply.m_revision);
        const ConfigurationChange *change =
            document ? findChange(document.value(), changeId) : nullptr;
        if (change != nullptr) {
            answer.m_state = ChangeState::Accepted;
            answer.m_revision = change->m_revision;
        } else if (document && reply.m_revision >= core.m_revision) {
            answer.m_state = ChangeState::Absent;
        }
    } else if (reply.m_status == ConfigurationCallStatus::NotFound) {
        configurationdetails::takeStoreNone(core, now, actions);
        if (core.m_revision == 0) {
            answer.m_state = ChangeState::Absent;
        }
    }
    actions.emplace_back(answer);
}

bool isBeingWritten(const ConfigurationCore &core, std::string_view changeId)
{
    return std::any_of(core.m_writes.begin(), core.m_writes.end(),
                       [changeId](const std::pair<const std::uint64_t, PendingWrite> &entry) {
                           return entry.second.m_write.m_changeId == changeId;
                       });
}

} // namespace

namespace configurationdetails {

void handleWriteReply(ConfigurationCore &core, TimePoint now, const ConfigurationStoreReply &reply,
                      ConfigurationActions &actions)
{
    const auto lookUp = core.m_lookUps.find(reply.m_call);
    if (lookUp != core.m_lookUps.end()) {
        const LookUp found = lookUp->second;
        core.m_lookUps.erase(lookUp);
        handleLookUp(core, now, found.m_request, found.m_changeId, reply, actions);
        return;
    }
    for (std::pair<const std::uint64_t, PendingWrite> &entry : core.m_writes) {
        PendingWrite &pending = entry.second;
        if (reply.m_call != 0 && pending.m_call == reply.m_call) {
            handleReply(core, now, pending, reply, actions);
            return;
        }
    }
}

void advanceWrites(ConfigurationCore &core, TimePoint now, ConfigurationActions &actions)
{
    std::vector<std::uint64_t> due;
    for (const std::pair<const std::uint64_t, PendingWrite> &entry : core.m_writes) {
        if (now >= entry.second.m_retryAt || now >= entry.second.m_deadline) {
            due.push_back(entry.first);
        }
    }
    for (const std::uint64_t request : due) {
        PendingWrite &pending = core.m_writes.at(request);
        const bool writeUnanswered = pending.m_call != 0 && !pending.m_reading;
        if (now >= pending.m_deadline) {
            pending.m_sent = pending.m_sent || writeUnanswered;
            finishUnsettled(core, pending, "the store did not answer in time", actions);
            continue;
        }
        if (pending.m_call != 0) {
            ConfigurationStoreReply late;
            handleReply(core, now, pending, late, actions);
            continue;
        }
        readForWrite(core, now, pending, actions);
    }
    std::vector<std::uint64_t> lateLookUps;
    for (const std::pair<const std::uint64_t, LookUp> &entry : core.m_lookUps) {
        if (now >= entry.second.m_deadline) {
            lateLookUps.push_back(entry.first);
        }
    }
    for (const std::uint64_t call : lateLookUps) {
        handleWriteReply(core, now, {call, ConfigurationCallStatus::Unavailable, std::string(), 0},
                         actions);
    }
}

} // namespace configurationdetails

void limitAnswers(ConfigurationCore &core, TimePoint answerBy)
{
    core.m_answerBy = answerBy;
    for (std::pair<const std::uint64_t, PendingWrite> &entry : core.m_writes) {
        entry.second.m_deadline = std::min(entry.second.m_deadline, answerBy);
    }
    for (std::pair<const std::uint64_t, LookUp> &entry : core.m_lookUps) {
        entry.second.m_deadline = std::min(entry.second.m_deadline, answerBy);
    }
}

void submitWrite(ConfigurationCore &core, TimePoint now, const ConfigurationWrite &write,
                 ConfigurationActions &actions)
{
    const ConfigurationChange *change = findChange(core.m_document, write.m_changeId);
    if (change != nullptr) {
        actions.emplace_back(acceptedAnswer(write, change->m_revision));
        return;
    }
    PendingWrite pending;
    pending.m_write = write;
    pending.m_deadline = std::min(now + core.m_options.m_writeTimeout, core.m_answerBy);
    if (!core.m_ready) {
        finishUnsettled(core, pending, "the node has no configuration yet", actions);
        return;
    }
    if (write.m_expectedRevision < core.m_revision) {
        actions.emplace_back(conflictAnswer(write, core.m_document, core.m_revision));
        return;
    }
    std::vector<Finding> findings = checkAllSites(core, write);
    if (!findings.empty()) {
        AnswerWrite answer;
        answer.m_request = write.m_request;
        answer.m_result = WriteResult::Invalid;
        answer.m_findings = std::move(findings);
        actions.emplace_back(std::move(answer));
        return;
    }
    PendingWrite &stored = core.m_writes[write.m_request] = std::move(pending);
    const bool viewArbitrates = core.m_options.m_mutant == ConfigurationMutant::ViewArbitrates;
    if (write.m_expectedRevision == core.m_revision && !viewArbitrates) {
        composeAndSend(core, now, stored, core.m_document, write.m_expectedRevision, actions);
    } else {
        readForWrite(core, now, stored, actions);
    }
}

void lookUpChange(ConfigurationCore &core, TimePoint now, std::uint64_t request,
                  std::string_view changeId, ConfigurationActions &actions)
{
    const ConfigurationChange *change = findChange(core.m_document, changeId);
    if (change != nullptr) {
        actions.emplace_back(AnswerChange{request, ChangeState::Accepted, change->m_revision});
        return;
    }
    if (isBeingWritten(core, changeId)) {
        actions.emplace_back(AnswerChange{request, ChangeState::Unknown, 0});
        return;
    }
    const std::uint64_t call = callStore(core, now, CallConfigurationStore{}, actions);
    const TimePoint deadline = std::min(now + core.m_options.m_callTimeout, core.m_answerBy);
    core.m_lookUps[call] = LookUp{request, std::string(changeId), deadline};
}

} // namespace arbutusgrade
