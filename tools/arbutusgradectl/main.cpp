#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include <absl/flags/commandlineflag.h>
#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>

#include "commands.h"
#include "textfile/textfile.h"
#include "usage.h"

ABSL_FLAG(std::vector<std::string>, nodes, {},
          "addresses of nodes as IP:callerPort, comma-separated; the next is tried when one does "
          "not answer");
ABSL_FLAG(std::string, token_file, "", "file that holds the token of the team");
ABSL_FLAG(bool, json, false, "print JSON");
ABSL_FLAG(std::string, base, "", "base file");
ABSL_FLAG(std::vector<std::string>, overlay, {}, "overlay files, comma-separated");
ABSL_FLAG(std::vector<std::string>, remove_overlay, {},
          "sites whose overlay is removed, comma-separated");
ABSL_FLAG(std::int64_t, revision, -1, "revision that the change replaces, as shown by diff");
ABSL_FLAG(std::string, author, "", "who makes the change; the login name if not given");
ABSL_FLAG(std::string, summary, "", "what the change is for, at most 200 bytes");
ABSL_FLAG(std::string, change_id, "", "id of the change; a random one if not given");
ABSL_FLAG(bool, wait, false, "wait until the change is in force at all nodes");
ABSL_FLAG(double, timeout, 14.0, "seconds to wait");
ABSL_FLAG(std::string, payload, "{}", "JSON text that the targets get");
ABSL_FLAG(std::string, payload_file, "", "file with the JSON text that the targets get");
ABSL_FLAG(std::string, service, "", "service for a kind that asks one service; any if not given");
ABSL_FLAG(int, deadline, 0, "milliseconds until the answer must come; the kind's if not given");
ABSL_FLAG(std::string, request_id, "", "id of the request; a random one if not given");
ABSL_FLAG(std::vector<std::string>, log, {}, "files with log lines of nodes, comma-separated");
ABSL_FLAG(int, attempt, 1, "1 for the first send of a request id, higher when it is sent again");

namespace {

using namespace arbutusgrade::control;

//! Raised for faults of the command line; the program then ends with exitUsage.
class UsageError : public std::exception
{
public:
    explicit UsageError(std::string message) : m_message(std::move(message)) { }

