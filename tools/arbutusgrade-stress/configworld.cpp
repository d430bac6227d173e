#include "configworld.h"

#include <algorithm>
#include <memory>

namespace arbutusgrade::stress {

namespace {

constexpr std::size_t nodeCount = 6;
constexpr std::size_t placeCount = 3;
constexpr Duration forceBound = Duration(5'000'000);

//! A store that takes 2 s each way delays the peers that a starting node asks (seed 1274), so the
//! bound of the design size holds there.
constexpr Duration slowStoreBound = Duration(14'000'000);

constexpr Duration gossipInterval = Duration(500'000);
constexpr std::size_t violationsKept = 10;

//! As membership does on first learning of a revision.
constexpr int pushFanout = 3;

} // namespace

ConfigurationWorld::ConfigurationWorld(const RunOptions &options, ConfigurationMutant mutant)
    : m_options(options), m_mutant(mutant), m_random{options.m_seed * 0x9e3779b97f4a7c15ULL + 7}
{
    m_nodes.resize(nodeCount);
    for (std::size_t index = 0; index < nodeCount; ++index) {
        m_nodes[index].m_name = "node-" + std::to_string(index + 1);
        m_nodes[index].m_place = index % placeCount;
        startNode(index);
    }
}

void ConfigurationWorld::check(bool condition, const char *name, const std::string &detail)
{
    ++m_result.m_checks;
    if (condition) {
        return;
    }
    trace(std::string("VIOLATION ") + name + ": " + detail);
    if (m_result.m_violations.size() < violationsKept) {
        m_result.m_violations.push_back(Violation{name, detail, "run"});
    }
}

void ConfigurationWorld::trace(const std::string &line)
{
    if (!m_options.m_subject.empty()) {
        const std::int64_t microseconds = m_queue.now().time_since_epoch().count();
        m_result.m_trace.push_back(std::to_string(microseconds) + " us: " + line);
    }
}

bool ConfigurationWorld::connected(std::size_t left, std::size_t right) const
{
    const std::size_t leftPlace = m_nodes[left].m_place;
    const std::size_t rightPlace = m_nodes[right].m_place;
    return leftPlace == rightPlace || (m_cutPlace != leftPlace && m_cutPlace != rightPlace);
}

void ConfigurationWorld::startNode(std::size_t index)
{
    ConfigurationNode &node = m_nodes[index];
    ++node.m_incarnation;
    node.m_up = true;
    node.m_inForce = -1;
    node.m_wasReady = false;
    node.m_startedAt = m_queue.now();
    node.m_pausedUntil = TimePoint();
    ConfigurationOptions options;
    options.m_node = node.m_name;
    options.m_dataCentre = "place-" + std::to_string(node.m_place);
    options.m_seed = m_options.m_seed + index * 100 + node.m_incarnation;
    options.m_baseText = "files";
    options.m_mutant = m_mutant;
    options.m_parse = [](const SettingsSource &, const SettingsSource &) {
        return Checked<Settings>(Settings());
    };
    node.m_core = createConfigurationCore(m_queue.now(), options);
    node.m_core.m_invariants.m_observer = [this](Invariant invariant, std::string_view detail) {
        check(false, std::string(invariantName(invariant)).c_str(), std::string(detail));
    };
    trace(node.m_name + " starts");
    shareMembers(index);
    gossip(index);
    wake(index);
}

void ConfigurationWorld::stopNode(std::size_t index)
{
    ConfigurationNode &node = m_nodes[index];
    trace(node.m_name + " is killed");
    m_result.m_checks += totalChecks(node.m_core.m_invariants);
    node.m_up = false;
    ++node.m_incarnation;
    m_queue.schedule(m_queue.now() + Duration(500'000) + randomTime(3'000'000),
                     [this, index]() { startNode(index); });
}

void ConfigurationWorld::deliver(std::size_t index, std::uint64_t incarnation,
                                 const NodeEvent &event)
{
    ConfigurationNode &node = m_nodes[index];
    if (!node.m_up || node.m_incarnation != incarnation) {
        return;
    }
    if (node.m_pausedUntil > m_queue.now()) {
        m_queue.schedule(node.m_pausedUntil, [this, index, incarnation, event]() {
            deliver(index, incarnation, event);
        });
        return;
    }
    ConfigurationActions actions;
    event(node.m_core, m_queue.now(), actions);
    perform(index, actions);
    checkReady(index);
}

//! Membership tells which nodes live; it learns of kills and cuts within a second here.
void ConfigurationWorld::shareMembers(std::size_t index)
{
    std::vector<ConfigurationMember> members;
    for (std::size_t peer = 0; peer < m_nodes.size(); ++peer) {
        if (peer != index && m_nodes[peer].m_up && connected(index, peer)) {
            members.push_back(ConfigurationMember{
                m_nodes[peer].m_name, "place-" + std::to_string(m_nodes[peer].m_place)});
        }
    }
    deliver(index, m_nodes[index].m_incarnation,
            [members](ConfigurationCore &core, TimePoint now, ConfigurationActions &actions) {
                updateMembers(core, now, members, actions);
            });
}

void ConfigurationWorld::gossip(std::size_t index)
{
    const std::uint64_t incarnation = m_nodes[index].m_incarnation;
    tellRevision(pickNode(), index);
    shareMembers(index);
    m_queue.schedule(m_queue.now() + gossipInterval, [this, index, incarnation]() {
        if (m_nodes[index].m_up && m_nodes[index].m_incarnation == incarnation) {
            gossip(index);
        }
    });
}

void ConfigurationWorld::wake(std::size_t index)
{
    const std::uint64_t incarnation = m_nodes[index].m_incarnation;
    deliver(index, incarnation,
            [](ConfigurationCore &core, TimePoint now, ConfigurationActions &actions) {
                advanceTime(core, now, actions);
            });
    m_queue.schedule(m_queue.now() + Duration(50'000), [this, index, incarnation]() {
        if (m_nodes[index].m_up && m_nodes[index].m_incarnation == incarnation) {
            wake(index);
        }
    });
}

void ConfigurationWorld::perform(std::size_t index, const ConfigurationActions &actions)
{
    for (const ConfigurationAction &action : actions) {
        if (const auto *call = std::get_if<CallConfigurationStore>(&action)) {
            performStoreCall(index, *call);
        } else if (const auto *pull = std::get_if<PullConfiguration>(&action)) {
            performPull(index, *pull);
        } else if (const auto *put = std::get_if<PutSettingsInForce>(&action)) {
            putInForce(index, *put);
        } else if (const auto *answer = std::get_if<AnswerWrite>(&action)) {
            takeAnswer(*answer);
        }
    }
}

void ConfigurationWorld::putInForce(std::size_t index, const PutSettingsInForce &action)
{
    ConfigurationNode &node = m_nodes[index];
    check(action.m_revision > node.m_inForce, "never-reverts",
          node.m_name + " goes from revision " + std::to_string(node.m_inForce) + " to "
              + std::to_string(action.m_revision));
    node.m_inForce = action.m_revision;
    addToDigest(m_result.m_digest, static_cast<std::uint64_t>(action.m_revision));
    addToDigest(m_result.m_digest,
                static_cast<std::uint64_t>(m_queue.now().time_since_epoch().count()));
    trace(node.m_name + " puts revision " + std::to_string(action.m_revision) + " in force");
    for (int push = 0; push < pushFanout; ++push) {
        tellRevision(index, pickNode());
    }
}

void ConfigurationWorld::tellRevision(std::size_t from, std::size_t to)
{
    if (from == to || !m_nodes[from].m_up || !m_nodes[to].m_up || !connected(from, to)) {
        return;
    }
    const std::string name = m_nodes[from].m_name;
    const std::int64_t revision = m_nodes[from].m_core.m_revision;
    const std::uint64_t incarnation = m_nodes[to].m_incarnation;
    m_queue.schedule(m_queue.now() + Duration(1000) + randomTime(20'000),
                     [this, to, incarnation, name, revision]() {
                         deliver(to, incarnation,
                                 [name, revision](ConfigurationCore &core, TimePoint now,
                                                  ConfigurationActions &actions) {
                                     observePeerRevision(core, now, name, revision, actions);
                                 });
                     });
}

void ConfigurationWorld::performPull(std::size_t index, const PullConfiguration &pull)
{
    const std::uint64_t incarnation = m_nodes[index].m_incarnation;
    std::optional<std::int64_t> revision;
    std::string text;
    for (std::size_t peer = 0; peer < m_nodes.size(); ++peer) {
        if (m_nodes[peer].m_name == pull.m_peer && m_nodes[peer].m_up && connected(index, peer)
            && m_nodes[peer].m_pausedUntil <= m_queue.now()) {
            revision = m_nodes[peer].m_core.m_revision;
            text = m_nodes[peer].m_core.m_text;
        }
    }
    const std::uint64_t handle = pull.m_pull;
    m_queue.schedule(
        m_queue.now() + Duration(2000), [this, index, incarnation, handle, revision, text]() {
            deliver(index, incarnation,
                    [handle, revision, text](ConfigurationCore &core, TimePoint now,
                                             ConfigurationActions &actions) {
                        handleConfigurationPull(core, now, handle, revision, text, actions);
                    });
        });
}

//! The reply of the store; none while a watch still waits.
std::optional<ConfigurationStoreReply> ConfigurationWorld::applyCall(
    const CallConfigurationStore &call, TimePoint until)
{
    ConfigurationStoreReply reply;
    reply.m_call = call.m_call;
    reply.m_revision = m_revision;
    reply.m_value = m_value;
    reply.m_status = ConfigurationCallStatus::Ok;
    switch (call.m_kind) {
    case ConfigurationCallKind::Read:
        if (m_revision == 0) {
            reply.m_status = ConfigurationCallStatus::NotFound;
        }
        return reply;
    case ConfigurationCallKind::Watch:
        if (m_revision > call.m_revision) {
            return reply;
        }
        reply.m_status = ConfigurationCallStatus::Unchanged;
        reply.m_value.clear();
        return m_queue.now() >= until ? std::optional(reply) : std::nullopt;
    case ConfigurationCallKind::CompareAndSwap:
        break;
    }
    if (m_revision != call.m_revision) {
        reply.m_status =
            m_revision == 0 ? ConfigurationCallStatus::NotFound : ConfigurationCallStatus::Conflict;
        return reply;
    }
    const std::int64_t highest = m_history.empty() ? 0 : m_history.back().second;
    const std::int64_t replaced = m_revision;
    m_revision = std::max(highest, m_revision) + 1;
    m_value = call.m_value;
    m_history.emplace_back(m_value, m_revision);
    const Checked<ConfigurationDocument> document = parseConfigurationDocument(m_value, m_revision);
    check(document.has_value(), "document-readable", "the store holds an unreadable document");
    if (document) {
        m_writes.push_back(EffectiveWrite{document.value().m_changeId, replaced, m_revision,
                                          m_queue.now(), false});
        trace("store: " + document.value().m_changeId + " is revision " + std::to_string(m_revision)
              + " after " + std::to_string(replaced));
    }
    reply.m_revision = m_revision;
    reply.m_value.clear();
    return reply;
}

void ConfigurationWorld::performStoreCall(std::size_t index, const CallConfigurationStore &call)
{
    const std::uint64_t incarnation = m_nodes[index].m_incarnation;
    const std::function<void(const ConfigurationStoreReply &)> answer =
        [this, index, incarnation](const ConfigurationStoreReply &reply) {
            deliver(index, incarnation,
                    [reply](ConfigurationCore &core, TimePoint now, ConfigurationActions &actions) {
                        handleStoreReply(core, now, reply, actions);
                    });
        };
    ConfigurationStoreReply lost;
    lost.m_call = call.m_call;
    const bool cut = m_cutPlace == m_nodes[index].m_place;
    if (cut || m_storeDownUntil > m_queue.now()) {
        const bool refused = chance(0.5);
        lost.m_status =
            refused ? ConfigurationCallStatus::NotSent : ConfigurationCallStatus::Unavailable;
        const TimePoint noticed = refused ? m_queue.now() + Duration(1000) : call.m_deadline;
        m_queue.schedule(noticed, [answer, lost]() { answer(lost); });
        return;
    }
    const bool loseReply = chance(m_loseReply);
    const Duration travel = Duration(500) + randomTime(m_storeDelay.count());
    const TimePoint until = m_queue.now() + call.m_wait;
    const std::shared_ptr<std::function<void()>> attempt =
        std::make_shared<std::function<void()>>();
    *attempt = [this, call, until, answer, lost, loseReply, travel,
                weak = std::weak_ptr<std::function<void()>>(attempt)]() {
        const std::optional<ConfigurationStoreReply> reply = applyCall(call, until);
        if (!reply) {
            // A waiting watch looks again; the strong reference keeps it alive until then.
            const std::shared_ptr<std::function<void()>> again = weak.lock();
            m_queue.schedule(m_queue.now() + Duration(100'000), [again]() { (*again)(); });
            return;
        }
        const ConfigurationStoreReply told = loseReply ? lost : *reply;
        m_queue.schedule(m_queue.now() + travel, [answer, told]() { answer(told); });
    };
    m_queue.schedule(m_queue.now() + travel, [attempt]() { (*attempt)(); });
}

//! Operators race: often a second one writes at another node against the same revision.
void ConfigurationWorld::submitChange(std::int64_t expected)
{
    const std::size_t index = pickNode();
    ConfigurationNode &node = m_nodes[index];
    if (!node.m_up || node.m_pausedUntil > m_queue.now()) {
        return;
    }
    ConfigurationWrite write;
    write.m_request = m_nextRequest;
    write.m_changeId = "change-" + std::to_string(m_nextRequest);
    write.m_author = "operator";
    write.m_summary = "apply";
    write.m_expectedRevision = expected >= 0 ? expected : node.m_core.m_revision;
    write.m_base = "base " + write.m_changeId;
    ++m_nextRequest;
    m_pending[write.m_request] = {write.m_changeId, write.m_expectedRevision};
    trace(node.m_name + " takes " + write.m_changeId + " for revision "
          + std::to_string(write.m_expectedRevision));
    deliver(index, node.m_incarnation,
            [write](ConfigurationCore &core, TimePoint now, ConfigurationActions &actions) {
                submitWrite(core, now, write, actions);
            });
    if (expected < 0 && chance(0.4)) {
        submitChange(write.m_expectedRevision);
    }
}

void ConfigurationWorld::takeAnswer(const AnswerWrite &answer)
{
    const auto found = m_pending.find(answer.m_request);
    if (found == m_pending.end()) {
        check(false, "one-answer", "a second answer to a write");
        return;
    }
    const std::string changeId = found->second.first;
    const std::int64_t expected = found->second.second;
    m_pending.erase(found);
    m_answers[changeId] = answer.m_result;
    addToDigest(m_result.m_digest, static_cast<std::uint64_t>(answer.m_result));
    trace(changeId + " is answered with result "
          + std::to_string(static_cast<int>(answer.m_result)));
    if (answer.m_result != WriteResult::Accepted) {
        return;
    }
    // A store that went back after the write may have taken the same change once more; each of its
    // revisions is true (seed 161).
    const auto write = std::find_if(
        m_writes.begin(), m_writes.end(), [&changeId, &answer](const EffectiveWrite &entry) {
            return entry.m_changeId == changeId && entry.m_revision == answer.m_revision;
        });
    if (write == m_writes.end()) {
        check(false, "accepted-truth",
              changeId + " is called revision " + std::to_string(answer.m_revision)
                  + ", but did not take effect as that");
        return;
    }
    check(write->m_replaced == expected, "no-lost-update",
          changeId + " replaced another revision than the operator expected");
    const EffectiveWrite accepted = *write;
    const TimePoint due = m_queue.now() + forceBound;
    m_queue.schedule(due, [this, accepted]() { checkInForce(accepted); });
}

void ConfigurationWorld::checkInForce(const EffectiveWrite &write)
{
    for (const ConfigurationNode &node : m_nodes) {
        // Nodes that were cut off, paused or started lately have their own bounds.
        const TimePoint since = m_queue.now() - forceBound - Duration(2'000'000);
        const bool disturbed =
            std::max({node.m_startedAt, node.m_disturbedAt, node.m_pausedUntil}) > since;
        if (!node.m_up || disturbed) {
            continue;
        }
        check(node.m_inForce >= write.m_revision, "in-force-everywhere",
              node.m_name + " has revision " + std::to_string(node.m_inForce) + " 5 s after "
                  + write.m_changeId + " was accepted as " + std::to_string(write.m_revision));
    }
}

void ConfigurationWorld::checkReady(std::size_t index)
{
    ConfigurationNode &node = m_nodes[index];
    if (node.m_wasReady || !node.m_core.m_ready) {
        return;
    }
    node.m_wasReady = true;
    trace(node.m_name + " is ready with revision " + std::to_string(node.m_inForce));
    const TimePoint old = m_queue.now() - slowStoreBound;
    const bool undisturbed = node.m_disturbedAt < old && m_rolledBackAt < old;
    for (const EffectiveWrite &write : m_writes) {
        if (undisturbed && write.m_at < old) {
            check(node.m_inForce >= write.m_revision, "ready-without-revert",
                  node.m_name + " is ready with revision " + std::to_string(node.m_inForce)
                      + " after " + std::to_string(write.m_revision) + " was written");
        }
    }
}

} // namespace arbutusgrade::stress
