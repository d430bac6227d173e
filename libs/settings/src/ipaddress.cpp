#include "details/ipaddress.h"

#include <array>
#include <span>

#include <arpa/inet.h>

namespace arbutusgrade::details {

namespace {

struct RawAddress
{
    std::array<std::uint8_t, sizeof(in6_addr)> m_bytes{};
    int m_family = AF_INET;
};

std::size_t addressLength(const RawAddress &address)
{
    return address.m_family == AF_INET ? sizeof(in_addr) : sizeof(in6_addr);
}

std::optional<RawAddress> toRaw(std::string_view text)
{
    const std::string terminated(text);
    RawAddress address;
    address.m_family = text.find(':') == std::string_view::npos ? AF_INET : AF_INET6;
    if (inet_pton(address.m_family, terminated.c_str(), address.m_bytes.data()) != 1) {
        return std::nullopt;
    }
    return address;
}

std::optional<std::string> toText(const RawAddress &address)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (inet_ntop(address.m_family, address.m_bytes.data(), text.data(), text.size()) == nullptr) {
        return std::nullopt;
    }
    return std::string(text.data());
}

//! Unspecified, multicast and broadcast addresses belong to no single machine.
bool isUnicast(const RawAddress &address)
{
    if (address.m_family == AF_INET) {
        return address.m_bytes[0] != 0 && address.m_bytes[0] < 224;
    }
    const RawAddress unspecified{{}, AF_INET6};
    return address.m_bytes[0] != 0xff && address.m_bytes != unspecified.m_bytes;
}

} // namespace

std::optional<std::string> normalizeAddress(std::string_view text)
{
    const std::optional<RawAddress> address = toRaw(text);
    return address && isUnicast(*address) ? toText(*address) : std::nullopt;
}

std::optional<std::string> addressAfter(std::string_view first, std::uint32_t distance)
{
    std::optional<RawAddress> address = toRaw(first);
    if (!address) {
        return std::nullopt;
    }
    const std::span<std::uint8_t> bytes =
        std::span<std::uint8_t>(address->m_bytes).first(addressLength(*address));
    std::uint64_t carry = distance;
    for (std::size_t i = bytes.size(); i-- > 0;) {
        carry += bytes[i];
        bytes[i] = static_cast<std::uint8_t>(carry & 0xffU);
        carry >>= 8U;
    }
    return carry == 0 && isUnicast(*address) ? toText(*address) : std::nullopt;
}

std::string formatEndpoint(std::string_view address, std::uint16_t port)
{
    const bool isVersionSix = address.find(':') != std::string_view::npos;
    std::string text;
    text += isVersionSix ? "[" : "";
    text += address;
    text += isVersionSix ? "]:" : ":";
    text += std::to_string(port);
    return text;
}

} // namespace arbutusgrade::details
