#include "support/site.h"

namespace arbutusgrade::support {

namespace {

KindSettings makeKind(std::string name, std::string group, AnswerMode mode, int priority,
                      int deadlineMs)
{
    KindSettings kind;
    kind.m_name = std::move(name);
    kind.m_group = std::move(group);
    kind.m_mode = mode;
    kind.m_priority = priority;
    kind.m_deadline = Milliseconds(deadlineMs);
    kind.m_hedge = mode != AnswerMode::Once;
    kind.m_retries = mode == AnswerMode::Once ? 0 : 3;
    kind.m_enoughCoverage = mode == AnswerMode::BestByDeadline ? 0.9 : 1.0;
    return kind;
}

GroupPlan makeGroup(std::string name, int services, int replicas, int slots, int connections,
                    double connectMs)
{
    GroupPlan group;
    group.m_name = std::move(name);
    group.m_services = services;
    group.m_replicas = replicas;
    group.m_slots = slots;
    group.m_connections = connections;
    group.m_connectMs = connectMs;
    group.m_serviceSpread = 0.3;
    return group;
}

} // namespace

SitePlan sendernettPlan(int nodes)
{
    SitePlan plan;
    plan.m_firm = "Statens Sendernett Vedlikehold";
    plan.m_region = "vestland";
    plan.m_dataCentres = {"bergen", "forde", "voss"};
    plan.m_nodes = nodes;
    plan.m_groups = {
        makeGroup("feilsok", 10, 3, 3, 30, 6), makeGroup("arbeidsordre", 15, 3, 3, 30, 6),
        makeGroup("handbok", 1, 10, 6, 110, 1), makeGroup("vaktplan", 1, 5, 6, 110, 1)};
    plan.m_kinds = {makeKind("fault-history-search", "feilsok", AnswerMode::Complete, 4, 2000),
                    makeKind("alarm-lookup", "feilsok", AnswerMode::BestByDeadline, 9, 300),
                    makeKind("manual-fetch", "handbok", AnswerMode::Single, 3, 1000),
                    makeKind("work-order", "arbeidsordre", AnswerMode::Once, 6, 5000),
                    makeKind("duty-roster", "vaktplan", AnswerMode::Single, 5, 1000)};
    return plan;
}

SitePlan kilwaPlan(int nodes)
{
    SitePlan plan;
    plan.m_firm = "Kilwa Records Services";
    plan.m_region = "dar-coast";
    plan.m_dataCentres = {"kariakoo", "upanga", "msasani", "temeke"};
    plan.m_nodes = nodes;
    plan.m_groups = {
        makeGroup("catalogue-desk", 10, 3, 2, 25, 6), makeGroup("accession-log", 15, 3, 2, 25, 6),
        makeGroup("retrieval-slip", 1, 4, 6, 50, 1), makeGroup("copy-orders", 1, 4, 6, 50, 1)};
    plan.m_kinds = {makeKind("land-claim-search", "catalogue-desk", AnswerMode::Complete, 6, 10000),
                    makeKind("quick-lookup", "catalogue-desk", AnswerMode::BestByDeadline, 9, 400),
                    makeKind("accession-search", "accession-log", AnswerMode::Complete, 4, 5000),
                    makeKind("box-request", "retrieval-slip", AnswerMode::Once, 5, 5000),
                    makeKind("copy-order", "copy-orders", AnswerMode::Once, 5, 5000)};
    return plan;
}

SitePlan fanOutPlan(int nodes, int services)
{
    SitePlan plan;
    plan.m_firm = "Load trial";
    plan.m_region = "local";
    plan.m_dataCentres = {"north", "south"};
    plan.m_nodes = nodes;
    plan.m_groups = {makeGroup("search", services, 3, 3, 30, 1),
                     makeGroup("orders", 1, 5, 6, 60, 1)};
    plan.m_kinds = {makeKind("search", "search", AnswerMode::Complete, 4, 2000),
                    makeKind("urgent", "search", AnswerMode::BestByDeadline, 9, 300),
                    makeKind("order", "orders", AnswerMode::Once, 6, 5000)};
    return plan;
}

} // namespace arbutusgrade::support
