#include <fstream>
#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "commands.h"
#include "fakenode.h"
#include "support/process.h"

namespace arbutusgrade {
namespace {

using namespace control;
using testing::AllOf;
using testing::Contains;
using testing::ElementsAre;
using testing::HasSubstr;
using testing::Not;

std::string readText(const std::string &name)
{
    std::ifstream file(name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string exampleFile(std::string_view name)
{
    return std::string(ARBUTUSGRADE_EXAMPLES) + "/sendernett/" + std::string(name);
}

//! The example in force as revision 7, and a changed copy of its base on disk.
class Commands : public testing::Test
{
protected:
    Commands() : m_node(inForce())
    {
        m_options.m_nodes = {Endpoint{"127.0.0.1", m_node.port()}};
        m_options.m_author = "test";
        m_options.m_settleTime = std::chrono::milliseconds(300);
        m_options.m_timeout = std::chrono::milliseconds(300);
        m_options.m_pollInterval = std::chrono::milliseconds(20);
        std::string text = readText(exampleFile("base.yaml"));
        const std::string_view line = "deadlineMilliseconds: 300\n";
        text.replace(text.find(line), line.size(), "deadlineMilliseconds: 350\n");
        m_changedBase = m_directory.path() + "/base.yaml";
        std::ofstream(m_changedBase) << text;
    }

    static ConfigurationView inForce()
    {
        ConfigurationView view;
        view.m_revision = 7;
        view.m_document.m_author = "kari";
        view.m_document.m_base = readText(exampleFile("base.yaml"));
        view.m_document.m_overlays["voss"] = readText(exampleFile("voss.yaml"));
        return view;
    }

    int run(std::string command, std::vector<std::string> arguments = {})
    {
        m_options.m_command = std::move(command);
        m_options.m_arguments = std::move(arguments);
        m_out.str({});
        m_error.str({});
        return runCommand(m_options, CommandOutput{m_out, m_error});
    }

    int applyChangedBase(std::int64_t revision)
    {
        m_options.m_base = m_changedBase;
        m_options.m_revision = revision;
        return run("apply");
    }

    std::ptrdiff_t changesSent() const
    {
        const std::vector<std::string> calls = m_node.calls();
        return std::count(calls.begin(), calls.end(), "POST /v1/admin/configuration");
    }

    support::TemporaryDirectory m_directory;
    std::string m_changedBase;
    FakeNode m_node;
    CommandOptions m_options;
    std::ostringstream m_out;
    std::ostringstream m_error;
};

// Guards against an apply that loses the overlays or another file that it does not name.
TEST_F(Commands, ApplyReplacesOnlyTheNamedFiles)
{
    EXPECT_EQ(applyChangedBase(7), exitOk) << m_error.str();
    EXPECT_THAT(m_out.str(), HasSubstr("accepted as revision 8"));
    EXPECT_EQ(m_node.view().m_document.m_base, readText(m_changedBase));
    EXPECT_EQ(m_node.view().m_document.m_overlays, inForce().m_document.m_overlays);
    m_options.m_base.clear();
    m_options.m_overlays = {exampleFile("bergen.yaml")};
    m_options.m_removedOverlays = {"voss"};
    m_options.m_revision = 8;
    EXPECT_EQ(run("apply"), exitOk) << m_error.str();
    EXPECT_THAT(m_node.view().m_document.m_overlays,
                ElementsAre(testing::Pair("bergen", readText(exampleFile("bergen.yaml")))));
}

// Guards against a second operator who overwrites the first one's change without seeing it.
TEST_F(Commands, ApplyOnAnOlderRevisionIsAConflict)
{
    EXPECT_EQ(applyChangedBase(6), exitConflict);
    EXPECT_THAT(m_error.str(), AllOf(HasSubstr("revision 7 by kari"), HasSubstr("-a\n+b\n"),
                                     HasSubstr("--revision=7")));
    m_options.m_revision.reset();
    EXPECT_EQ(run("apply"), exitUsage);
    EXPECT_EQ(m_node.view().m_revision, 7);
}

// Guards against a change that is sent twice, or called failed, because its answer was lost.
TEST_F(Commands, ApplyWithoutAnswerIsSettledByItsId)
{
    FakeNode second(inForce());
    m_options.m_nodes.push_back(Endpoint{"127.0.0.1", second.port()});
    m_node.setFate(ChangeFate::AppliedWithoutAnswer);
    EXPECT_EQ(applyChangedBase(7), exitOk) << m_error.str();
    EXPECT_THAT(m_out.str(), HasSubstr("accepted as revision 8"));
    m_node.setFate(ChangeFate::UnknownThenApplied);
    EXPECT_EQ(applyChangedBase(8), exitOk) << m_error.str();
    m_node.setFate(ChangeFate::LostBeforeApplied);
    EXPECT_EQ(applyChangedBase(9), exitFailed);
    EXPECT_THAT(m_error.str(), HasSubstr("not applied"));
    EXPECT_EQ(changesSent(), 3);
    EXPECT_THAT(second.calls(), Not(Contains("POST /v1/admin/configuration")));
}

// Guards against faulty files that reach the nodes, and an old overlay that a new base breaks.
TEST_F(Commands, ApplyRefusesFindingsBeforeItSendsAnything)
{
    std::string text = readText(m_changedBase);
    text.replace(text.find("name: manual-fetch"), 18, "name: manual-copy!");
    std::ofstream(m_changedBase) << text;
    EXPECT_EQ(applyChangedBase(7), exitUsage);
    EXPECT_THAT(m_error.str(), HasSubstr("'manual-copy!' is not a name"));
    text.replace(text.find("name: manual-copy!"), 18, "name: manual-copyy");
    std::ofstream(m_changedBase) << text;
    EXPECT_EQ(applyChangedBase(7), exitUsage);
    EXPECT_THAT(m_error.str(), HasSubstr("overlays/voss:4:11: the base has no item named"));
    EXPECT_EQ(changesSent(), 0);
}

// Guards against an outage that ends a command although another node answers.
TEST_F(Commands, UnreachableNodesArePassedOver)
{
    const Endpoint closed{"127.0.0.1", 1};
    m_options.m_nodes.insert(m_options.m_nodes.begin(), closed);
    EXPECT_EQ(applyChangedBase(7), exitOk) << m_error.str();
    EXPECT_EQ(run("get"), exitOk);
    EXPECT_EQ(m_out.str(), readText(m_changedBase));
    m_options.m_nodes = {closed, closed};
    EXPECT_EQ(run("status"), exitUnreachable);
    EXPECT_EQ(applyChangedBase(8), exitUnreachable);
}

// Guards against a refusal by the store that is reported as success or as unknown.
TEST_F(Commands, ChangesAreRefusedWhileTheStoreIsDown)
{
    m_node.setFate(ChangeFate::Refused);
    EXPECT_EQ(applyChangedBase(7), exitFailed);
    EXPECT_THAT(m_error.str(), HasSubstr("the store cannot be reached"));
}

// Guards against --wait that forgets nodes which lack the change, or waits for leaving ones.
TEST_F(Commands, WaitNamesTheNodesThatLackTheChange)
{
    m_options.m_wait = true;
    const Settings settings =
        parseSettings({"base", inForce().m_document.m_base}, SettingsSource{}).value();
    NodeList list{8, {}};
    for (const NodeSettings &node : settings.m_nodes) {
        list.m_nodes.push_back({node.m_name, node.m_dataCentre, "alive", 8});
    }
    list.m_nodes[7] = {"voss-2", "voss", "dead", 7};
    list.m_nodes[6] = {"voss-1", "voss", "left", 7};
    list.m_nodes.pop_back(); // voss-3
    m_node.setNodes(list);
    EXPECT_EQ(applyChangedBase(7), exitNotInForce);
    EXPECT_THAT(m_out.str(), HasSubstr("in force on 6 of 8 nodes"));
    EXPECT_THAT(m_error.str(), AllOf(HasSubstr("voss-2 (voss, dead, revision 7)"),
                                     HasSubstr("voss-3 (voss, not seen, revision unknown)"),
                                     Not(HasSubstr("voss-1")), Not(HasSubstr("forde"))));
    list.m_nodes.push_back({"voss-3", "voss", "alive", 9});
    for (NodeStatus &node : list.m_nodes) {
        node.m_revision = 9;
    }
    m_node.setNodes(list);
    EXPECT_EQ(applyChangedBase(8), exitOk) << m_error.str();
}

// Guards against a drain whose lost answer is reported as a failure, or that is sent on blindly.
TEST_F(Commands, DrainIsSettledByReading)
{
    EXPECT_EQ(run("drain", {"feilsok-01-1"}), exitOk) << m_error.str();
    EXPECT_THAT(m_node.view().m_document.m_draining, ElementsAre("feilsok-01-1"));
    m_node.setFate(ChangeFate::AppliedWithoutAnswer);
    EXPECT_EQ(run("undrain", {"feilsok-01-1"}), exitOk) << m_error.str();
    EXPECT_THAT(m_node.calls(), Contains("POST /v1/admin/targets/feilsok-01-1/undrain").Times(1));
    EXPECT_EQ(run("drain", {"a/../b"}), exitUsage);
}

// Guards against differences that are computed against the wrong file or site.
TEST_F(Commands, DiffComparesWithWhatIsInForce)
{
    m_options.m_base = m_changedBase;
    m_options.m_overlays = {exampleFile("voss.yaml")};
    EXPECT_EQ(run("diff"), exitOk) << m_error.str();
    EXPECT_THAT(m_out.str(),
                AllOf(HasSubstr("in force: revision 7\n"), HasSubstr("--- base in force\n"),
                      HasSubstr("-    deadlineMilliseconds: 300\n+    deadlineMilliseconds: 350\n"),
                      Not(HasSubstr("overlay voss"))));
}

// Guards against a partial answer that is shown without its lacking shards.
TEST_F(Commands, QueryShowsTheCoverage)
{
    EXPECT_EQ(run("query", {"fault-history-search"}), exitUsage);
    m_options.m_payload = R"({"text":"relay"})";
    EXPECT_EQ(run("query", {"fault-history-search"}), exitOk) << m_error.str();
    EXPECT_THAT(m_out.str(), AllOf(HasSubstr("outcome: partial"), HasSubstr("included: 1 shards"),
                                   HasSubstr(R"(lacking: {"shard":"b"})")));
}

// Guards against a status that hides nodes which are behind, or targets that get no work.
TEST_F(Commands, StatusShowsWhatIsUnusual)
{
    m_node.setNodes({9,
                     {{"n-1", "voss", "alive", 9},
                      {"n-2", "voss", "suspect", 8},
                      {"n-3", "voss", "dead", -1}}});
    EXPECT_EQ(run("status"), exitOk) << m_error.str();
    EXPECT_THAT(m_out.str(), AllOf(testing::ContainsRegex("n-2 +voss +suspect +8  behind"),
                                   testing::ContainsRegex("n-3 +voss +dead +unknown"),
                                   HasSubstr("storeContactAgeSeconds: 0.25"),
                                   HasSubstr("draining: a\n"), HasSubstr("ejected: b\n")));
}

struct ProgramCase
{
    std::vector<std::string> m_arguments;
    int m_exitCode;
    std::string_view m_output;
};

// Guards against exit codes and messages of the program that differ from the documented ones.
TEST(Program, ExitCodesOfTheCommandLine)
{
    const std::string base = "--base=" + exampleFile("base.yaml");
    const std::vector<ProgramCase> cases{
        {{}, exitUsage, "Usage: arbutusgradectl COMMAND"},
        {{"--help"}, exitOk, "Exit codes:"},
        {{"apply", "--help"}, exitOk, "--remove_overlay"},
        {{"help", "drain"}, exitOk, "arbutusgradectl drain feilsok-01-1"},
        {{"aply"}, exitUsage, "unknown command 'aply'"},
        {{"status"}, exitUsage, "status needs --nodes"},
        {{"status", "--nodes=example.org:80"}, exitUsage, "is not an IP number with a port"},
        {{"status", "--nodes", "127.0.0.1:1"}, exitUnreachable, "Connection refused"},
        {{"validate", base, "--wait"}, exitUsage, "validate takes no --wait"},
        {{"validate", base, "--flagfile=x"}, exitUsage, "unknown flag --flagfile"},
        {{"validate", base, base}, exitUsage, "--base is given twice"},
        {{"validate", "--base"}, exitUsage, "--base needs a value"},
        {{"validate", "--base=/nonexistent"}, exitUsage, "cannot read /nonexistent"},
        {{"validate", base, "--overlay=" + exampleFile("voss.yaml"),
          "--overlay=" + exampleFile("forde.yaml")},
         exitOk,
         "no findings: Statens Sendernett Vedlikehold, 9 nodes, 4 groups, 90 targets, 5 kinds, 2 "},
        {{"validate", base, "--overlay=" + exampleFile("../kilwa/temeke.yaml")},
         exitUsage,
         "temeke.yaml:2:7: there is no data centre 'temeke'"},
        {{"new-token", "--json"}, exitOk, "sha256:"},
    };
    const support::TemporaryDirectory directory;
    for (const ProgramCase &program : cases) {
        std::vector<std::string> command{std::string(ARBUTUSGRADE_PROGRAMS) + "/arbutusgradectl"};
        command.insert(command.end(), program.m_arguments.begin(), program.m_arguments.end());
        const std::string outputFile = directory.path() + "/output";
        support::ChildProcess child(command, outputFile);
        const std::optional<support::ExitState> state = child.wait(std::chrono::seconds(10));
        ASSERT_TRUE(state.has_value());
        EXPECT_EQ(state->m_code, program.m_exitCode) << program.m_output;
        EXPECT_THAT(readText(outputFile), HasSubstr(program.m_output));
    }
}

// Guards against an on-call engineer who has to put the lines of several nodes in order by hand.
TEST_F(Commands, ExplainPrintsTheDecisionsOnOneRequestInOrder)
{
    const std::string first = m_directory.path() + "/first.log";
    const std::string second = m_directory.path() + "/second.log";
    std::ofstream(first)
        << R"(  3.1 n1 {"time":"T2","node":"n1","event":"answer","fields":{"request":"a1","reason":"time-over"}})"
        << "\n{\"time\":\"T1\",\"node\":\"n1\",\"event\":\"hedge\",\"fields\":{\"request\":\"b2\"}}"
           "\n";
    std::ofstream(second)
        << R"({"time":"T1","node":"n2","event":"retry","fields":{"request":"a1","reason":"reset"}})"
        << "\nno json\n";
    m_options.m_command = "explain";
    m_options.m_arguments = {"a1"};
    m_options.m_logs = {first, second};
    std::ostringstream out;
    std::ostringstream error;
    EXPECT_EQ(runCommand(m_options, CommandOutput{out, error}), exitOk);
    EXPECT_EQ(out.str(), "T1 n2 retry reason=reset\nT2 n1 answer reason=time-over\n");
    m_options.m_arguments = {"unknown"};
    EXPECT_EQ(runCommand(m_options, CommandOutput{out, error}), exitFailed);
}

} // namespace
} // namespace arbutusgrade
