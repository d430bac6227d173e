#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include "query/query.h"
#include "settings/settings.h"
#include "shutdown/shutdown.h"
#include "telemetry/telemetry.h"
#include "transport/transport.h"

//! @brief Joins the request path core to sockets: performs its actions and feeds it events.
//!
//! All functions are called from the thread that runs the io_context.
namespace arbutusgrade {

//! @brief A part of the node beside the request path, such as membership or configuration.
class NodeService
{
public:
    NodeService() = default;
    virtual ~NodeService() = default;
    NodeService(const NodeService &) = delete;
    NodeService &operator=(const NodeService &) = delete;

    //! @brief Called once when the node starts.
    virtual void start() { }

    //! @brief Called when the node begins to leave: give up roles and tell the peers.
    //! Requests that the service handles are to be answered within the schedule.
    virtual void stop(const ShutdownSchedule & /*schedule*/) { }

    //! @brief Called about every 100 ms, and first of all after a pause of the process.
    virtual void tick(TimePoint /*now*/) { }

    //! @brief Called after new settings are in force.
    virtual void settingsAdopted(const Settings & /*settings*/, std::int64_t /*revision*/) { }

    //! @brief Adds members to the status document.
    virtual void contributeStatus(boost::json::object & /*status*/) const { }

    //! @brief Why the node is not ready because of this service; empty if it is.
    virtual std::optional<std::string> unreadyReason() const
    {
        return std::nullopt;
    }

    //! @brief Adds families to the metrics.
    virtual void contributeMetrics(MetricFamilies & /*families*/) const { }
};

struct NodeOptions
{
    std::string m_node; //!< Name of this node in the settings.
    std::uint64_t m_incarnation = 1;
    std::uint64_t m_seed = 1;
    Duration m_probeInterval{2'000'000};
    Duration m_vmListInterval{5'000'000};
    TargetClientOptions m_targetClient;
    HttpServerOptions m_server;
};

//! @brief One node: the engine, its sockets, timers and services.
class NodeShell
{
public:
    NodeShell(asio::io_context &context, const NodeOptions &options, Log &log);
    ~NodeShell();
    NodeShell(const NodeShell &) = delete;
    NodeShell &operator=(const NodeShell &) = delete;

    //! @brief Adds a service; before start.
    void addService(std::unique_ptr<NodeService> service);

    //! @brief Puts settings in force. A revision below the one in force is refused.
    //! @return false if it was refused.
    bool adoptSettings(const Settings &settings, std::int64_t revision);

    //! @brief Listens at the address of this node in the settings and starts timers and services.
    //! @return an empty text, or why the node cannot start.
    std::string start();

    //! @brief Begins a graceful shutdown; later calls have no effect.
    //!
    //! Accepting goes on for the linger time of the settings, then requests in flight end within
    //! the bound of the settings. The handler is called when nothing is in flight any more and the
    //! connections of callers are closed, or when the bound is over.
    void beginShutdown(std::function<void()> finished);

    //! @brief Feeds knowledge of a target from a peer to the engine.
    void observeTarget(const TargetObservation &observation);

    //! @brief Feeds a quarantine notice from a peer to the engine.
    void observeQuarantine(const QuarantineNotice &notice);

    //! @brief Adds a receiver of facts that peers must learn at once.
    void addDrainListener(std::function<void(const AnnounceDrain &)> listener);
    void addQuarantineListener(std::function<void(const AnnounceQuarantine &)> listener);

    //! @brief Adds a receiver of each probe result of this node.
    void addProbeListener(std::function<void(const TargetObservation &)> listener);

    //! @brief Decides which targets this node probes; by default all of its data centre.
    void setProberRule(std::function<bool(const TargetSettings &)> rule);

    //! @brief Decides whether this node polls the VM list; by default it does.
    void setVmListRule(std::function<bool()> rule);

    //! @brief Resolves a team token to the name of the team; empty refuses the request with 401.
    //! By default any token, or none, is accepted without a name.
    void setTeamRule(std::function<std::optional<std::string>(std::string_view token)> rule);

    //! @brief Decides whether a team may send another request now; by default it may.
    void setQuotaRule(std::function<bool(const std::string &team)> rule);

    //! @brief Settings in force.
    const Settings &settings() const;

    //! @brief Revision in force; 0 for settings from files, -1 before the first adoption.
    std::int64_t revision() const;

    //! @brief Settings of this node; only after the first adoption.
    const NodeSettings &self() const;

    std::uint64_t incarnation() const;
    bool isShuttingDown() const;
    HttpServer &server();
    StoreClient &store();
    InvariantCounters &invariants();
    Log &log();
    asio::io_context &context();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace arbutusgrade
