#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"

//! @brief Settings of a firm: one base file and a small overlay for each site, in YAML.
//!
//! All times are milliseconds in the files. Parsing performs no input or output.
namespace arbutusgrade {

using Milliseconds = std::chrono::milliseconds;

//! @brief How the shards of a request are combined into an answer.
enum class AnswerMode {
    Complete,       //!< All shards of the group; waits up to the deadline for the last one.
    BestByDeadline, //!< All shards of the group; answers with what is in at the deadline.
    Single,         //!< One service; idempotent.
    Once,           //!< One service; runs at most once.
};

//! @brief Policy of a request class: how patient and how cautious it is.
struct KindSettings
{
    std::string m_name;
    std::string m_group;
    AnswerMode m_mode = AnswerMode::Complete;
    int m_priority = 5;            //!< 0 (least urgent) to 9 (most urgent).
    Milliseconds m_deadline{1000}; //!< Used when the caller names none; also the upper limit.
    bool m_hedge = true;
    int m_retries = 3;             //!< Attempts after the first for each shard; 0 for Once.
    double m_enoughCoverage = 1.0; //!< BestByDeadline: share of shards that may end the wait early.
    bool m_partialAllowed = true;  //!< Complete: false turns a missing shard into `failed`.

    bool operator==(const KindSettings &other) const = default;
};

//! @brief One replica of a service.
struct TargetSettings
{
    std::string m_name;
    std::string m_dataCentre;
    std::string m_address;
    std::uint16_t m_port = 0;
    bool m_draining = false;

    bool operator==(const TargetSettings &other) const = default;
};

//! @brief One shard of a group; its targets are replicas of each other.
struct ServiceSettings
{
    std::string m_name;
    int m_slots = 3;        //!< Requests that one target runs at a time.
    int m_connections = 30; //!< Connections that one target accepts, from all nodes together.
    std::vector<TargetSettings> m_targets;

    bool operator==(const ServiceSettings &other) const = default;
};

//! @brief The services that hold an index under one partitioning epoch.
struct PartitioningSettings
{
    std::uint64_t m_epoch = 1;
    std::vector<std::string> m_services;

    bool operator==(const PartitioningSettings &other) const = default;
};

//! @brief Services that together hold one index.
struct GroupSettings
{
    std::string m_name;
    Milliseconds m_connectTime{6}; //!< Usual time for a new connection.
    std::vector<ServiceSettings> m_services;
    std::vector<PartitioningSettings> m_partitionings; //!< Epoch 1 with all services if not given.

    bool operator==(const GroupSettings &other) const = default;
};

//! @brief One daemon on an entry VM.
struct NodeSettings
{
    std::string m_name;
    std::string m_dataCentre;
    std::string m_address;
    std::uint16_t m_callerPort = 0; //!< HTTP for callers and operators.
    std::uint16_t m_peerPort = 0;   //!< UDP and TCP between nodes.

    bool operator==(const NodeSettings &other) const = default;
};

//! @brief Where the platform's key-value service is reached.
struct StoreSettings
{
    std::string m_address;
    std::uint16_t m_port = 0;
    Milliseconds m_timeout{2000};
    int m_claimsPerSecond = 100; //!< Claim calls that one node may make.

    bool operator==(const StoreSettings &other) const = default;
};

//! @brief A team that may call and administer; tokens are compared in constant time.
struct TeamSettings
{
    std::string m_name;
    std::string m_tokenHash;           //!< "sha256:" and 64 hex digits, never the token itself.
    std::vector<std::string> m_groups; //!< Groups that the team may change.
    bool m_platform = false;           //!< May also change what belongs to no group.
    int m_requestsPerSecond = 0;       //!< 0: no quota.

    bool operator==(const TeamSettings &other) const = default;
};

//! @brief All settings in force at one site.
struct Settings
{
    std::string m_firm;
    std::string m_region;
    std::string m_site; //!< Data centre whose overlay was applied; empty without an overlay.
    std::vector<std::string> m_dataCentres;
    StoreSettings m_store;
    std::vector<NodeSettings> m_nodes;
    std::vector<GroupSettings> m_groups;
    std::vector<KindSettings> m_kinds;
    std::vector<TeamSettings> m_teams;
    std::uint32_t m_bodyLimitBytes = 1048576;
    Milliseconds m_shutdownLinger{2000}; //!< Accepting goes on this long after readiness fails.
    Milliseconds m_shutdownBound{30000};
    double m_spanSampleRate = 0.01;

    bool operator==(const Settings &other) const = default;
};

//! @brief Text of a settings file with the name used in findings.
struct SettingsSource
{
    std::string m_name;
    std::string_view m_text;
};

//! @brief Parses, merges and checks a base and an overlay.
//!
//! An overlay with neither name nor text means that the base alone is in force. Texts are limited
//! to 1 MB. Never throws on account of the texts.
//! @return the settings, or all findings of both files in order of place, the base first.
Checked<Settings> parseSettings(const SettingsSource &base, const SettingsSource &overlay);

//! @brief IP number and port.
struct EndpointSettings
{
    std::string m_address;
    std::uint16_t m_port = 0;
};

//! @brief Settings of a process that passes requests through to targets of a registry.
//!
//! They say where the process runs and what the deployment promises; routes and targets come from
//! the store.
struct GatewaySettings
{
    std::string m_node;
    std::string m_dataCentre;
    EndpointSettings m_callers;      //!< Where requests of callers arrive.
    EndpointSettings m_readiness;    //!< Where the balancer asks whether this node is ready.
    std::uint16_t m_metricsPort = 0; //!< On the address for callers; 0 for none.
    EndpointSettings m_store;
    std::chrono::milliseconds m_minimumLease{1000};
    double m_extraArrivalRatio = 0.2;
    double m_extraArrivalSlack = 0.0; //!< Over all nodes.
    std::chrono::milliseconds m_extraArrivalWindow{10'000};
    //! Time within which a change of configuration or registry must be in force.
    std::chrono::milliseconds m_changeBound{3'000};
    //! Time after which a target that was removed or drains must get no requests.
    std::chrono::milliseconds m_drainBound{3'000};
    //! Time within which a node must be in step with the store after a disruption.
    std::chrono::milliseconds m_contactBound{4'000};
    std::chrono::milliseconds m_shutdownGrace{6'000}; //!< From SIGTERM to SIGKILL.
};

//! @brief Parses the YAML settings of a gateway process.
//! @return the settings, or all findings with their places.
Checked<GatewaySettings> parseGatewaySettings(const SettingsSource &source);

} // namespace arbutusgrade
