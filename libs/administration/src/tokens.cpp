#include <algorithm>
#include <array>

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include "administration/administration.h"

namespace arbutusgrade {

namespace {

constexpr std::string_view hashPrefix = "sha256:";
constexpr std::string_view hexDigits = "0123456789abcdef";
constexpr std::size_t hashTextLength = hashPrefix.size() + 2 * SHA256_DIGEST_LENGTH;

using HashText = std::array<char, hashTextLength>;

//! Tokens are random and long, so that a plain hash cannot be searched for them.
HashText hashTextOf(std::string_view token) noexcept
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(token.data()), token.size(), digest.data());
    HashText text{};
    char *position = std::copy(hashPrefix.begin(), hashPrefix.end(), text.begin());
    for (const unsigned char byte : digest) {
        *position++ = hexDigits[byte >> 4U];
        *position++ = hexDigits[byte & 0x0fU];
    }
    return text;
}

bool matchesHash(const HashText &text, std::string_view tokenHash) noexcept
{
    return tokenHash.size() == text.size()
           && CRYPTO_memcmp(text.data(), tokenHash.data(), text.size()) == 0;
}

} // namespace

std::string hashToken(std::string_view token)
{
    const HashText text = hashTextOf(token);
    return std::string(text.begin(), text.end());
}

bool matchesToken(std::string_view token, std::string_view tokenHash) noexcept
{
    return !token.empty() && matchesHash(hashTextOf(token), tokenHash);
}

const TeamSettings *findTeam(const Settings &settings, std::string_view token) noexcept
{
    const HashText text = hashTextOf(token);
    const TeamSettings *match = nullptr;
    for (const TeamSettings &team : settings.m_teams) {
        const bool isMatch = matchesHash(text, team.m_tokenHash);
        match = isMatch && !token.empty() ? &team : match;
    }
    return match;
}

TokenBucket createTokenBucket(TimePoint now, int requestsPerSecond) noexcept
{
    const double rate = std::max(requestsPerSecond, 0);
    return TokenBucket{rate, std::max(rate, 1.0), std::max(rate, 1.0), now};
}

bool takeToken(TokenBucket &bucket, TimePoint now) noexcept
{
    if (bucket.m_ratePerSecond <= 0.0) {
        return true;
    }
    if (now > bucket.m_refilled) {
        const double seconds = std::chrono::duration<double>(now - bucket.m_refilled).count();
        bucket.m_tokens =
            std::min(bucket.m_burst, bucket.m_tokens + seconds * bucket.m_ratePerSecond);
        bucket.m_refilled = now;
    }
    if (bucket.m_tokens < 1.0) {
        return false;
    }
    bucket.m_tokens -= 1.0;
    return true;
}

} // namespace arbutusgrade
