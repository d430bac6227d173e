#include <algorithm>
#include <cstring>
#include <stdexcept>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include "details/organisations.h"

namespace arbutusgrade {

namespace {

constexpr std::string_view authorizationScheme = "token";
constexpr std::string_view hexDigits = "0123456789abcdef";

// Enough to tell 10,000 keys apart in a log.
constexpr std::size_t loggedHashBytes = 8;

// A faulty table of the largest size would otherwise yield thousands of findings.
constexpr std::size_t maximumFindings = 100;

// Of a name, in a finding.
constexpr std::size_t maximumQuotedBytes = 40;

using HashingKey = std::array<unsigned char, 32>;

HashingKey createHashingKey()
{
    HashingKey key{};
    if (RAND_bytes(key.data(), static_cast<int>(key.size())) != 1) {
        throw std::runtime_error("the system gives no random numbers to hash API keys with");
    }
    return key;
}

std::uint64_t indexKey(const ApiKeyHash &hash)
{
    std::uint64_t key = 0;
    std::memcpy(&key, hash.data(), sizeof(key));
    return key;
}

//! @brief Returns the first key with the hash, or null. The index narrows the search down by a hash
//! that the caller cannot compute; the comparison takes the same time for all bytes.
const ApiKey *findApiKey(const RoutingTable &table, const ApiKeyHash &hash)
{
    using Iterator = std::unordered_multimap<std::uint64_t, std::size_t>::const_iterator;
    const std::pair<Iterator, Iterator> range = table.m_apiKeyIndex.equal_range(indexKey(hash));
    for (Iterator it = range.first; it != range.second; ++it) {
        const ApiKey &key = table.m_apiKeys[it->second];
        if (CRYPTO_memcmp(key.m_hash.data(), hash.data(), hash.size()) == 0) {
            return &key;
        }
    }
    return nullptr;
}

std::string keyHashText(const ApiKeyHash &hash)
{
    std::string text;
    for (std::size_t index = 0; index < loggedHashBytes; ++index) {
        text += hexDigits[hash[index] >> 4U];
        text += hexDigits[hash[index] & 0x0fU];
    }
    return text;
}

bool hasScheme(std::string_view authorization)
{
    // ASCII only, independent of the locale.
    const auto matches = [](char left, char right) {
        return left == right || (left >= 'A' && left <= 'Z' && left - 'A' + 'a' == right);
    };
    return authorization.size() > authorizationScheme.size()
           && std::equal(
               authorizationScheme.begin(), authorizationScheme.end(), authorization.begin(),
               [&matches](char expected, char actual) { return matches(actual, expected); })
           && authorization[authorizationScheme.size()] == ' ';
}

//! @brief Returns the key of an Authorization header, or an empty text if it has none.
std::string_view extractKey(std::string_view authorization)
{
    if (!hasScheme(authorization)) {
        return {};
    }
    std::string_view key = authorization.substr(authorizationScheme.size());
    key.remove_prefix(std::min(key.find_first_not_of(' '), key.size()));
    return key;
}

//! @brief True if the name can be sent in a header, so that it cannot end the line, and arrives
//! unchanged: recipients strip spaces at its ends.
bool isValidName(std::string_view name)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    return !name.empty() && name.size() <= maximumOrganisationNameBytes && name.front() != ' '
           && name.back() != ' ' && std::all_of(name.begin(), name.end(), [](char character) {
                  const unsigned char byte = static_cast<unsigned char>(character);
                  return byte >= firstPrintable && byte != deleteCharacter;
              });
}

void addFinding(std::vector<Finding> &findings, std::string message)
{
    if (findings.size() < maximumFindings) {
        findings.emplace_back().m_message = std::move(message);
    }
}

std::string placeOf(const RoutingTable &table, std::size_t organisation)
{
    return "organisation " + std::to_string(organisation) + " ("
           + table.m_organisations[organisation].m_name.substr(0, maximumQuotedBytes) + ")";
}

std::string placeOf(const RoutingTable &table, const ApiKey &key)
{
    return "key " + std::to_string(key.m_position) + " of " + placeOf(table, key.m_organisation);
}

void validateNames(const RoutingTable &table, std::vector<Finding> &findings)
{
    std::unordered_map<std::string_view, std::size_t> firstPlaces;
    for (std::size_t index = 0; index < table.m_organisations.size(); ++index) {
        const std::string &name = table.m_organisations[index].m_name;
        if (!isValidName(name)) {
            addFinding(findings, "the name of " + placeOf(table, index) + " must have 1 to "
                                     + std::to_string(maximumOrganisationNameBytes)
                                     + " bytes, no control characters, and no space at its ends");
        }
        const std::size_t first = firstPlaces.emplace(name, index).first->second;
        if (first != index) {
            addFinding(findings, placeOf(table, first) + " and " + placeOf(table, index)
                                     + " have the same name");
        }
    }
}

void validateKeys(const RoutingTable &table, std::vector<Finding> &findings)
{
    for (const ApiKey &key : table.m_apiKeys) {
        if (key.m_isEmpty) {
            addFinding(findings, placeOf(table, key) + " is empty");
            continue;
        }
        const ApiKey *first = findApiKey(table, key.m_hash);
        if (first != nullptr && first->m_organisation != key.m_organisation) {
            addFinding(findings,
                       placeOf(table, *first) + " and " + placeOf(table, key) + " are the same");
        }
    }
}

} // namespace

