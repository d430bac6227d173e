#include "usage.h"

#include <algorithm>
#include <array>

#include <absl/flags/commandlineflag.h>
#include <absl/flags/reflection.h>

namespace arbutusgrade::control {

namespace {

using FlagName = std::string_view;

constexpr std::array<FlagName, 3> validateFlags{"base", "overlay", "json"};
constexpr std::array<FlagName, 3> readFlags{"nodes", "token_file", "json"};
constexpr std::array<FlagName, 6> diffFlags{"nodes", "token_file", "json",
                                            "base",  "overlay",    "remove_overlay"};
constexpr std::array<FlagName, 12> applyFlags{"nodes",   "token_file",     "json",     "base",
                                              "overlay", "remove_overlay", "revision", "author",
                                              "summary", "change_id",      "wait",     "timeout"};
constexpr std::array<FlagName, 10> queryFlags{
    "nodes",   "token_file", "json",       "payload", "payload_file",
    "service", "deadline",   "request_id", "attempt", "timeout"};
constexpr std::array<FlagName, 1> localFlags{"json"};

constexpr std::array<FlagName, 1> explainFlags{"log"};

constexpr std::array<CommandUsage, 12> commands{{
    {"validate", "", 0, 0, false, validateFlags, "checks files without calling a node",
     R"(Prints every finding of the base and of each overlay as file:line:column: message.

Examples:
  arbutusgradectl validate --base=base.yaml
  arbutusgradectl validate --base=base.yaml --overlay=bergen.yaml,voss.yaml
)"},
    {"get", "[SITE]", 0, 1, true, readFlags, "prints the base in force, or the overlay of a site",
     R"(The output is the exact text, so it can be edited and applied.

Examples:
  arbutusgradectl get --nodes=127.0.0.1:17011 > base.yaml
  arbutusgradectl get bergen --nodes=127.0.0.1:17011 > bergen.yaml
)"},
    {"diff", "", 0, 0, true, diffFlags, "shows how files differ from what is in force",
     R"(Files that are not named stay as they are in force. The first line tells the revision that
apply needs.

Examples:
  arbutusgradectl diff --nodes=127.0.0.1:17011 --base=base.yaml
  arbutusgradectl diff --nodes=127.0.0.1:17011 --overlay=bergen.yaml
)"},
    {"apply", "", 0, 0, true, applyFlags, "puts files in force at all nodes",
     R"(Checks the files, then replaces the base and the overlays that are named; the others stay as
they are. --revision is the revision that diff showed. If another change came first, nothing is
changed and the exit code is 4. If no answer comes, the change is looked up by its id and never
sent twice. To go back to earlier contents, apply the earlier files as a new change.

Examples:
  arbutusgradectl apply --nodes=127.0.0.1:17011,127.0.0.1:17014 --base=base.yaml --revision=12
  arbutusgradectl apply --nodes=127.0.0.1:17011 --overlay=bergen.yaml --revision=12 --wait
  arbutusgradectl apply --nodes=127.0.0.1:17011 --remove_overlay=voss --revision=13
)"},
    {"change", "CHANGEID", 1, 1, true, readFlags, "tells what became of a change",
     R"(Exit code 0 if it was accepted, 1 if it is absent or not known.

Examples:
  arbutusgradectl change 0123456789abcdef --nodes=127.0.0.1:17011
)"},
    {"history", "", 0, 0, true, readFlags, "lists the last changes, newest first",
     R"(Shows revision, time, author, change id and summary. Earlier contents are not kept.

Examples:
  arbutusgradectl history --nodes=127.0.0.1:17011
)"},
    {"status", "", 0, 0, true, readFlags, "lists the nodes with their state and revision",
     R"(The list is the view of the node that answers.

Examples:
  arbutusgradectl status --nodes=127.0.0.1:17011,127.0.0.1:17014
  arbutusgradectl status --nodes=127.0.0.1:17011 --json
)"},
    {"drain", "TARGET", 1, 1, true, readFlags, "takes a target out of use",
     R"(Within 3 s no node sends new work to the target. Work that runs there ends normally.

Examples:
  arbutusgradectl drain feilsok-01-1 --nodes=127.0.0.1:17011 --token_file=token
)"},
    {"undrain", "TARGET", 1, 1, true, readFlags, "puts a drained target back into use",
     R"(Examples:
  arbutusgradectl undrain feilsok-01-1 --nodes=127.0.0.1:17011 --token_file=token
)"},
    {"query", "KIND", 1, 1, true, queryFlags, "sends one request and prints the answer",
     R"(Exit code 0 for the outcomes complete and partial. A request that may have run is not sent to
a second node; the message says how to send it again safely.

Examples:
  arbutusgradectl query fault-history-search --nodes=127.0.0.1:17011 --payload='{"text":"relay"}'
  arbutusgradectl query work-order --nodes=127.0.0.1:17011 --payload_file=order.json
)"},
    {"explain", "ID", 1, 1, false, explainFlags, "prints the decisions on a request from logs",
     R"(Reads log lines of one or several nodes and prints what was decided on the request, in order
of time. What a log collector puts before a line is passed over.

Examples:
  arbutusgradectl explain 9c41d07be2a35f68 --log=front-1.log,front-2.log
)"},
    {"new-token", "", 0, 0, false, localFlags, "makes a token for a team and its hash",
     R"(The hash goes into the settings (teams, tokenHash); the token goes to the team.

Examples:
  arbutusgradectl new-token
)"},
}};

constexpr std::string_view exitCodes = R"(
Exit codes:
  0  ok
  1  the operation was refused or failed
  2  usage error or findings in settings
  3  nobody could be reached
  4  conflict of revisions
  5  accepted but not in force everywhere in time
)";

std::string padded(std::string_view text, std::size_t width)
{
    std::string result(text);
    result.resize(std::max(width, result.size() + 1), ' ');
    return result;
}

} // namespace

const CommandUsage *findCommand(std::string_view name)
{
    for (const CommandUsage &command : commands) {
        if (command.m_name == name) {
            return &command;
        }
    }
    return nullptr;
}

std::string generalHelp()
{
    std::string text = "Usage: arbutusgradectl COMMAND [ARGUMENT] [--FLAG=VALUE...]\n\nCommands:\n";
    for (const CommandUsage &command : commands) {
        text += "  " + padded(command.m_name, 12) + std::string(command.m_summary) + "\n";
    }
    text += "\n'arbutusgradectl COMMAND --help' explains a command with examples.\n";
    return text + std::string(exitCodes);
}

std::string commandHelp(const CommandUsage &command)
{
    std::string text = "Usage: arbutusgradectl " + std::string(command.m_name);
    if (!command.m_arguments.empty()) {
        text += " " + std::string(command.m_arguments);
    }
    text += " [--FLAG=VALUE...]\n\n" + std::string(command.m_summary) + "\n\n"
            + std::string(command.m_details) + "\nFlags:\n";
    for (const std::string_view name : command.m_flags) {
        const absl::CommandLineFlag *const flag = absl::FindCommandLineFlag(std::string(name));
        text += "  --" + padded(name, 16) + (flag == nullptr ? std::string() : flag->Help()) + "\n";
    }
    return text + std::string(exitCodes);
}

} // namespace arbutusgrade::control