    const char *what() const noexcept override
    {
        return m_message.c_str();
    }

private:
    std::string m_message;
};

struct RawArguments
{
    std::vector<std::string> m_words;
    std::map<std::string, std::string> m_flags;
    bool m_help = false;
};

bool isListFlag(const absl::CommandLineFlag &flag)
{
    return flag.IsOfType<std::vector<std::string>>();
}

void addFlag(RawArguments &arguments, const absl::CommandLineFlag &flag, const std::string &value)
{
    const std::string name(flag.Name());
    const bool isNew = arguments.m_flags.emplace(name, value).second;
    if (!isNew && !isListFlag(flag)) {
        throw UsageError("--" + name + " is given twice");
    }
    if (!isNew) {
        arguments.m_flags[name] += "," + value;
    }
}

//! Takes "--name=value" or "--name value"; the value of a switch may be left out.
std::size_t readFlag(const std::vector<std::string> &words, std::size_t index,
                     RawArguments &arguments)
{
    const std::string &word = words[index];
    const std::size_t equals = word.find('=');
    const std::string name = word.substr(2, equals == std::string::npos ? equals : equals - 2);
    const absl::CommandLineFlag *const flag = absl::FindCommandLineFlag(name);
    if (flag == nullptr) {
        throw UsageError("unknown flag --" + name);
    }
    if (equals != std::string::npos) {
        addFlag(arguments, *flag, word.substr(equals + 1));
        return index + 1;
    }
    if (flag->IsOfType<bool>()) {
        addFlag(arguments, *flag, "true");
        return index + 1;
    }
    if (index + 1 == words.size()) {
        throw UsageError("--" + name + " needs a value");
    }
    addFlag(arguments, *flag, words[index + 1]);
    return index + 2;
}

//! The parser of the flags library ends the program with 1 on faults, but 2 is documented.
RawArguments readArguments(const std::vector<std::string> &words)
{
    RawArguments arguments;
    for (std::size_t index = 0; index < words.size();) {
        if (words[index] == "--help" || words[index] == "-h") {
            arguments.m_help = true;
            ++index;
        } else if (words[index].starts_with("--")) {
            index = readFlag(words, index, arguments);
        } else {
            arguments.m_words.push_back(words[index]);
            ++index;
        }
    }
    return arguments;
}

void setFlags(const RawArguments &arguments, const CommandUsage &command)
{
    for (const std::pair<const std::string, std::string> &entry : arguments.m_flags) {
        if (std::find(command.m_flags.begin(), command.m_flags.end(), entry.first)
            == command.m_flags.end()) {
            throw UsageError(std::string(command.m_name) + " takes no --" + entry.first);
        }
        std::string error;
        if (!absl::FindCommandLineFlag(entry.first)->ParseFrom(entry.second, &error)) {
            throw UsageError("--" + entry.first + "=" + entry.second + ": " + error);
        }
    }
}

std::string readWholeFile(const std::string &name)
{
    std::optional<std::string> text = arbutusgrade::readTextFile(name);
    if (!text) {
        throw UsageError("cannot read " + name);
    }
    return std::move(*text);
}

std::vector<Endpoint> nodesFromFlags()
{
    std::vector<Endpoint> nodes;
    for (const std::string &text : absl::GetFlag(FLAGS_nodes)) {
        const std::optional<Endpoint> node = parseEndpoint(text);
        if (!node) {
            throw UsageError("--nodes: '" + text + "' is not an IP number with a port");
        }
        nodes.push_back(*node);
    }
    return nodes;
}

std::string tokenFromFlags()
{
    const std::string name = absl::GetFlag(FLAGS_token_file);
    if (name.empty()) {
        return {};
    }
    std::string token = readWholeFile(name);
    token.erase(token.find_last_not_of(" \t\r\n") + 1);
    return token;
}

std::string authorFromFlags()
{
    const std::string author = absl::GetFlag(FLAGS_author);
    const char *const login = std::getenv("USER");
    return !author.empty() ? author : login != nullptr && *login != '\0' ? login : "unnamed";
}

void readChangeFlags(CommandOptions &options)
{
    options.m_base = absl::GetFlag(FLAGS_base);
    options.m_overlays = absl::GetFlag(FLAGS_overlay);
    options.m_removedOverlays = absl::GetFlag(FLAGS_remove_overlay);
    if (absl::GetFlag(FLAGS_revision) >= 0) {
        options.m_revision = absl::GetFlag(FLAGS_revision);
    }
    options.m_author = authorFromFlags();
    options.m_summary = absl::GetFlag(FLAGS_summary);
    options.m_changeId = absl::GetFlag(FLAGS_change_id);
    options.m_wait = absl::GetFlag(FLAGS_wait);
}

void readQueryFlags(CommandOptions &options)
{
    const std::string payloadFile = absl::GetFlag(FLAGS_payload_file);
    options.m_payload =
        payloadFile.empty() ? absl::GetFlag(FLAGS_payload) : readWholeFile(payloadFile);
    options.m_service = absl::GetFlag(FLAGS_service);
    options.m_requestId = absl::GetFlag(FLAGS_request_id);
    options.m_sendNumber = absl::GetFlag(FLAGS_attempt);
    if (absl::GetFlag(FLAGS_deadline) > 0) {
        options.m_deadlineMilliseconds = absl::GetFlag(FLAGS_deadline);
    }
}

CommandOptions makeOptions(const RawArguments &arguments, const CommandUsage &command)
{
    setFlags(arguments, command);
    CommandOptions options;
    options.m_command = command.m_name;
    options.m_arguments.assign(arguments.m_words.begin() + 1, arguments.m_words.end());
    if (options.m_arguments.size() < command.m_minimumArguments
        || options.m_arguments.size() > command.m_maximumArguments) {
        throw UsageError(
            std::string(command.m_name) + " takes "
            + (command.m_arguments.empty() ? "no argument" : std::string(command.m_arguments)));
    }
    options.m_nodes = nodesFromFlags();
    if (command.m_callsNodes && options.m_nodes.empty()) {
        throw UsageError(std::string(command.m_name) + " needs --nodes");
    }
    options.m_token = tokenFromFlags();
    options.m_json = absl::GetFlag(FLAGS_json);
    const double seconds = std::clamp(absl::GetFlag(FLAGS_timeout), 0.0, 3600.0);
    options.m_timeout = std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000.0));
    options.m_logs = absl::GetFlag(FLAGS_log);
    readChangeFlags(options);
    readQueryFlags(options);
    return options;
}

int runArguments(const std::vector<std::string> &words)
{
    RawArguments arguments = readArguments(words);
    if (!arguments.m_words.empty() && arguments.m_words[0] == "help") {
        arguments.m_words.erase(arguments.m_words.begin());
        arguments.m_help = true;
    }
    if (arguments.m_words.empty()) {
        (arguments.m_help ? std::cout : std::cerr) << generalHelp();
        return arguments.m_help ? exitOk : exitUsage;
    }
    const CommandUsage *const command = findCommand(arguments.m_words[0]);
    if (command == nullptr) {
        throw UsageError("unknown command '" + arguments.m_words[0] + "'");
    }
    if (arguments.m_help) {
        std::cout << commandHelp(*command);
        return exitOk;
    }
    return runCommand(makeOptions(arguments, *command), CommandOutput{std::cout, std::cerr});
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return runArguments(std::vector<std::string>(argv + 1, argv + argc));
    } catch (const UsageError &error) {
        std::cerr << "arbutusgradectl: " << error.what()
                  << "\n'arbutusgradectl --help' lists the commands.\n";
        return exitUsage;
    } catch (const std::exception &error) {
        std::cerr << "arbutusgradectl: " << error.what() << "\n";
        return exitFailed;
    }
}
