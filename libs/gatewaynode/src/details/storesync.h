#pragma once

#include <functional>
#include <memory>

#include "details/membership.h"
#include "details/storefollower.h"
#include "telemetry/telemetry.h"

namespace arbutusgrade {

//! @brief Brings configuration, registry and registrations of nodes from the store into the node.
//!
//! One watch covers all of them, since each waiting watch is paid for.
class StoreSync
{
public:
    StoreSync(boost::asio::io_context &context, const DeploymentFormat &format,
              MetadataStore &store, const StoreFollowerOptions &options, std::string node,
              ForwardEngine &engine, Membership &membership, Log &log);

    //! @param changed called after each change of what the engine knows.
    void start(std::function<void()> changed);
    void stop();

    //! @brief Tells the other nodes through the store how many crashes by a request were seen here.
    void shareCrashes(std::uint64_t fingerprint, int crashes);

    //! @brief Reads everything again, since changes may have been missed.
    void restart();

    //! @brief True once a complete reading gave a configuration and the registry.
    bool isComplete() const
    {
        return m_configurationRead;
    }

private:
    void takeSnapshot(const std::vector<MetadataItem> &items);
    void takeChanges(const std::vector<MetadataEvent> &events);
    void takeConfiguration(const MetadataItem &item);
    void takeCrashes(const MetadataItem &item);
    void takeTarget(const MetadataItem &item);
    void dropTarget(std::string_view key, std::string_view reason);
    void noteAvailability(bool available);
    void logFindings(std::string_view event, std::string_view key,
                     const std::vector<Finding> &findings);

    const DeploymentFormat &m_format;
    MetadataStore &m_store;
    std::string m_crashPrefix;
    std::string m_node;
    ForwardEngine &m_engine;
    Membership &m_membership;
    Log &m_log;
    std::shared_ptr<StoreFollower> m_follower;
    std::function<void()> m_changed;
    std::unordered_map<std::string, std::uint64_t> m_unreadable; //!< Hash of the value by key.
    bool m_configurationRead = false;
    bool m_available = true;
};

} // namespace arbutusgrade
