#pragma once

#include <functional>
#include <memory>

#include "details/storefollower.h"
#include "telemetry/telemetry.h"

namespace arbutusgrade {

//! @brief Brings configuration and registry from the store into the engine.
class StoreSync
{
public:
    StoreSync(boost::asio::io_context &context, const DeploymentFormat &format,
              MetadataStore &store, ForwardEngine &engine, Log &log);

    //! @param changed called after each change of what the engine knows.
    void start(std::function<void()> changed);
    void stop();

    //! @brief Reads everything again, since changes may have been missed.
    void restart();

    //! @brief True once both the configuration and all registry pages have been read.
    bool isComplete() const
    {
        return m_configurationRead && m_registryRead;
    }

private:
    std::shared_ptr<StoreFollower> followConfiguration(boost::asio::io_context &context);
    std::shared_ptr<StoreFollower> followRegistry(boost::asio::io_context &context);
    void takeConfiguration(const MetadataItem &item);
    void takeTarget(const MetadataItem &item);
    void dropTarget(std::string_view key, std::string_view reason);
    void takeRegistry(const std::vector<MetadataItem> &items);
    void noteAvailability(bool available);
    void logFindings(std::string_view event, std::string_view key,
                     const std::vector<Finding> &findings);

    const DeploymentFormat &m_format;
    MetadataStore &m_store;
    ForwardEngine &m_engine;
    Log &m_log;
    std::shared_ptr<StoreFollower> m_configuration;
    std::shared_ptr<StoreFollower> m_registry;
    std::function<void()> m_changed;
    std::unordered_map<std::string, std::uint64_t> m_unreadable; //!< Hash of the value by key.
    bool m_configurationRead = false;
    bool m_registryRead = false;
    bool m_available = true;
};

} // namespace arbutusgrade
