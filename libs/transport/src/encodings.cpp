#include <cctype>

#include <boost/beast/core/detail/base64.hpp>

#include "transport/transport.h"

namespace arbutusgrade {

namespace base64 = boost::beast::detail::base64;

std::string percentEncode(std::string_view text)
{
    static constexpr std::string_view hex = "0123456789ABCDEF";
    static constexpr std::string_view plain = "-._~/";
    std::string encoded;
    for (const char character : text) {
        const unsigned char byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || plain.find(character) != std::string_view::npos) {
            encoded += character;
        } else {
            encoded += '%';
            encoded += hex[byte >> 4U];
            encoded += hex[byte & 0xFU];
        }
    }
    return encoded;
}

std::string encodeBase64(std::string_view bytes)
{
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    // The library stops at the first character that is no base64, and writes more than it announces
    // when the padding is missing.
    constexpr std::size_t groupCharacters = 4;
    if (text.size() % groupCharacters != 0) {
        return std::nullopt;
    }
    std::string bytes(base64::decoded_size(text.size()), '\0');
    const std::pair<std::size_t, std::size_t> decoded =
        base64::decode(bytes.data(), text.data(), text.size());
    bytes.resize(decoded.first);
    const std::string_view rest = text.substr(decoded.second);
    if (!rest.empty() && rest != "=" && rest != "==") {
        return std::nullopt;
    }
    return bytes;
}

} // namespace arbutusgrade
