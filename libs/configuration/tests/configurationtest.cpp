#include "configuration/configuration.h"

#include <gtest/gtest.h>

namespace arbutusgrade {
namespace {

using Status = ConfigurationCallStatus;

constexpr Duration second{1'000'000};

Checked<Settings> parseAnything(const SettingsSource &base, const SettingsSource & /*overlay*/)
{
    if (base.m_text.find("broken") != std::string_view::npos) {
        return std::vector<Finding>{Finding{base.m_name, 1, 1, "broken"}};
    }
    ServiceSettings service;
    service.m_targets.resize(2);
    service.m_targets[0].m_name = "t1";
    service.m_targets[1].m_name = "t2";
    GroupSettings group;
    group.m_services.push_back(service);
    Settings settings;
    settings.m_groups.push_back(group);
    return settings;
}

template <typename Wanted> std::vector<Wanted> pick(const ConfigurationActions &actions)
{
    std::vector<Wanted> picked;
    for (const ConfigurationAction &action : actions) {
        if (const Wanted *wanted = std::get_if<Wanted>(&action)) {
            picked.push_back(*wanted);
        }
    }
    return picked;
}

std::string documentText(const std::string &changeId, std::int64_t replaced,
                         const std::string &base = "base")
{
    ConfigurationDocument document;
    document.m_changeId = changeId;
    document.m_author = "olav";
    document.m_base = base;
    document.m_changes.push_back({replaced, 0, changeId, "olav", "", ""});
    return formatConfigurationDocument(document);
}

class ConfigurationTest : public testing::Test
{
protected:
    ConfigurationTest()
    {
        ConfigurationOptions options;
        options.m_node = "n1";
        options.m_dataCentre = "a";
        options.m_baseText = "files";
        options.m_parse = parseAnything;
        m_core = createConfigurationCore(m_now, options);
    }

    //! Runs the timers and returns the store calls made.
    std::vector<CallConfigurationStore> advance(Duration step = Duration(0))
    {
        m_now += step;
        m_actions.clear();
        advanceTime(m_core, m_now, m_actions);
        return pick<CallConfigurationStore>(m_actions);
    }

    void reply(std::uint64_t call, Status status, const std::string &value = {},
               std::int64_t revision = 0)
    {
        m_actions.clear();
        handleStoreReply(m_core, m_now, {call, status, value, revision}, m_actions);
    }

    //! Boots with a revision that the store holds.
    void boot(std::int64_t revision)
    {
        const std::vector<CallConfigurationStore> calls = advance();
        ASSERT_EQ(calls.size(), 1U);
        reply(calls[0].m_call, Status::Ok, documentText("first", revision - 1), revision);
        ASSERT_EQ(m_core.m_revision, revision);
        setMembers({{"n2", "a"}});
    }

    void setMembers(const std::vector<ConfigurationMember> &members)
    {
        m_actions.clear();
        updateMembers(m_core, m_now, members, m_actions);
    }

    //! Starts a write over revision 5 and returns its store calls.
    std::vector<CallConfigurationStore> write(std::int64_t expected = 5,
                                              const std::string &base = "new")
    {
        ConfigurationWrite change;
        change.m_request = 7;
        change.m_changeId = "mine";
        change.m_author = "kari";
        change.m_expectedRevision = expected;
        change.m_base = base;
        m_actions.clear();
        submitWrite(m_core, m_now, change, m_actions);
        return pick<CallConfigurationStore>(m_actions);
    }

