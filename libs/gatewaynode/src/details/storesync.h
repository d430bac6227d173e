#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "details/entryhistory.h"
#include "details/membership.h"
#include "details/prefixwatcher.h"
#include "telemetry/telemetry.h"

namespace arbutusgrade {

//! @brief Synchronizes the engine's configuration and target registry, and the node registrations,
//! with the store.
//!
//! A single watch covers all of them, since each open watch is billed.
class StoreSync
{
public:
    //! @param crashPrefix prefix of the keys that CrashPublisher writes.
    StoreSync(boost::asio::io_context &context, const DeploymentFormat &format,
              MetadataStore &store, const PrefixWatcherOptions &options, std::string crashPrefix,
              ForwardEngine &engine, Membership &membership, Log &log);

    //! @param changeHandler called after each snapshot or batch of changes has been applied.
    void start(std::function<void()> changeHandler);
    void stop();

    //! @brief Reads the whole store again, for use when changes may have been missed.
    void restart();

    void setWatchOptions(const PrefixWatcherOptions &options)
    {
        m_watcher->setOptions(options);
    }

    //! @brief Reads the whole store again after it was restored from a copy. Configuration and
    //! targets do not go back to what the copy has.
    void storeEraChanged();

    //! @brief True once a valid configuration has been read.
    bool isComplete() const
    {
        return m_configurationRead;
    }

private:
    void applySnapshot(const std::vector<MetadataItem> &items);
    void applyChanges(const std::vector<MetadataEvent> &events);
    //! @brief Returns the data centre whose evacuation the key stands for, if any.
    std::optional<std::string> evacuatedDataCentre(std::string_view key) const;
    void applyEvacuations(const std::vector<MetadataItem> &items);
    void applyEvacuation(const std::string &dataCentre, bool evacuated);
    void applyConfiguration(const MetadataItem &item);
    void applyCrashCount(const MetadataItem &item);
    void applyTarget(const MetadataItem &item);
    void removeTarget(std::string_view key, std::string_view reason);
    TargetPointer findTarget(std::string_view id) const;
    //! @brief Size in bytes up to which the value of the key is read.
    std::size_t valueLimit(std::string_view key) const;
    //! @param isCertain false if the target may be alive without an entry.
    void recordRemoval(std::string_view id, bool isCertain);
    void handleAvailability(bool available);
    void logFindings(std::string_view event, std::string_view key,
                     const std::vector<Finding> &findings);

    const DeploymentFormat &m_format;
    std::string m_crashPrefix;
    ForwardEngine &m_engine;
    Membership &m_membership;
    Log &m_log;
    std::shared_ptr<PrefixWatcher> m_watcher;
    std::function<void()> m_changeHandler;
    std::unordered_map<std::string, std::uint64_t>
        m_loggedUnreadable; //!< Hash of the logged value, by key.
    EntryHistory m_entryHistory;
    bool m_isRestored = false; //!< The next listing is the first one after a restore.
    bool m_stopped = false;
    bool m_configurationRead = false;
    bool m_available = true;
};

} // namespace arbutusgrade
