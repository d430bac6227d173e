#include "claims/claims.h"

#include <array>

#include <boost/json.hpp>

namespace arbutusgrade {

namespace {

constexpr std::array<std::string_view, 3> stateNames{"claimed", "done", "released"};

std::optional<ClaimState> stateFromName(std::string_view name) noexcept
{
    for (std::size_t index = 0; index < stateNames.size(); ++index) {
        if (stateNames[index] == name) {
            return static_cast<ClaimState>(index);
        }
    }
    return std::nullopt;
}

std::optional<std::string> findStringField(const boost::json::object &object, std::string_view name)
{
    const boost::json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_string()) {
        return std::nullopt;
    }
    return std::string(value->get_string());
}

std::optional<std::uint64_t> findUnsignedField(const boost::json::object &object,
                                               std::string_view name)
{
    const boost::json::value *value = object.if_contains(name);
    if (value == nullptr) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const std::uint64_t number = value->to_number<std::uint64_t>(error);
    if (error) {
        return std::nullopt;
    }
    return number;
}

void encodeOutcome(const ClaimRecord &record, boost::json::object &object)
{
    object["outcome"] = record.m_outcome;
    object["reason"] = record.m_reason;
    object["service"] = record.m_service;
    object["epoch"] = record.m_snapshot.m_epoch;
    object["version"] = record.m_snapshot.m_version;
    if (record.m_result.size() <= claimResultLimitBytes) {
        object["result"] = record.m_result;
    }
}

bool decodeOutcome(const boost::json::object &object, ClaimRecord &record)
{
    const std::optional<std::string> outcome = findStringField(object, "outcome");
    if (!outcome) {
        return false;
    }
    record.m_outcome = *outcome;
    record.m_reason = findStringField(object, "reason").value_or("none");
    record.m_service = findStringField(object, "service").value_or("");
    record.m_snapshot.m_epoch = findUnsignedField(object, "epoch").value_or(0);
    record.m_snapshot.m_version = findUnsignedField(object, "version").value_or(0);
    const std::optional<std::string> result = findStringField(object, "result");
    record.m_hasResult = result.has_value();
    record.m_result = result.value_or("");
    return true;
}

bool isUnreservedCharacter(char character) noexcept
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
           || (character >= '0' && character <= '9') || character == '.' || character == '_'
           || character == '-';
}

void appendPercentEncoded(std::string &key, std::string_view part)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    for (const char character : part) {
        if (isUnreservedCharacter(character)) {
            key += character;
            continue;
        }
        const unsigned code = static_cast<unsigned char>(character);
        key += '%';
        key += digits[code >> 4U];
        key += digits[code & 15U];
    }
}

} // namespace

std::string encodeClaim(const ClaimRecord &record)
{
    boost::json::object object;
    object["state"] = stateNames[static_cast<std::size_t>(record.m_state)];
    object["fingerprint"] = record.m_fingerprint;
    object["node"] = record.m_node;
    object["incarnation"] = record.m_incarnation;
    object["nonce"] = record.m_nonce;
    if (record.m_state == ClaimState::Done) {
        encodeOutcome(record, object);
    }
    return boost::json::serialize(object);
}

std::optional<ClaimRecord> decodeClaim(std::string_view text)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(text, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    const boost::json::object &object = value.get_object();
    const std::optional<std::string> state = findStringField(object, "state");
    const std::optional<std::string> node = findStringField(object, "node");
    const std::optional<std::uint64_t> fingerprint = findUnsignedField(object, "fingerprint");
    const std::optional<std::uint64_t> incarnation = findUnsignedField(object, "incarnation");
    const std::optional<std::uint64_t> nonce = findUnsignedField(object, "nonce");
    if (!state || !node || !fingerprint || !incarnation || !nonce || !stateFromName(*state)) {
        return std::nullopt;
    }
    ClaimRecord record;
    record.m_state = *stateFromName(*state);
    record.m_node = *node;
    record.m_fingerprint = *fingerprint;
    record.m_incarnation = *incarnation;
    record.m_nonce = *nonce;
    if (record.m_state == ClaimState::Done && !decodeOutcome(object, record)) {
        return std::nullopt;
    }
    return record;
}

std::string claimKey(std::string_view group, std::string_view requestId)
{
    std::string key = "claims/";
    appendPercentEncoded(key, group);
    key += '/';
    appendPercentEncoded(key, requestId);
    return key;
}

} // namespace arbutusgrade
