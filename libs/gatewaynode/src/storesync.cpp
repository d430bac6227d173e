#include "details/storesync.h"

#include <algorithm>
#include <charconv>

namespace arbutusgrade {

namespace {

// Unreadable entries are remembered so that each is logged once; more than this many are not.
constexpr std::size_t rememberedUnreadable = 1000;

} // namespace

StoreSync::StoreSync(boost::asio::io_context &context, const DeploymentFormat &format,
                     MetadataStore &store, const StoreFollowerOptions &options, std::string node,
                     ForwardEngine &engine, Membership &membership, Log &log)
    : m_format(format), m_store(store), m_crashPrefix(format.m_ownPrefix + "crashes/"),
      m_node(std::move(node)), m_engine(engine), m_membership(membership), m_log(log)
{
    StoreFollower::Handlers handlers;
    handlers.m_availability = [this](bool available) { noteAvailability(available); };
    handlers.m_snapshot = [this](const std::vector<MetadataItem> &items) { takeSnapshot(items); };
    handlers.m_changes = [this](const std::vector<MetadataEvent> &events) { takeChanges(events); };
    m_follower = std::make_shared<StoreFollower>(context, store, format.m_followedPrefix, options,
                                                 std::move(handlers));
}

void StoreSync::start(std::function<void()> changed)
{
    m_changed = std::move(changed);
    m_follower->start();
}

void StoreSync::stop()
{
    m_follower->stop();
}

void StoreSync::restart()
{
    m_follower->restart(Freshness::Exact);
}

void StoreSync::takeSnapshot(const std::vector<MetadataItem> &items)
{
    std::vector<std::string> present;
    for (const MetadataItem &item : items) {
        takeConfiguration(item);
        takeCrashes(item);
        if (item.m_key.starts_with(m_format.m_targetPrefix)) {
            takeTarget(item);
            present.push_back(item.m_key.substr(m_format.m_targetPrefix.size()));
        }
    }
    for (const std::string &id : removeMissing(m_engine.registry(), bootTimeNow(), present)) {
        m_log.write(LogLevel::Info, "target-removed", "", {{"target", id}, {"reason", "missing"}});
    }
    m_membership.takeSnapshot(items);
    m_changed();
}

void StoreSync::takeChanges(const std::vector<MetadataEvent> &events)
{
    for (const MetadataEvent &event : events) {
        const std::string &key = event.m_item.m_key;
        const bool isTarget = key.starts_with(m_format.m_targetPrefix);
        if (!event.m_removed) {
            takeConfiguration(event.m_item);
            takeCrashes(event.m_item);
        }
        if (isTarget && event.m_removed) {
            dropTarget(key, "removed");
        } else if (isTarget) {
            takeTarget(event.m_item);
        }
    }
    m_membership.takeChanges(events);
    m_changed();
}

void StoreSync::takeConfiguration(const MetadataItem &item)
{
    if (item.m_key != m_format.m_configurationKey) {
        return;
    }
    Checked<RoutingTable> table = m_format.m_decodeRouting(item.m_value);
    const std::vector<Finding> findings = table ? checkRouting(table.value()) : table.error();
    if (!findings.empty()) {
        logFindings("configuration-unreadable", item.m_key, findings);
        return;
    }
    const std::uint64_t version = table.value().m_version;
    const bool adopted =
        m_engine.adoptRouting(std::make_shared<const RoutingTable>(std::move(table.value())));
    m_configurationRead = true;
    m_log.write(LogLevel::Info, adopted ? "configuration-adopted" : "configuration-ignored",
                adopted ? "" : "the version is not above the one in force",
                {{"version", version}, {"revision", item.m_revision}});
}

void StoreSync::shareCrashes(std::uint64_t fingerprint, int crashes)
{
    const std::string key = m_crashPrefix + std::to_string(fingerprint) + "/" + m_node;
    m_store.write(key, std::to_string(crashes), m_membership.lease(),
                  [&log = m_log, key](MetadataStatus status) {
                      if (status != MetadataStatus::Ok) {
                          log.write(LogLevel::Warning, "crash-not-shared",
                                    "the other nodes do not know of the crash", {{"key", key}});
                      }
                  });
}

void StoreSync::takeCrashes(const MetadataItem &item)
{
    const std::string_view key = item.m_key;
    if (!key.starts_with(m_crashPrefix)) {
        return;
    }
    const std::string_view rest = key.substr(m_crashPrefix.size());
    const std::size_t slash = std::min(rest.find('/'), rest.size());
    std::uint64_t fingerprint = 0;
    int crashes = 0;
    const std::from_chars_result keyEnd =
        std::from_chars(rest.data(), rest.data() + slash, fingerprint);
    const std::from_chars_result valueEnd =
        std::from_chars(item.m_value.data(), item.m_value.data() + item.m_value.size(), crashes);
    const std::string_view node = rest.substr(std::min(slash + 1, rest.size()));
    if (keyEnd.ec == std::errc() && valueEnd.ec == std::errc() && node != m_node) {
        learnCrashes(m_engine.crashes(), bootTimeNow(), fingerprint, node, crashes);
    }
}

void StoreSync::takeTarget(const MetadataItem &item)
{
    const std::string_view id = std::string_view(item.m_key).substr(m_format.m_targetPrefix.size());
    const Checked<TargetEntry> entry = m_format.m_decodeTarget(id, item.m_value);
    if (!entry) {
        const std::uint64_t hash = stableHash(item.m_value);
        if (m_unreadable.size() < rememberedUnreadable && m_unreadable[item.m_key] != hash) {
            m_unreadable[item.m_key] = hash;
            logFindings("target-entry-unreadable", item.m_key, entry.error());
        }
        dropTarget(item.m_key, "unreadable");
        return;
    }
    const EntryChange change = applyEntry(m_engine.registry(), bootTimeNow(), entry.value());
    if (change == EntryChange::Changed) {
        return;
    }
    std::string_view event = "target-added";
    if (change == EntryChange::Restarted) {
        event = "target-restarted";
    } else if (change == EntryChange::Draining) {
        event = "target-draining";
    } else if (change == EntryChange::Stale) {
        event = "target-entry-stale";
    }
    m_log.write(LogLevel::Info, event, "",
                {{"target", id},
                 {"service", entry.value().m_service},
                 {"dataCentre", entry.value().m_dataCentre},
                 {"revision", item.m_revision}});
}

void StoreSync::dropTarget(std::string_view key, std::string_view reason)
{
    const std::string_view id = key.substr(std::min(key.size(), m_format.m_targetPrefix.size()));
    if (removeEntry(m_engine.registry(), bootTimeNow(), id)) {
        m_log.write(LogLevel::Info, "target-removed", "", {{"target", id}, {"reason", reason}});
    }
}

void StoreSync::noteAvailability(bool available)
{
    if (available == m_available) {
        return;
    }
    m_available = available;
    if (available) {
        noteStoreBack(m_engine.registry(), bootTimeNow());
        m_log.write(LogLevel::Info, "store-back", "the registry is read again");
    } else {
        noteStoreAway(m_engine.registry());
        m_log.write(LogLevel::Warning, "store-away", "targets known so far stay in use");
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
