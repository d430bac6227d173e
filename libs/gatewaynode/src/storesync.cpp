#include "details/storesync.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>
#include <set>
#include <utility>

namespace arbutusgrade {

namespace {

// Unreadable registry entries are recorded so that each value is logged once. When this many keys
// are recorded, unreadable entries are no longer logged.
constexpr std::size_t maximumUnreadableEntries = 1000;

// Entries of targets and nodes have a few short fields; far longer values come from something else.
constexpr std::size_t entryLimitBytes = 16 * 1024;

// Reason for a removal by whoever wrote the entry.
constexpr std::string_view removedReason = "removed";

//! @brief Returns the number that the whole text stands for, or nothing.
template <typename Number> std::optional<Number> parseWhole(std::string_view text)
{
    Number number = 0;
    const char *const end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

} // namespace

StoreSync::StoreSync(boost::asio::io_context &context, const DeploymentFormat &format,
                     MetadataStore &store, const PrefixWatcherOptions &options,
                     std::string crashPrefix, ForwardEngine &engine, Membership &membership,
                     Log &log)
    : m_format(format), m_crashPrefix(std::move(crashPrefix)), m_engine(engine),
      m_membership(membership), m_log(log)
{
    PrefixWatcher::Handlers handlers;
    handlers.m_availability = [this](bool available) { handleAvailability(available); };
    handlers.m_snapshot = [this](const std::vector<MetadataItem> &items) { applySnapshot(items); };
    handlers.m_changes = [this](const std::vector<MetadataEvent> &events) { applyChanges(events); };
    handlers.m_valueLimit = [this](std::string_view key) { return valueLimit(key); };
    m_watcher = std::make_shared<PrefixWatcher>(context, store, format.m_watchedPrefix, options,
                                                std::move(handlers));
}

std::size_t StoreSync::valueLimit(std::string_view key) const
{
    if (key == m_format.m_configurationKey) {
        return std::numeric_limits<std::size_t>::max();
    }
    const bool isRead =
        key.starts_with(m_format.m_targetPrefix) || key.starts_with(m_format.m_writablePrefix);
    return isRead ? entryLimitBytes : 0;
}

void StoreSync::start(std::function<void()> changeHandler)
{
    m_changeHandler = std::move(changeHandler);
    m_watcher->start();
}

void StoreSync::stop()
{
    m_stopped = true;
    m_watcher->stop();
}

void StoreSync::restart()
{
    if (m_stopped) {
        return;
    }
    m_watcher->restart(ReadConsistency::Strong);
}

void StoreSync::storeEraChanged()
{
    m_isRestored = true;
    restart();
}

void StoreSync::applySnapshot(const std::vector<MetadataItem> &items)
{
    const bool isRestored = std::exchange(m_isRestored, false);
    if (isRestored) {
        m_entryHistory.beginRestored(m_watcher->revision());
        // Targets that the copy lacks stay in use as they do after an outage.
        markStoreUnavailable(m_engine.registry());
        markStoreAvailable(m_engine.registry(), bootTimeNow());
    }
    std::vector<std::string> presentIds;
    applyEvacuations(items);
    for (const MetadataItem &item : items) {
        applyConfiguration(item);
        applyCrashCount(item);
        if (item.m_key.starts_with(m_format.m_targetPrefix)) {
            applyTarget(item);
            presentIds.push_back(item.m_key.substr(m_format.m_targetPrefix.size()));
        }
    }
    for (const std::string &id : removeMissingEntries(m_engine.registry(), bootTimeNow(),
                                                      presentIds, m_watcher->changedAfter())) {
        // Missing from a copy does not mean that a target is gone.
        recordRemoval(id, !isRestored);
        m_log.write(LogLevel::Info, "target-removed", "", {{"target", id}, {"reason", "missing"}});
    }
    m_entryHistory.forgetMissingEntries(bootTimeNow(), presentIds);
    m_membership.applySnapshot(items);
    m_changeHandler();
}

void StoreSync::applyChanges(const std::vector<MetadataEvent> &events)
{
    for (const MetadataEvent &event : events) {
        const std::string &key = event.m_item.m_key;
        const bool isTarget = key.starts_with(m_format.m_targetPrefix);
        if (const std::optional<std::string> dataCentre = evacuatedDataCentre(key)) {
            applyEvacuation(*dataCentre, !event.m_removed);
        }
        if (!event.m_removed) {
            applyConfiguration(event.m_item);
            applyCrashCount(event.m_item);
        }
        if (isTarget && event.m_removed) {
            removeTarget(key, removedReason);
        } else if (isTarget) {
            applyTarget(event.m_item);
        }
    }
    m_membership.applyChanges(events);
    m_changeHandler();
}

std::optional<std::string> StoreSync::evacuatedDataCentre(std::string_view key) const
{
    const std::string_view prefix = m_format.m_evacuationPrefix;
    if (prefix.empty() || !key.starts_with(prefix) || key.size() == prefix.size()) {
        return std::nullopt;
    }
    return std::string(key.substr(prefix.size()));
}

void StoreSync::applyEvacuations(const std::vector<MetadataItem> &items)
{
    std::set<std::string> listed;
    for (const MetadataItem &item : items) {
        if (std::optional<std::string> dataCentre = evacuatedDataCentre(item.m_key)) {
            listed.insert(std::move(*dataCentre));
        }
    }
    const std::set<std::string> known = m_engine.registry().m_evacuatedDataCentres;
    for (const std::string &dataCentre : known) {
        if (!listed.contains(dataCentre)) {
            applyEvacuation(dataCentre, false);
        }
    }
    for (const std::string &dataCentre : listed) {
        applyEvacuation(dataCentre, true);
    }
}

void StoreSync::applyEvacuation(const std::string &dataCentre, bool evacuated)
{
    if (!setEvacuated(m_engine.registry(), bootTimeNow(), dataCentre, evacuated)) {
        return;
    }
    if (evacuated) {
        m_log.write(LogLevel::Warning, "evacuation-started",
                    "targets of the data centre get no requests until the operator ends this",
                    {{"dataCentre", dataCentre}});
    } else {
        m_log.write(LogLevel::Info, "evacuation-ended", "", {{"dataCentre", dataCentre}});
    }
}

void StoreSync::applyConfiguration(const MetadataItem &item)
{
    if (item.m_key != m_format.m_configurationKey) {
        return;
    }
    Checked<RoutingTable> table = m_format.m_decodeRouting(item.m_value);
    const std::vector<Finding> findings =
        table ? validateRoutingTable(table.value()) : table.error();
    if (!findings.empty()) {
        logFindings("configuration-unreadable", item.m_key, findings);
        return;
    }
    const std::uint64_t version = table.value().m_version;
    const bool adopted =
        m_engine.applyRoutingTable(std::make_shared<const RoutingTable>(std::move(table.value())));
    m_configurationRead = true;
    m_log.write(LogLevel::Info, adopted ? "configuration-adopted" : "configuration-ignored",
                adopted ? "" : "the version is not higher than the active one",
                {{"version", version}, {"revision", item.m_revision}});
}

void StoreSync::applyCrashCount(const MetadataItem &item)
{
    const std::string_view key = item.m_key;
    if (!key.starts_with(m_crashPrefix)) {
        return;
    }
    const std::string_view suffix = key.substr(m_crashPrefix.size());
    const std::size_t slash = std::min(suffix.find('/'), suffix.size());
    const std::optional<std::uint64_t> fingerprint =
        parseWhole<std::uint64_t>(suffix.substr(0, slash));
    const std::optional<std::uint64_t> process =
        parseWhole<std::uint64_t>(suffix.substr(std::min(slash + 1, suffix.size())));
    const std::optional<int> crashes = parseWhole<int>(item.m_value);
    if (fingerprint && process && crashes) {
        mergeCrashCount(m_engine.crashes(), bootTimeNow(), *fingerprint, *process, *crashes);
    }
}

void StoreSync::applyTarget(const MetadataItem &item)
{
    const std::string_view id = std::string_view(item.m_key).substr(m_format.m_targetPrefix.size());
    const std::string_view value =
        item.m_value.size() > entryLimitBytes ? std::string_view() : item.m_value;
    Checked<TargetEntry> entry = m_format.m_decodeTarget(id, value);
    if (!entry) {
        const std::uint64_t hash = stableHash(item.m_value);
        if (m_loggedUnreadable.size() < maximumUnreadableEntries
            && m_loggedUnreadable[item.m_key] != hash) {
            m_loggedUnreadable[item.m_key] = hash;
            logFindings("target-entry-unreadable", item.m_key, entry.error());
        }
        removeTarget(item.m_key, "unreadable");
        return;
    }
    entry.value().m_revision = item.m_revision;
    const TargetPointer known = findTarget(id);
    if (m_entryHistory.isOutdated(bootTimeNow(), entry.value())) {
        m_log.write(LogLevel::Info, "target-entry-outdated",
                    "the entry is older than what is known of the target, and is not used",
                    {{"target", id},
                     {"revision", item.m_revision},
                     {"started", entry.value().m_started},
                     {"sequence", entry.value().m_sequence}});
        return;
    }
    // The history has told that it is the later process, whatever start time it states.
    const bool isOrderedByStart = !known || entry.value().m_started >= known->m_entry.m_started;
    const EntryChange change =
        isOrderedByStart ? applyEntry(m_engine.registry(), bootTimeNow(), entry.value())
                         : replaceEntry(m_engine.registry(), bootTimeNow(), entry.value());
    if (change == EntryChange::Changed) {
        return;
    }
    std::string_view event = "target-added";
    if (change == EntryChange::Restarted) {
        event = "target-restarted";
    } else if (change == EntryChange::Draining) {
        event = "target-draining";
    }
    m_log.write(LogLevel::Info, event, "",
                {{"target", id},
                 {"service", entry.value().m_service},
                 {"dataCentre", entry.value().m_dataCentre},
                 {"revision", item.m_revision}});
}

void StoreSync::removeTarget(std::string_view key, std::string_view reason)
{
    const std::string_view id = key.substr(std::min(key.size(), m_format.m_targetPrefix.size()));
    m_entryHistory.forgetEntry(bootTimeNow(), id);
    if (removeEntry(m_engine.registry(), bootTimeNow(), id, m_watcher->changedAfter())) {
        recordRemoval(id, reason == removedReason);
        m_log.write(LogLevel::Info, "target-removed", "", {{"target", id}, {"reason", reason}});
    }
}

TargetPointer StoreSync::findTarget(std::string_view id) const
{
    const std::unordered_map<std::string, TargetPointer> &targets = m_engine.registry().m_targets;
    const std::unordered_map<std::string, TargetPointer>::const_iterator found =
        targets.find(std::string(id));
    return found != targets.end() ? found->second : nullptr;
}

void StoreSync::recordRemoval(std::string_view id, bool isCertain)
{
    const TimePoint now = bootTimeNow();
    const TargetRegistry &registry = m_engine.registry();
    const TargetPointer target = findTarget(id);
    const bool wasDraining = target && target->m_entry.m_draining;
    // Entries may expire while the store is away; they return soon afterwards.
    const bool mayHaveExpired =
        registry.m_storeUnavailable || now < registry.m_storeRecoveryGraceEnd;
    m_entryHistory.recordRemoval(now, id, wasDraining || (isCertain && !mayHaveExpired));
}

void StoreSync::handleAvailability(bool available)
{
    if (available == m_available) {
        return;
    }
    m_available = available;
    if (available) {
        markStoreAvailable(m_engine.registry(), bootTimeNow());
        m_log.write(LogLevel::Info, "store-back",
                    "the store responds again; registry updates resume");
    } else {
        markStoreUnavailable(m_engine.registry());
        m_log.write(LogLevel::Warning, "store-away",
                    "the store does not respond; the known targets stay in use");
    }
}

void StoreSync::logFindings(std::string_view event, std::string_view key,
                            const std::vector<Finding> &findings)
{
    m_log.write(LogLevel::Warning, event,
                findings.empty() ? std::string_view() : findings.front().m_message,
                {{"key", key}, {"findings", findings.size()}});
}

} // namespace arbutusgrade
