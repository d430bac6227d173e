#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "base/base.h"
#include "membership/membership.h"
#include "quota/quota.h"

//! @brief Encoding of the messages between nodes: Thrift compact protocol, and frames for TCP.
//!
//! Input from the network is never trusted: malformed input gives an error, without an exception
//! and without an allocation that its own length does not justify.
namespace arbutusgrade {

//! @brief Largest body of a frame.
inline constexpr std::uint32_t frameLimitBytes = 4'194'304;

inline constexpr std::size_t frameHeaderBytes = 4;

//! @brief Largest datagram on the link between gateway nodes; one of this size is not fragmented.
inline constexpr std::size_t quotaLimitBytes = 1'200;

//! @brief Version of the datagrams on the link between gateway nodes, their first byte.
inline constexpr std::uint8_t quotaFormatVersion = 1;

enum class WireError {
    Malformed,
    TooLarge,
    OtherVersion, //!< Sent by a node of another release.
};

std::string_view wireErrorName(WireError error) noexcept;

//! @brief A value or an error; to take the value of an error is a fault that ends the program.
template <typename Value>
using Decoded = outcome::std_result<Value, WireError, outcome::policy::terminate>;

//! @brief Asks a peer for its configuration, its state of the cluster, or both.
struct PullRequest
{
    std::string m_sender;
    std::int64_t m_revision = 0; //!< In force at the sender.
    bool m_wantConfiguration = false;
    bool m_wantState = false;
};

struct PullReply
{
    std::string m_sender;
    std::int64_t m_revision = 0; //!< In force at the answering node; 0 if none or the files.
    std::optional<std::string> m_configuration; //!< Text of the document of that revision.
    MembershipSnapshot m_state;
};

//! @brief One frame from the node that opened the connection.
struct PeerRequest
{
    std::uint64_t m_id = 0; //!< Repeated by the reply.
    std::optional<PullRequest> m_pull;
};

struct PeerReply
{
    std::uint64_t m_id = 0;
    std::optional<PullReply> m_pull;
};

std::string encodeGossip(const GossipMessage &message);
Decoded<GossipMessage> decodeGossip(std::string_view bytes);

std::string encodeRequest(const PeerRequest &request);
Decoded<PeerRequest> decodeRequest(std::string_view bytes);

std::string encodeReply(const PeerReply &reply);
Decoded<PeerReply> decodeReply(std::string_view bytes);

//! @brief A report or a reply with the name of the node that sent it.
struct QuotaMessage
{
    std::string m_sender;
    std::variant<QuotaReport, QuotaReply> m_content;
};

//! @brief Encodes a datagram with a report, after a byte with the version of the format.
std::string encodeQuota(std::string_view sender, const QuotaReport &report);

//! @brief Encodes a datagram with a reply, after a byte with the version of the format.
std::string encodeQuota(std::string_view sender, const QuotaReply &reply);

//! @brief Decodes a datagram with a report or a reply.
Decoded<QuotaMessage> decodeQuota(std::string_view bytes);

//! @brief Header of a frame: the length of its body, big-endian.
std::array<std::uint8_t, frameHeaderBytes> encodeFrameHeader(std::uint32_t length) noexcept;

//! @brief Length of the body; an error if it exceeds the limit.
Decoded<std::uint32_t> decodeFrameHeader(
    std::span<const std::uint8_t, frameHeaderBytes> header) noexcept;

} // namespace arbutusgrade
