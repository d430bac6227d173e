#include "harness.h"

#include <gtest/gtest.h>

namespace arbutusgrade {

Settings makeSettings(int services, int targets, int connections, int nodes)
{
    Settings settings;
    settings.m_site = "east";
    for (int node = 0; node < nodes; ++node) {
        settings.m_nodes.emplace_back().m_name = "node" + std::to_string(node);
    }
    GroupSettings &group = settings.m_groups.emplace_back();
    group.m_name = "g";
    for (int service = 0; service < services; ++service) {
        ServiceSettings &shard = group.m_services.emplace_back();
        shard.m_name = "s" + std::to_string(service);
        shard.m_connections = connections;
        for (int target = 0; target < targets; ++target) {
            TargetSettings &replica = shard.m_targets.emplace_back();
            replica.m_name = shard.m_name + "-t" + std::to_string(target);
            replica.m_dataCentre = "east";
        }
    }
    const std::vector<std::pair<std::string, AnswerMode>> kinds{
        {"all", AnswerMode::Complete},
        {"best", AnswerMode::BestByDeadline},
        {"one", AnswerMode::Single},
        {"order", AnswerMode::Once}};
    for (const std::pair<std::string, AnswerMode> &kind : kinds) {
        KindSettings &kindSettings = settings.m_kinds.emplace_back();
        kindSettings.m_name = kind.first;
        kindSettings.m_group = "g";
        kindSettings.m_mode = kind.second;
        kindSettings.m_retries = kind.second == AnswerMode::Once ? 0 : 3;
    }
    return settings;
}

Harness::Harness(Settings settings, QueryOptions options) : m_settings(std::move(settings))
{
    if (options.m_node.empty()) {
        options.m_node = "node0";
    }
    m_engine = createQueryEngine(options);
    adoptSettings(*m_engine, m_now, m_settings, m_actions);
    collectActions();
}

void Harness::collectActions()
{
    for (Action &action : m_actions) {
        if (SendAttempt *send = std::get_if<SendAttempt>(&action)) {
            m_attempts.push_back(std::move(*send));
        } else if (CallStore *call = std::get_if<CallStore>(&action)) {
            m_storeCalls.push_back(std::move(*call));
        } else if (CancelAttempt *cancel = std::get_if<CancelAttempt>(&action)) {
            m_cancels.push_back(std::move(*cancel));
        } else if (AnswerCaller *answered = std::get_if<AnswerCaller>(&action)) {
            const CallerId caller = answered->m_answer.m_caller;
            m_answers[caller].push_back(std::move(answered->m_answer));
        } else if (AnnounceDrain *drain = std::get_if<AnnounceDrain>(&action)) {
            m_drainAnnouncements.push_back(std::move(*drain));
        } else if (AnnounceQuarantine *quarantine = std::get_if<AnnounceQuarantine>(&action)) {
            m_quarantineAnnouncements.push_back(*quarantine);
        }
    }
    m_actions.clear();
}

CallerId Harness::submit(const std::string &kind, const std::string &payload,
                         const std::string &requestId, int sendNumber)
{
    CallerRequest request;
    request.m_caller = ++m_lastCaller;
    request.m_requestId = requestId.empty() ? "r" + std::to_string(m_lastCaller) : requestId;
    request.m_kind = kind;
    request.m_sendNumber = sendNumber;
    request.m_payload = std::make_shared<const std::string>(payload);
    submitRequest(*m_engine, m_now, request, m_actions);
    collectActions();
    return request.m_caller;
}

void Harness::replyOk(const SendAttempt &attempt, Snapshot snapshot)
{
    AttemptReply reply;
    reply.m_attempt = attempt.m_attempt;
    reply.m_requestId = attempt.m_requestId;
    reply.m_service = attempt.m_service;
    reply.m_status = AttemptStatus::Ok;
    reply.m_snapshot = snapshot;
    reply.m_entries = "[\"" + attempt.m_service + "\"]";
    handleAttemptReply(*m_engine, m_now, attempt.m_target, reply, m_actions);
    collectActions();
}

void Harness::reply(const SendAttempt &attempt, AttemptStatus status,
                    const std::vector<Snapshot> &holdings)
{
    AttemptReply reply;
    reply.m_attempt = attempt.m_attempt;
    reply.m_requestId = attempt.m_requestId;
    reply.m_service = attempt.m_service;
    reply.m_status = status;
    reply.m_holdings = holdings;
    handleAttemptReply(*m_engine, m_now, attempt.m_target, reply, m_actions);
    collectActions();
}

void Harness::failAttempt(const SendAttempt &attempt, AttemptFailure failure)
{
    handleAttemptFailure(*m_engine, m_now, attempt.m_attempt, failure, m_actions);
    collectActions();
}

void Harness::storeReply(const CallStore &call, StoreStatus status, const std::string &value,
                         std::int64_t revision)
{
    handleStoreReply(*m_engine, m_now, StoreReply{call.m_call, status, value, revision}, m_actions);
    collectActions();
}

void Harness::replyToAll(Snapshot snapshot)
{
    while (!m_attempts.empty()) {
        replyOk(nextAttempt(), snapshot);
    }
}

void Harness::advance(Duration duration)
{
    const TimePoint end = m_now + duration;
    while (nextWakeUp(*m_engine) <= end) {
        m_now = std::max(m_now, nextWakeUp(*m_engine));
        advanceTime(*m_engine, m_now, m_actions);
    }
    m_now = end;
    advanceTime(*m_engine, m_now, m_actions);
    collectActions();
}

void Harness::pause(Duration duration)
{
    m_now += duration;
}

void Harness::observe(const TargetObservation &observation)
{
    observeTarget(*m_engine, m_now, observation, m_actions);
    collectActions();
}

void Harness::reportHoldings(const std::vector<Snapshot> &holdings)
{
    for (const ServiceSettings &service : m_settings.m_groups.front().m_services) {
        for (const TargetSettings &target : service.m_targets) {
            TargetObservation observation;
            observation.m_target = target.m_name;
            observation.m_holdings = holdings;
            observe(observation);
        }
    }
}

SendAttempt Harness::nextAttempt()
{
    if (m_attempts.empty()) {
        ADD_FAILURE() << "no attempt was sent";
        return {};
    }
    SendAttempt attempt = std::move(m_attempts.front());
    m_attempts.pop_front();
    return attempt;
}

CallStore Harness::nextStoreCall()
{
    if (m_storeCalls.empty()) {
        ADD_FAILURE() << "no store call was made";
        return {};
    }
    CallStore call = std::move(m_storeCalls.front());
    m_storeCalls.pop_front();
    return call;
}

const CallerAnswer *Harness::answer(CallerId caller) const
{
    const auto found = m_answers.find(caller);
    return found == m_answers.end() ? nullptr : &found->second.front();
}

void expectAnswer(const Harness &harness, CallerId caller, Outcome outcome, Reason reason)
{
    const CallerAnswer *answer = harness.answer(caller);
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(outcomeName(answer->m_outcome), outcomeName(outcome));
    EXPECT_EQ(reasonName(answer->m_reason), reasonName(reason));
    EXPECT_EQ(harness.m_answers.at(caller).size(), 1U);
}

} // namespace arbutusgrade
