#include <algorithm>

#include "configuration/configuration.h"
#include "details/core.h"

namespace arbutusgrade {

namespace {

using configurationdetails::callStore;
using configurationdetails::raiseAlarm;
using configurationdetails::retryDelay;

constexpr Duration longestStoreRetry{5'000'000};
constexpr Duration bootPullInterval{500'000};
//! Bounds the rate of a store that answers watches at once.
constexpr Duration shortestWatchInterval{200'000};
//! One in so many watches is replaced by a read, since a watch does not show an older store.
constexpr std::uint64_t readsAmongWatches = 8;

void clearAlarm(ConfigurationCore &core, ConfigurationAlarmKind kind)
{
    core.m_alarms.erase(kind);
}

void applyDraining(const ConfigurationDocument &document, Settings &settings)
{
    for (GroupSettings &group : settings.m_groups) {
        for (ServiceSettings &service : group.m_services) {
            for (TargetSettings &target : service.m_targets) {
                const auto found = std::find(document.m_draining.begin(), document.m_draining.end(),
                                             target.m_name);
                target.m_draining = target.m_draining || found != document.m_draining.end();
            }
        }
    }
}

Checked<Settings> parseForSite(const ConfigurationCore &core, const ConfigurationDocument &document)
{
    return configurationdetails::parseSite(core, document.m_base, document.m_overlays,
                                           core.m_options.m_dataCentre);
}

std::string firstFinding(const std::vector<Finding> &findings)
{
    return findings.empty() ? std::string("no finding") : formatFinding(findings.front());
}

void putInForce(ConfigurationCore &core, std::int64_t revision, ConfigurationDocument document,
                Settings settings, ConfigurationActions &actions)
{
    applyDraining(document, settings);
    core.m_revision = revision;
    core.m_document = std::move(document);
    core.m_ready = true;
    ++core.m_statistics.m_adopted;
    actions.emplace_back(
        PutSettingsInForce{revision, std::make_shared<const Settings>(std::move(settings))});
}

//! @brief Puts the files of the command line in force; only where the store has no document.
void putFilesInForce(ConfigurationCore &core, ConfigurationActions &actions)
{
    ConfigurationDocument document;
    document.m_base = core.m_options.m_baseText;
    if (!core.m_options.m_overlayText.empty()) {
        document.m_overlays[core.m_options.m_dataCentre] = core.m_options.m_overlayText;
    }
    Checked<Settings> settings = parseForSite(core, document);
    if (!settings) {
        raiseAlarm(core, ConfigurationAlarmKind::FilesInvalid, firstFinding(settings.error()),
                   actions);
        return;
    }
    putInForce(core, 0, std::move(document), std::move(settings.value()), actions);
}

std::size_t nodesOfDataCentre(const ConfigurationCore &core)
{
    const auto count = std::count_if(core.m_members.begin(), core.m_members.end(),
                                     [&core](const ConfigurationMember &member) {
                                         return member.m_dataCentre == core.m_options.m_dataCentre;
                                     });
    return static_cast<std::size_t>(count) + 1;
}

//! @brief Spreads the polls of a data centre over time, whatever its number of nodes.
Duration pollJitter(ConfigurationCore &core)
{
    const std::int64_t span = 2 * core.m_options.m_pollSpacing.count()
                              * static_cast<std::int64_t>(nodesOfDataCentre(core));
    return Duration(static_cast<std::int64_t>(
        nextRandomBelow(core.m_random, static_cast<std::uint64_t>(span) + 1)));
}

void noteStoreContact(ConfigurationCore &core, TimePoint at)
{
    if (core.m_storeContact && *core.m_storeContact >= at) {
        return;
    }
    core.m_storeContact = at;
    if (!core.m_watcher) {
        core.m_nextCall = at + core.m_options.m_silenceLimit + pollJitter(core);
    }
}

//! @brief Ends the boot once the store has answered and a peer has too, or had time to.
//!
//! A store that lost writes may answer with less than what the peers have in force.
void finishBoot(ConfigurationCore &core, TimePoint now, ConfigurationActions &actions)
{
    if (core.m_ready || !core.m_storeAnswered) {
        return;
    }
    const bool waitedForPeer = now - *core.m_storeAnswered >= core.m_options.m_bootPeerGrace;
    if (!core.m_members.empty() && !core.m_peerAnswered && !waitedForPeer) {
        return;
    }
    if (core.m_storeSaidNone) {
        putFilesInForce(core, actions);
    } else if (!core.m_bootText.empty()) {
        const std::string text = std::exchange(core.m_bootText, {});
        configurationdetails::adoptDocument(core, core.m_bootRevision, text, actions);
    }
}

void handlePollReply(ConfigurationCore &core, TimePoint now, const ConfigurationStoreReply &reply,
                     ConfigurationActions &actions)
{
    core.m_watchCall = 0;
    core.m_readCall = 0;
    core.m_callDeadline = farFuture;
    switch (reply.m_status) {
    case ConfigurationCallStatus::Ok:
        configurationdetails::takeStoreDocument(core, now, reply.m_revision, reply.m_value,
                                                actions);
        break;
    case ConfigurationCallStatus::NotFound:
        configurationdetails::takeStoreNone(core, now, actions);
        break;
    case ConfigurationCallStatus::Unchanged:
        noteStoreContact(core, now);
        if (reply.m_revision >= 0 && reply.m_revision < core.m_revision) {
            core.m_readFirst = true;
        }
        break;
    case ConfigurationCallStatus::Conflict:
    case ConfigurationCallStatus::NotSent:
    case ConfigurationCallStatus::Unavailable:
        ++core.m_failures;
        core.m_readFirst = true;
        core.m_nextCall = now
                          + (core.m_watcher || !core.m_ready
                                 ? retryDelay(core.m_random, core.m_failures, longestStoreRetry)
                                 : pollJitter(core));
        return;
    }
    core.m_failures = 0;
    if (core.m_watcher) {
        core.m_nextCall = now + shortestWatchInterval;
    }
}

bool takeToken(ConfigurationCore &core, TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - core.m_tokensAt).count();
    core.m_tokensAt = now;
    core.m_tokens = std::min(core.m_tokens + elapsed * core.m_options.m_storeCallsPerSecond,
                             core.m_options.m_storeCallBurst);
    if (core.m_tokens < 1.0) {
        return false;
    }
    core.m_tokens -= 1.0;
    return true;
}

bool isStoreSilent(const ConfigurationCore &core, TimePoint now)
{
    return !core.m_storeContact || now - *core.m_storeContact > core.m_options.m_silenceLimit;
}

void startPoll(ConfigurationCore &core, TimePoint now, ConfigurationActions &actions)
{
    if (core.m_watchCall != 0 || core.m_readCall != 0 || now < core.m_nextCall) {
        return;
    }
    const bool booting = !core.m_ready && !core.m_storeAnswered;
    if (!core.m_watcher && !booting && !isStoreSilent(core, now)) {
        return;
    }
    if (!takeToken(core, now)) {
        core.m_nextCall = now + Duration(1'000'000);
        return;
    }
    CallConfigurationStore call;
    const bool watch = core.m_watcher && core.m_ready && !core.m_readFirst;
    if (watch) {
        call.m_kind = ConfigurationCallKind::Watch;
        call.m_revision = std::max(core.m_revision, core.m_rejectedRevision);
        call.m_wait = core.m_options.m_watchWait;
        core.m_readFirst = nextRandomBelow(core.m_random, readsAmongWatches) == 0;
    } else {
        core.m_readFirst = false;
    }
    core.m_callDeadline = now + call.m_wait + core.m_options.m_callTimeout;
    std::uint64_t &slot = watch ? core.m_watchCall : core.m_readCall;
    slot = callStore(core, now, std::move(call), actions);
}

void startPull(ConfigurationCore &core, TimePoint now, std::string_view peer,
               ConfigurationActions &actions)
{
    core.m_pullCall = ++core.m_lastCall;
    core.m_pullDeadline = now + core.m_options.m_pullTimeout;
    ++core.m_statistics.m_pulls;
    actions.emplace_back(PullConfiguration{core.m_pullCall, std::string(peer)});
}

void startBootPull(ConfigurationCore &core, TimePoint now, ConfigurationActions &actions)
{
    if (core.m_ready || core.m_pullCall != 0 || core.m_members.empty()
        || now < core.m_nextBootPull) {
        return;
    }
    core.m_nextBootPull = now + bootPullInterval;
    const std::uint64_t index = nextRandomBelow(core.m_random, core.m_members.size());
    startPull(core, now, core.m_members[index].m_name, actions);
}

//! @brief After a pause the role of a watcher counts as lapsed until the members are given again.
void lapseAfterPause(ConfigurationCore &core, TimePoint now)
{
    core.m_watcher = false;
    core.m_watchCall = 0;
    core.m_readCall = 0;
    core.m_callDeadline = farFuture;
    core.m_readFirst = true;
    core.m_nextCall = now + pollJitter(core);
}

} // namespace

namespace configurationdetails {

Checked<Settings> parseSite(const ConfigurationCore &core, const std::string &base,
                            const std::map<std::string, std::string> &overlays,
                            const std::string &site)
{
    const auto overlay = overlays.find(site);
    // A site without an overlay has a source without a name; an empty file would be a finding.
    const SettingsSource source = overlay == overlays.end()
                                      ? SettingsSource{}
                                      : SettingsSource{"overlay " + site, overlay->second};
    return core.m_options.m_parse({"base", base}, source);
}

Duration retryDelay(RandomGenerator &random, int failures, Duration longest)
{
    constexpr std::int64_t shortest = 250'000;
    const std::int64_t doubled = shortest << std::clamp(failures, 0, 10);
    const std::int64_t bound = std::min(doubled, longest.count());
    const std::uint64_t jitter = nextRandomBelow(random, static_cast<std::uint64_t>(bound / 2) + 1);
    return Duration(bound / 2 + static_cast<std::int64_t>(jitter));
}

void raiseAlarm(ConfigurationCore &core, ConfigurationAlarmKind kind, const std::string &detail,
                ConfigurationActions &actions)
{
    std::string &raised = core.m_alarms[kind];
    if (raised == detail) {
        return;
    }
    raised = detail;
    ++core.m_statistics.m_alarms;
    actions.emplace_back(RaiseConfigurationAlarm{kind, detail});
}

std::uint64_t callStore(ConfigurationCore &core, TimePoint now, CallConfigurationStore call,
                        ConfigurationActions &actions)
{
    call.m_call = ++core.m_lastCall;
    call.m_deadline = now + call.m_wait + core.m_options.m_callTimeout;
    switch (call.m_kind) {
    case ConfigurationCallKind::Read:
        ++core.m_statistics.m_reads;
        break;
    case ConfigurationCallKind::Watch:
        ++core.m_statistics.m_watches;
        break;
    case ConfigurationCallKind::CompareAndSwap:
        ++core.m_statistics.m_writes;
        break;
    }
    actions.emplace_back(std::move(call));
    return core.m_lastCall;
}

bool adoptDocument(ConfigurationCore &core, std::int64_t revision, const std::string &text,
                   ConfigurationActions &actions)
{
    const bool higher = revision > core.m_revision;
    if (!higher && core.m_options.m_mutant != ConfigurationMutant::AdoptAnyRevision) {
        return false;
    }
    if (revision == core.m_rejectedRevision) {
        return false;
    }
    Checked<ConfigurationDocument> document = parseConfigurationDocument(text, revision);
    const std::string prefix = "revision " + std::to_string(revision) + ": ";
    if (!document) {
        core.m_rejectedRevision = revision;
        raiseAlarm(core, ConfigurationAlarmKind::DocumentInvalid,
                   prefix + firstFinding(document.error()), actions);
        return false;
    }
    Checked<Settings> settings = parseForSite(core, document.value());
    if (!settings) {
        core.m_rejectedRevision = revision;
        raiseAlarm(core, ConfigurationAlarmKind::DocumentInvalid,
                   prefix + firstFinding(settings.error()), actions);
        return false;
    }
    checkInvariant(core.m_invariants, Invariant::RevisionMonotonic, higher,
                   "revision " + std::to_string(revision) + " put in force after "
                       + std::to_string(core.m_revision));
    core.m_text = text;
    clearAlarm(core, ConfigurationAlarmKind::DocumentInvalid);
    putInForce(core, revision, std::move(document.value()), std::move(settings.value()), actions);
    return true;
}

void takeStoreDocument(ConfigurationCore &core, TimePoint now, std::int64_t revision,
                       const std::string &text, ConfigurationActions &actions)
{
    noteStoreContact(core, now);
    if (!core.m_ready && !core.m_storeAnswered) {
        core.m_storeAnswered = now;
        core.m_bootText = text;
        core.m_bootRevision = revision;
        finishBoot(core, now, actions);
        return;
    }
    if (revision < core.m_revision) {
        raiseAlarm(core, ConfigurationAlarmKind::StoreOlder,
                   "the store holds revision " + std::to_string(revision) + ", in force is "
                       + std::to_string(core.m_revision),
                   actions);
    } else if (revision == core.m_revision && text != core.m_text) {
        raiseAlarm(core, ConfigurationAlarmKind::StoreDiffers,
                   "the store holds another document under revision " + std::to_string(revision),
                   actions);
    } else {
        clearAlarm(core, ConfigurationAlarmKind::StoreOlder);
        clearAlarm(core, ConfigurationAlarmKind::StoreDiffers);
    }
    adoptDocument(core, revision, text, actions);
}

void takeStoreNone(ConfigurationCore &core, TimePoint now, ConfigurationActions &actions)
{
    noteStoreContact(core, now);
    if (core.m_revision > 0) {
        raiseAlarm(core, ConfigurationAlarmKind::StoreOlder,
                   "the store holds no document, in force is revision "
                       + std::to_string(core.m_revision),
                   actions);
        return;
    }
    core.m_storeSaidNone = true;
    if (!core.m_storeAnswered) {
        core.m_storeAnswered = now;
    }
    finishBoot(core, now, actions);
}

} // namespace configurationdetails

ConfigurationCore createConfigurationCore(TimePoint now, const ConfigurationOptions &options)
{
    ConfigurationCore core;
    core.m_options = options;
    core.m_random.m_state = options.m_seed;
    core.m_tokens = options.m_storeCallBurst;
    core.m_tokensAt = now;
    core.m_lastAdvance = now;
    core.m_nextCall = now;
    core.m_nextBootPull = now;
    return core;
}

void updateMembers(ConfigurationCore &core, TimePoint now,
                   const std::vector<ConfigurationMember> &members, ConfigurationActions &actions)
{
    const std::string &self = core.m_options.m_node;
    const std::string key = "configuration-watch/" + core.m_options.m_dataCentre;
    const std::uint64_t ownWeight = rendezvousWeight(key, self);
    core.m_members.clear();
    int heavier = 0;
    for (const ConfigurationMember &member : members) {
        if (member.m_name == self) {
            continue;
        }
        core.m_members.push_back(member);
        if (member.m_dataCentre == core.m_options.m_dataCentre
            && rendezvousWeight(key, member.m_name) > ownWeight) {
            ++heavier;
        }
    }
    const bool watcher = heavier < core.m_options.m_watchers;
    if (watcher && !core.m_watcher) {
        core.m_readFirst = true;
        core.m_nextCall = std::min(core.m_nextCall, now);
    }
    core.m_watcher = watcher;
    startPoll(core, now, actions);
}

void observePeerRevision(ConfigurationCore &core, TimePoint now, std::string_view peer,
                         std::int64_t revision, ConfigurationActions &actions)
{
    if (revision <= core.m_revision || revision == core.m_rejectedRevision
        || core.m_pullCall != 0) {
        return;
    }
    startPull(core, now, peer, actions);
}

void observeStoreContact(ConfigurationCore &core, TimePoint now, Duration age)
{
    noteStoreContact(core, now - std::max(age, Duration::zero()));
}

void handleConfigurationPull(ConfigurationCore &core, TimePoint now, std::uint64_t pull,
                             std::optional<std::int64_t> revision, std::string_view text,
                             ConfigurationActions &actions)
{
    if (pull != core.m_pullCall) {
        return;
    }
    core.m_pullCall = 0;
    core.m_pullDeadline = farFuture;
    if (!revision) {
        return;
    }
    core.m_peerAnswered = true;
    if (*revision > 0) {
        configurationdetails::adoptDocument(core, *revision, std::string(text), actions);
    } else if (!core.m_ready
               && core.m_options.m_mutant == ConfigurationMutant::ReadyOnRevisionZero) {
        putFilesInForce(core, actions);
    }
    finishBoot(core, now, actions);
}

void handleStoreReply(ConfigurationCore &core, TimePoint now, const ConfigurationStoreReply &reply,
                      ConfigurationActions &actions)
{
    if (reply.m_call != 0
        && (reply.m_call == core.m_watchCall || reply.m_call == core.m_readCall)) {
        handlePollReply(core, now, reply, actions);
        startPoll(core, now, actions);
        return;
    }
    configurationdetails::handleWriteReply(core, now, reply, actions);
}

void advanceTime(ConfigurationCore &core, TimePoint now, ConfigurationActions &actions)
{
    if (now - core.m_lastAdvance > core.m_options.m_pauseLimit) {
        lapseAfterPause(core, now);
    }
    core.m_lastAdvance = now;
    if (now >= core.m_callDeadline) {
        ConfigurationStoreReply late;
        handlePollReply(core, now, late, actions);
    }
    if (now >= core.m_pullDeadline) {
        core.m_pullCall = 0;
        core.m_pullDeadline = farFuture;
    }
    finishBoot(core, now, actions);
    startBootPull(core, now, actions);
    startPoll(core, now, actions);
    configurationdetails::advanceWrites(core, now, actions);
}

TimePoint nextWakeUp(const ConfigurationCore &core)
{
    TimePoint next = std::min(core.m_callDeadline, core.m_pullDeadline);
    if (core.m_callDeadline == farFuture) {
        next = std::min(next, core.m_nextCall);
    }
    if (!core.m_ready) {
        next = std::min(next, core.m_nextBootPull);
        if (core.m_storeAnswered) {
            next = std::min(next, *core.m_storeAnswered + core.m_options.m_bootPeerGrace);
        }
    }
    for (const std::pair<const std::uint64_t, PendingWrite> &entry : core.m_writes) {
        const PendingWrite &write = entry.second;
        next = std::min({next, write.m_retryAt, write.m_deadline});
    }
    return next;
}

std::string readinessReason(const ConfigurationCore &core)
{
    if (core.m_ready) {
        return {};
    }
    const auto invalid = core.m_alarms.find(ConfigurationAlarmKind::DocumentInvalid);
    if (invalid != core.m_alarms.end()) {
        return "no valid configuration: " + invalid->second;
    }
    const auto files = core.m_alarms.find(ConfigurationAlarmKind::FilesInvalid);
    if (files != core.m_alarms.end()) {
        return "the settings files are not valid: " + files->second;
    }
    return "neither the store nor a peer has answered with a configuration";
}

} // namespace arbutusgrade
