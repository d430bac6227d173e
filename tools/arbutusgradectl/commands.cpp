#include "commands.h"

#include <array>
#include <ostream>
#include <span>
#include <stdexcept>

#include <boost/json.hpp>
#include <openssl/rand.h>

namespace arbutusgrade::control {

namespace {

namespace json = boost::json;

struct Command
{
    std::string_view m_name;
    int (*m_run)(const CommandOptions &, const CommandOutput &);
};

constexpr std::array<Command, 12> commands{{{"validate", runValidate},
                                            {"get", runGet},
                                            {"diff", runDiff},
                                            {"apply", runApply},
                                            {"change", runChange},
                                            {"history", runHistory},
                                            {"status", runStatus},
                                            {"drain", runDrain},
                                            {"undrain", runDrain},
                                            {"query", runQuery},
                                            {"explain", runExplain},
                                            {"new-token", runNewToken}}};

std::string randomHex(std::size_t byteCount)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::vector<unsigned char> bytes(byteCount);
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw std::runtime_error("the system gives no random numbers");
    }
    std::string text;
    for (const unsigned char byte : bytes) {
        text += digits[byte >> 4U];
        text += digits[byte & 0x0fU];
    }
    return text;
}

} // namespace

int runCommand(const CommandOptions &options, const CommandOutput &output)
{
    for (const Command &command : commands) {
        if (command.m_name == options.m_command) {
            return command.m_run(options, output);
        }
    }
    output.m_error << "arbutusgradectl: unknown command '" << options.m_command << "'\n";
    return exitUsage;
}

int runNewToken(const CommandOptions &options, const CommandOutput &output)
{
    const std::string token = randomHex(32);
    if (options.m_json) {
        output.m_out << json::object{{"token", token}, {"tokenHash", hashToken(token)}} << "\n";
        return exitOk;
    }
    output.m_out << "token (keep it secret): " << token << "\n"
                 << "tokenHash: " << hashToken(token) << "\n";
    return exitOk;
}

int reportFailure(const HttpAnswer &answer, const CommandOutput &output)
{
    if (answer.m_result == CallResult::Answered) {
        output.m_error << "arbutusgradectl: refused: "
                       << describeRefusal(answer.m_status, answer.m_body) << "\n";
        return exitFailed;
    }
    output.m_error << "arbutusgradectl: no node could be reached\n" << answer.m_error << "\n";
    return exitUnreachable;
}

int reportFindings(const std::vector<Finding> &findings, const CommandOptions &options,
                   const CommandOutput &output)
{
    if (options.m_json) {
        output.m_out << formatFindings(findings) << "\n";
        return exitUsage;
    }
    for (const Finding &finding : findings) {
        output.m_error << formatFinding(finding) << "\n";
    }
    return exitUsage;
}

std::string randomId()
{
    return randomHex(16);
}

} // namespace arbutusgrade::control