    //! Advances in small steps until the core calls the store for the write.
    CallConfigurationStore nextWriteCall()
    {
        for (int step = 0; step < 40; ++step) {
            for (const CallConfigurationStore &call : advance(Duration(100'000))) {
                if (call.m_call != m_core.m_watchCall && call.m_call != m_core.m_readCall) {
                    return call;
                }
            }
        }
        ADD_FAILURE() << "no store call for the write";
        return {};
    }

    AnswerWrite answer()
    {
        const std::vector<AnswerWrite> answers = pick<AnswerWrite>(m_actions);
        EXPECT_EQ(answers.size(), 1U);
        return answers.empty() ? AnswerWrite{} : answers[0];
    }

    TimePoint m_now{second * 100};
    ConfigurationCore m_core;
    ConfigurationActions m_actions;
};

// Guards against serving revision 0 after a restart, while the system is at a later revision.
TEST_F(ConfigurationTest, PeerAtRevisionZeroDoesNotMakeABootingNodeReady)
{
    setMembers({{"n2", "a"}});
    advance();
    const std::vector<PullConfiguration> pulls = pick<PullConfiguration>(m_actions);
    ASSERT_EQ(pulls.size(), 1U);
    handleConfigurationPull(m_core, m_now, pulls[0].m_pull, 0, "", m_actions);
    EXPECT_FALSE(m_core.m_ready);
    EXPECT_FALSE(readinessReason(m_core).empty());
    reply(m_core.m_readCall, Status::NotFound);
    EXPECT_TRUE(m_core.m_ready);
    EXPECT_EQ(m_core.m_document.m_base, "files");
}

// Guards against a store that lost its data and makes a booting node revert to the files.
TEST_F(ConfigurationTest, BootWaitsForAPeerAfterTheStoreSaidNone)
{
    setMembers({{"n2", "a"}});
    advance();
    const std::uint64_t pull = pick<PullConfiguration>(m_actions).at(0).m_pull;
    reply(m_core.m_readCall, Status::NotFound);
    EXPECT_FALSE(m_core.m_ready);
    handleConfigurationPull(m_core, m_now, pull, 9, documentText("late", 8), m_actions);
    EXPECT_EQ(m_core.m_revision, 9);
    ASSERT_EQ(pick<PutSettingsInForce>(m_actions).size(), 1U);
}

// Guards against a boot that hangs because no peer answers.
TEST_F(ConfigurationTest, BootEndsWithTheStoreAloneAfterTheGrace)
{
    setMembers({{"n2", "a"}});
    advance();
    reply(m_core.m_readCall, Status::NotFound);
    advance(m_core.m_options.m_bootPeerGrace);
    EXPECT_TRUE(m_core.m_ready);
    EXPECT_EQ(m_core.m_revision, 0);
}

// Guards against a revision that reverts when the store comes back with older data.
TEST_F(ConfigurationTest, OlderStoreRaisesOneAlarmAndChangesNothing)
{
    boot(5);
    for (int round = 0; round < 2; ++round) {
        while (m_core.m_readCall == 0 && m_core.m_watchCall == 0) {
            advance(Duration(200'000));
        }
        const std::uint64_t call = std::max(m_core.m_readCall, m_core.m_watchCall);
        reply(call, Status::Ok, documentText("old", 2), 3);
        EXPECT_EQ(pick<RaiseConfigurationAlarm>(m_actions).size(), round == 0 ? 1U : 0U);
        EXPECT_EQ(m_core.m_revision, 5);
    }
    reply(m_core.m_readCall, Status::NotFound);
    EXPECT_EQ(m_core.m_revision, 5);
    EXPECT_EQ(totalViolations(m_core.m_invariants), 0U);
}

// Guards against a document with mistakes that replaces a good one, and against endless pulls.
TEST_F(ConfigurationTest, InvalidDocumentIsNeverPutInForce)
{
    boot(5);
    m_actions.clear();
    observePeerRevision(m_core, m_now, "n2", 6, m_actions);
    const std::uint64_t pull = pick<PullConfiguration>(m_actions).at(0).m_pull;
    handleConfigurationPull(m_core, m_now, pull, 6, documentText("bad", 5, "broken"), m_actions);
    EXPECT_EQ(m_core.m_revision, 5);
    EXPECT_EQ(pick<RaiseConfigurationAlarm>(m_actions).size(), 1U);
    m_actions.clear();
    observePeerRevision(m_core, m_now, "n2", 6, m_actions);
    EXPECT_TRUE(m_actions.empty());
    handleConfigurationPull(m_core, m_now, pull, 7, "{", m_actions);
    observePeerRevision(m_core, m_now, "n2", 7, m_actions);
    EXPECT_EQ(pick<PullConfiguration>(m_actions).size(), 1U);
}

// Guards against a load on the store that grows with the number of nodes.
TEST_F(ConfigurationTest, OnlyTwoNodesOfADataCentreWatch)
{
    std::vector<ConfigurationMember> members;
    for (int index = 1; index <= 8; ++index) {
        members.push_back({"n" + std::to_string(index), index <= 6 ? "a" : "b"});
    }
    int watchers = 0;
    for (int index = 1; index <= 6; ++index) {
        ConfigurationOptions options;
        options.m_node = "n" + std::to_string(index);
        options.m_dataCentre = "a";
        ConfigurationCore core = createConfigurationCore(m_now, options);
        updateMembers(core, m_now, members, m_actions);
        watchers += core.m_watcher ? 1 : 0;
    }
    EXPECT_EQ(watchers, 2);
}

// Guards against a data centre that no longer hears of changes when its watchers are lost, and
// against polls of nodes that do hear of the store.
TEST_F(ConfigurationTest, SilentDataCentrePollsAndNewsOfTheStoreStopsIt)
{
    boot(5);
    m_core.m_watcher = false;
    m_core.m_watchCall = 0;
    m_core.m_readCall = 0;
    m_core.m_callDeadline = farFuture;
    std::size_t calls = 0;
    for (int step = 0; step < 300; ++step) {
        observeStoreContact(m_core, m_now, second * 4);
        calls += advance(Duration(100'000)).size();
    }
    EXPECT_EQ(calls, 0U);
    for (int step = 0; step < 150 && calls == 0; ++step) {
        calls += advance(Duration(100'000)).size();
    }
    EXPECT_EQ(calls, 1U);
}

// Guards against a node that goes on as watcher after a pause without a new view of the members.
TEST_F(ConfigurationTest, RoleLapsesAfterAPause)
{
    boot(5);
    EXPECT_TRUE(m_core.m_watcher);
    advance(second * 3);
    EXPECT_FALSE(m_core.m_watcher);
    setMembers({{"n2", "a"}});
    EXPECT_TRUE(m_core.m_watcher);
}

// Guards against a store that is called without bound when it fails or answers at once.
TEST_F(ConfigurationTest, StoreCallsAreBounded)
{
    std::uint64_t calls = 0;
    m_core.m_watcher = true;
    for (int step = 0; step < 600; ++step) {
        for (const CallConfigurationStore &call : advance(Duration(100'000))) {
            ++calls;
            reply(call.m_call, step < 300 ? Status::Unavailable : Status::Unchanged, {}, 0);
        }
    }
    EXPECT_LE(calls, 66U);
    EXPECT_GE(calls, 20U);
    EXPECT_EQ(m_core.m_statistics.m_reads + m_core.m_statistics.m_watches, calls);
}

// Guards against an accepted change that is reported as failed because the reply was lost.
TEST_F(ConfigurationTest, LostReplyIsSettledByTheChangeId)
{
    boot(5);
    const std::vector<CallConfigurationStore> calls = write();
    ASSERT_EQ(calls.size(), 1U);
    EXPECT_EQ(calls[0].m_revision, 5);
    reply(calls[0].m_call, Status::Unavailable);
    const CallConfigurationStore read = nextWriteCall();
    EXPECT_EQ(read.m_kind, ConfigurationCallKind::Read);
    // Another operator has changed the document since.
    ConfigurationDocument later = parseConfigurationDocument(calls[0].m_value, 6).value();
    later.m_changes.insert(later.m_changes.begin(), {6, 0, "theirs", "ola", "", ""});
    reply(read.m_call, Status::Ok, formatConfigurationDocument(later), 7);
    EXPECT_EQ(answer().m_result, WriteResult::Accepted);
    EXPECT_EQ(answer().m_revision, 6);
    EXPECT_EQ(m_core.m_revision, 7);
}

// Guards against a change that is lost because the first try never reached the store.
TEST_F(ConfigurationTest, WriteIsRepeatedWhileTheDocumentIsUnchanged)
{
    boot(5);
    const std::vector<CallConfigurationStore> calls = write();
    reply(calls.at(0).m_call, Status::Unavailable);
    reply(nextWriteCall().m_call, Status::Ok, documentText("first", 4), 5);
    const std::vector<CallConfigurationStore> again = pick<CallConfigurationStore>(m_actions);
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].m_value, calls[0].m_value);
    reply(again[0].m_call, Status::Ok, {}, 6);
    EXPECT_EQ(answer().m_result, WriteResult::Accepted);
}

// Guards against a claim that nothing was written while the write may still take effect.
TEST_F(ConfigurationTest, UnsettledWriteIsUnknownAndUnsentWriteIsNotApplied)
{
    for (const bool sent : {true, false}) {
        if (sent) {
            boot(5);
        }
        const std::vector<CallConfigurationStore> calls = write();
        reply(calls.at(0).m_call, sent ? Status::Unavailable : Status::NotSent);
        std::vector<AnswerWrite> answers;
        while (answers.empty()) {
            for (const CallConfigurationStore &call : advance(Duration(100'000))) {
                handleStoreReply(m_core, m_now, {call.m_call, Status::NotSent, {}, 0}, m_actions);
            }
            answers = pick<AnswerWrite>(m_actions);
        }
        EXPECT_EQ(answers[0].m_result, sent ? WriteResult::Unknown : WriteResult::NotApplied);
    }
}

// Guards against an operator without an answer when the process ends before the store settles the
// change, and against a look-up that is left open in the same way.
TEST_F(ConfigurationTest, ProcessThatEndsAnswersItsWritesAndLookUpsBefore)
{
    boot(5);
    EXPECT_EQ(write().size(), 1U);
    lookUpChange(m_core, m_now, 8, "other", m_actions);
    const TimePoint answerBy = m_now + second;
    limitAnswers(m_core, answerBy);
    lookUpChange(m_core, m_now, 9, "another", m_actions);
    advance(answerBy - m_now - Duration(1));
    EXPECT_TRUE(pick<AnswerWrite>(m_actions).empty());
    EXPECT_TRUE(pick<AnswerChange>(m_actions).empty());
    advance(Duration(1));
    EXPECT_EQ(answer().m_result, WriteResult::Unknown);
    const std::vector<AnswerChange> lookUps = pick<AnswerChange>(m_actions);
    ASSERT_EQ(lookUps.size(), 2U);
    EXPECT_EQ(lookUps[0].m_state, ChangeState::Unknown);
    EXPECT_EQ(lookUps[1].m_state, ChangeState::Unknown);
}

// Guards against a second operator who overwrites the change of the first unseen.
TEST_F(ConfigurationTest, RaceGivesAConflictWithTheDifference)
{
    boot(5);
    const std::vector<CallConfigurationStore> calls = write(5, "same\nmine\n");
    reply(calls.at(0).m_call, Status::Conflict, documentText("theirs", 5, "same\nother\n"), 6);
    EXPECT_EQ(answer().m_result, WriteResult::Conflict);
    EXPECT_EQ(answer().m_changeId, "theirs");
    EXPECT_EQ(answer().m_difference, "@@ base line 2 @@\n-other\n+mine\n");
    EXPECT_EQ(m_core.m_revision, 6);
    write(5);
    EXPECT_EQ(answer().m_result, WriteResult::Conflict);
}

// Guards against a conflict that is told although the change may lie before the kept history.
TEST_F(ConfigurationTest, WriteOlderThanTheHistoryIsUnknown)
{
    boot(5);
    reply(write().at(0).m_call, Status::Unavailable);
    ConfigurationDocument later;
    later.m_base = "base";
    for (std::int64_t revision = 40; revision > 24; --revision) {
        later.m_changes.push_back({revision - 1, 0, "c" + std::to_string(revision), "", "", ""});
    }
    reply(nextWriteCall().m_call, Status::Ok, formatConfigurationDocument(later), 40);
    EXPECT_EQ(answer().m_result, WriteResult::Unknown);
}

// Guards against a write of a document that no node could put in force.
TEST_F(ConfigurationTest, WriteWithFindingsOrTooLargeIsRefused)
{
    boot(5);
    EXPECT_TRUE(write(5, "broken").empty());
    EXPECT_EQ(answer().m_result, WriteResult::Invalid);
    EXPECT_EQ(answer().m_findings.size(), 1U);
    EXPECT_TRUE(write(5, std::string(configurationLimitBytes, 'x')).empty());
    EXPECT_EQ(answer().m_result, WriteResult::Invalid);
}

// Guards against a site without an overlay whose absent file is refused as an empty one.
TEST_F(ConfigurationTest, SiteWithoutAnOverlayHasNoSecondSource)
{
    std::vector<std::string> names;
    m_core.m_options.m_parse = [&names](const SettingsSource &base, const SettingsSource &overlay) {
        names.push_back(overlay.m_name);
        return parseAnything(base, overlay);
    };
    boot(5);
    write();
    EXPECT_EQ(names, std::vector<std::string>({"", ""}));
}

// Guards against a drained target that gets work again with the next change of the YAML.
TEST_F(ConfigurationTest, DrainedTargetsAreKeptByLaterChanges)
{
    boot(5);
    ConfigurationWrite drain;
    drain.m_request = 1;
    drain.m_changeId = "drain";
    drain.m_expectedRevision = 5;
    drain.m_base = "base";
    drain.m_draining = {"t2"};
    submitWrite(m_core, m_now, drain, m_actions);
    reply(pick<CallConfigurationStore>(m_actions).back().m_call, Status::Ok, {}, 6);
    const std::vector<CallConfigurationStore> calls = write(6);
    reply(calls.at(0).m_call, Status::Ok, {}, 7);
    const Settings settings = *pick<PutSettingsInForce>(m_actions).at(0).m_settings;
    const std::vector<TargetSettings> &targets = settings.m_groups[0].m_services[0].m_targets;
    EXPECT_FALSE(targets[0].m_draining);
    EXPECT_TRUE(targets[1].m_draining);
}

// Guards against a look-up that says "absent" where the store did not answer.
TEST_F(ConfigurationTest, LookUpTellsAbsentOnlyFromTheStore)
{
    boot(5);
    for (const Status status : {Status::Unavailable, Status::Ok}) {
        m_actions.clear();
        lookUpChange(m_core, m_now, 3, "other", m_actions);
        const std::uint64_t call = pick<CallConfigurationStore>(m_actions).at(0).m_call;
        reply(call, status, documentText("first", 4), 5);
        EXPECT_EQ(pick<AnswerChange>(m_actions).at(0).m_state,
                  status == Status::Ok ? ChangeState::Absent : ChangeState::Unknown);
    }
    m_actions.clear();
    lookUpChange(m_core, m_now, 3, "first", m_actions);
    EXPECT_EQ(pick<AnswerChange>(m_actions).at(0).m_revision, 5);
}

// Guards against entries whose revision cannot be told from the stored text.
TEST(ConfigurationDocument, RevisionsOfChangesAreResolvedFromWhatTheyReplaced)
{
    ConfigurationDocument document;
    document.m_base = "b";
    document.m_overlays["a"] = "o";
    document.m_changes = {{12, 0, "third", "", "", ""}, {8, 0, "second", "", "", ""}};
    const std::string text = formatConfigurationDocument(document);
    const ConfigurationDocument parsed = parseConfigurationDocument(text, 20).value();
    EXPECT_EQ(findChange(parsed, "third")->m_revision, 20);
    EXPECT_EQ(findChange(parsed, "second")->m_revision, 12);
    EXPECT_EQ(parsed.m_overlays, document.m_overlays);
    EXPECT_FALSE(parseConfigurationDocument("[]", 1));
    EXPECT_FALSE(parseConfigurationDocument(std::string(configurationLimitBytes + 1, ' '), 1));
}

// Guards against a document of another writer that ends the process, or a number that overflows.
TEST(ConfigurationDocument, OddDocumentsAreRefusedOrReadWithoutTheirOddParts)
{
    for (const std::string &text :
         {std::string(), std::string(configurationLimitBytes, '['),
          std::string(configurationLimitBytes, '{'), std::string(configurationLimitBytes + 1, ' '),
          std::string(100, '\0'), std::string("\xff"), std::string("1e400"), std::string("[]"),
          std::string(R"({"base":1e400})"), std::string(R"({"base":"b","x":)") + "\xff}",
          R"({"base":"b","x":)" + std::string(100'000, '[') + std::string(100'000, ']') + "}"}) {
        EXPECT_FALSE(parseConfigurationDocument(text, 5)) << text.substr(0, 40);
    }
    for (const char *const number : {"-1e308", "18446744073709551615", "1.5", "\"1\"", "null"}) {
        const Checked<ConfigurationDocument> document = parseConfigurationDocument(
            R"({"base":"b","overlays":[1],"draining":[1,{}],"changes":[{"replaced":)"
                + std::string(number) + R"(,"author":7},7]})",
            5);
        ASSERT_TRUE(document) << number;
        ASSERT_EQ(document.value().m_changes.size(), 1U);
        EXPECT_EQ(document.value().m_changes[0].m_replaced, 0);
        EXPECT_TRUE(document.value().m_draining.empty());
    }
}

} // namespace
} // namespace arbutusgrade