ApiKeyHash hashApiKey(std::string_view key)
{
    static const HashingKey hashingKey = createHashingKey();
    ApiKeyHash hash{};
    unsigned int length = 0;
    const unsigned char *result =
        HMAC(EVP_sha256(), hashingKey.data(), static_cast<int>(hashingKey.size()),
             reinterpret_cast<const unsigned char *>(key.data()), key.size(), hash.data(), &length);
    if (result == nullptr || length != hash.size()) {
        throw std::runtime_error("libcrypto cannot compute HMAC-SHA-256");
    }
    return hash;
}

void addOrganisation(RoutingTable &table, const Organisation &organisation,
                     std::span<const std::string> keys)
{
    const std::size_t index = table.m_organisations.size();
    table.m_definesOrganisations = true;
    table.m_organisations.push_back(organisation);
    for (std::size_t position = 0; position < keys.size(); ++position) {
        const ApiKeyHash hash = hashApiKey(keys[position]);
        // A copy of a key is left out of the index, so that a search stays short.
        if (findApiKey(table, hash) == nullptr) {
            table.m_apiKeyIndex.emplace(indexKey(hash), table.m_apiKeys.size());
        }
        table.m_apiKeys.push_back(ApiKey{hash, index, position, keys[position].empty()});
    }
}

void validateOrganisations(const RoutingTable &table, std::vector<Finding> &findings)
{
    if (table.m_organisations.size() > maximumOrganisations) {
        addFinding(findings, "there are more than " + std::to_string(maximumOrganisations)
                                 + " organisations");
    }
    if (table.m_apiKeys.size() > maximumApiKeys) {
        addFinding(findings, "there are more than " + std::to_string(maximumApiKeys) + " API keys");
    }
    validateNames(table, findings);
    validateKeys(table, findings);
}

CallerIdentity identifyCaller(const RoutingTable &table, const Route &route,
                              std::string_view authorization)
{
    CallerIdentity identity;
    if (!table.m_definesOrganisations) {
        return identity;
    }
    const std::string_view key = extractKey(authorization);
    const ApiKey *holder = nullptr;
    if (!key.empty()) {
        const ApiKeyHash hash = hashApiKey(key);
        identity.m_keyHash = keyHashText(hash);
        holder = findApiKey(table, hash);
    }
    if (holder != nullptr) {
        identity.m_status = CallerStatus::Identified;
        identity.m_organisation = &table.m_organisations[holder->m_organisation];
    } else if (!route.m_anonymousAccess) {
        identity.m_status = CallerStatus::Unauthorized;
        identity.m_reason = !key.empty()            ? "key-unknown"
                            : authorization.empty() ? "key-missing"
                                                    : "key-malformed";
    }
    return identity;
}

} // namespace arbutusgrade
