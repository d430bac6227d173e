#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include "settings/settings.h"
#include "support/httpclient.h"
#include "support/process.h"

//! @brief A whole site of real processes: the store, targets and daemons, with their settings.
namespace arbutusgrade::support {

//! @brief Shape of a group and behaviour of its targets.
struct GroupPlan
{
    std::string m_name;
    int m_services = 10;
    int m_replicas = 3;
    int m_slots = 3;
    int m_connections = 30;
    double m_connectMs = 6;
    double m_serviceMs = 5;
    double m_serviceSpread = 0;
    std::string m_behaviour = "{}"; //!< More members of PUT /v1/faults.
    bool m_firstAlone = false;      //!< The first target has a process of its own.
};

struct SitePlan
{
    std::string m_firm;
    std::string m_region;
    std::vector<std::string> m_dataCentres;
    int m_nodes = 3; //!< Spread over the data centres in turn.
    std::vector<GroupPlan> m_groups;
    std::vector<KindSettings> m_kinds;
    int m_shutdownLingerMs = 1000;
    int m_shutdownBoundMs = 30000;
    std::string m_partitionings;   //!< YAML list for the first group; empty: one of all services.
    std::uint16_t m_storePort = 0; //!< Given to daemons in place of the store's own, for a proxy.
};

//! @brief Today's sizes of the two users.
SitePlan sendernettPlan(int nodes);
SitePlan kilwaPlan(int nodes);

//! @brief One group `search` of the number of services given and the kinds `search` (complete),
//! `urgent` (best by deadline) and `order` (once, in the group `orders`).
SitePlan fanOutPlan(int nodes, int services);

//! @brief Names one target.
struct TargetLocation
{
    std::string_view m_group;
    int m_service = 0; //!< Counts from 0.
    int m_replica = 0;
};

//! @brief Name of a service as in the settings.
std::string serviceName(const GroupPlan &group, int service);

//! @brief Running processes of one site. The destructor stops all of them.
class Site
{
public:
    //! @brief Starts the store and the targets and writes the settings; starts no daemon.
    //! @param programs directory of the built programs.
    Site(SitePlan plan, std::string programs);

    const SitePlan &plan() const;
    std::uint16_t storePort() const;

    //! @brief The base file that all nodes share.
    std::string settingsText() const;

    void startNode(int node);
    //! @brief Starts all nodes and waits until they are ready; throws std::runtime_error if not.
    void startNodes();
    void waitUntilReady(int node, milliseconds timeout = milliseconds(15000));

    ChildProcess &node(int node);
    std::string nodeName(int node) const;
    std::uint16_t callerPort(int node) const;
    std::vector<std::uint16_t> callerPorts() const;
    std::string nodeOutput(int node) const;

    //! @brief POST /v1/query.
    HttpReply query(int node, const boost::json::object &request,
                    milliseconds timeout = milliseconds(15000)) const;

    HttpReply callStore(std::string_view method, std::string_view path,
                        std::string_view body = {}) const;
    HttpReply callTarget(const TargetLocation &place, std::string_view method,
                         std::string_view path, std::string_view body = {}) const;
    //! @brief The call for each target of a group.
    void callGroup(std::string_view group, std::string_view method, std::string_view path,
                   std::string_view body = {}) const;

    //! @brief Process that hosts a target, alone or with others of its group.
    ChildProcess &targetProcess(const TargetLocation &place);

    boost::json::object targetStatistics(const TargetLocation &place) const;
    //! @brief Sum of one number of the statistics over the targets of a group.
    std::int64_t sumStatistics(std::string_view group, std::string_view name) const;
    //! @brief Highest value of one number of the statistics over the targets of a group.
    std::int64_t maximumStatistics(std::string_view group, std::string_view name) const;
    //! @brief Number of executions by id of the non-idempotent requests, over all targets.
    std::map<std::string, std::int64_t> onceExecutions() const;

private:
    struct Host
    {
        std::string m_group;
        int m_first = 0; //!< Number of its first target within the group.
        int m_count = 0;
        std::uint16_t m_port = 0;
        ChildProcess m_process;
    };

    void startStore();
    void startTargets(const GroupPlan &group);
    std::uint16_t targetPort(std::string_view group, int number) const;
    const Host &findHost(std::string_view group, int number) const;
    const GroupPlan &findGroup(std::string_view name) const;
    std::vector<boost::json::object> groupStatistics(std::string_view group) const;

    SitePlan m_plan;
    std::string m_programs;
    TemporaryDirectory m_directory;
    ChildProcess m_store;
    std::uint16_t m_storePort = 0;
    std::vector<Host> m_hosts;
    std::vector<std::uint16_t> m_callerPorts;
    std::vector<std::uint16_t> m_peerPorts;
    std::vector<ChildProcess> m_nodes;
};

} // namespace arbutusgrade::support
