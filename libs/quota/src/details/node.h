#pragma once

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "details/bucket.h"

//! @brief State of a node towards the coordinators: tokens held, demand, reports and delegation.
namespace arbutusgrade {

//! @brief Refused requests whose callers have been told when to come back.
struct RetryBacklog
{
    double m_requests = 0.0; //!< Still to come back.
    TimePoint m_updatedAt;
};

//! @brief Gives each refused request a later place in the rate, so that callers who come back are
//! not refused together once more.
//! @param rate of the requests that are admitted, per second; above 0.
//! @return the time until its place.
Duration scheduleRetry(RetryBacklog &backlog, TimePoint now, double rate) noexcept;

//! @brief Tokens and demand of one organisation at this node. The counters are cumulative since the
//! start of the session with the coordinator and never restart within it.
struct HeldTokens
{
    std::string m_organisation;
    std::uint64_t m_hash = 0;
    QuotaBasis m_basis;
    std::uint32_t m_partition = 0;
    //! False once the organisation has lost its limit. Its counters are kept, as they must not
    //! restart within the session.
    bool m_isLimited = true;

    std::uint64_t m_granted = 0;
    std::uint64_t m_consumed = 0;
    std::uint64_t m_returned = 0;
    //! Tokens of the previous coordinator; usable until CoordinatorLink::m_carriedUntil.
    std::uint64_t m_carried = 0;

    double m_demand = 0.0; //!< Requests expected in the next demandHorizon.
    TimePoint m_demandAt;
    TimePoint m_lastSeen;
    std::uint32_t m_pending = 0; //!< Requests that wait for a token.
    double m_taken = 0.0;        //!< Tokens taken in about the last takenHorizon.
    TimePoint m_takenAt;
    RetryBacklog m_retryBacklog;

    bool m_active = false;           //!< In CoordinatorLink::m_active.
    bool m_unacknowledged = false;   //!< Counters have changed since the last answered report.
    std::int64_t m_changeSentAt = 0; //!< First report that contains the change; 0: none yet.
    TimePoint m_askAfter;            //!< No tokens are asked for ahead of demand until then.
    TimePoint m_scarceUntil;         //!< Use is reported every usageInterval until then.
    TimePoint m_refusedUntil;        //!< Requests are refused without asking until then.
    TimePoint m_tokenExpectedAt;
    bool m_coordinatorCannotTell = false; //!< Of the last refusal: the quota may not be used up.
    std::int64_t m_refusedReport = 0;     //!< Report that was answered with a refusal.

    TokenBucket m_ownBucket;
};

//! @brief A request that waits for a token.
struct PendingRequest
{
    std::uint64_t m_request = 0;
    std::uint64_t m_organisation = 0;
    TimePoint m_deadline;
    std::int64_t m_askedBy = 0; //!< First report that asked for its token; 0: none yet.
};

//! @brief What a node knows of the coordinator of a partition.
struct CoordinatorLink
{
    std::uint32_t m_partition = 0;
    std::vector<std::string> m_order; //!< Peers in descending order of preference.
    std::map<std::string, TimePoint, std::less<>> m_silent; //!< Since when, by node.

    std::string m_coordinator; //!< Empty if there is none.
    std::uint64_t m_session = 0;
    std::uint64_t m_coordinatorSession = 0;
    std::int64_t m_coordinatorTime = 0;
    TimePoint m_validUntil;   //!< Of the tokens held.
    TimePoint m_carriedUntil; //!< Of the tokens of the previous coordinator.

    TimePoint m_lastSentAt;
    std::int64_t m_lastEcho = 0; //!< Coordinator time in the last report.
    bool m_awaitsReply = false;
    TimePoint m_waitingSince; //!< First report since the last reply, if m_awaitsReply.
    bool m_reportNow = false;
    bool m_usageChanged = false;
    std::size_t m_cursor = 0; //!< Rotates through m_active.

    bool m_delegated = false; //!< The share was delegated to the current coordinator.
    TimePoint m_lastDelegatedAt;
    TimePoint m_timeReceivedAt; //!< When m_coordinatorTime was received.
    //! Until then the share may still count at the previous coordinator.
    TimePoint m_mayDelegateAt;

    std::uint64_t m_probeSession = 0; //!< Of the last report to a silent node.
    TimePoint m_nextProbeAt;
    std::size_t m_probeCursor = 0;

    std::vector<HeldTokens *> m_active;
    std::deque<PendingRequest> m_pending;
};

//! Tokens are held for the demand of this time.
inline constexpr Duration demandHorizon = std::chrono::milliseconds(500);

//! Longest time between reports; three fit into a lease.
inline constexpr Duration reportInterval = std::chrono::milliseconds(300);

//! Shortest time between reports of usage.
inline constexpr Duration usageInterval = std::chrono::milliseconds(100);

//! A report is repeated after this time while requests wait for its reply, as it may be lost.
inline constexpr Duration pendingInterval = std::chrono::milliseconds(15);

//! Shortest time between reports for missing tokens, which bounds their number under load.
inline constexpr Duration urgentInterval = std::chrono::milliseconds(5);

//! @brief Counts a request in the estimate of the demand.
void recordDemand(HeldTokens &tokens, TimePoint now) noexcept;

//! @brief Tokens that the node should hold ahead of demand.
std::uint64_t targetTokens(const HeldTokens &tokens, TimePoint now) noexcept;

//! @brief Unused tokens of the current coordinator, without regard to their expiry.
std::uint64_t unusedTokens(const HeldTokens &tokens) noexcept;

//! @brief Rate at which tokens have been taken at this node, per second.
double takenRate(const HeldTokens &tokens, TimePoint now) noexcept;

//! @brief Takes a valid token.
bool takeToken(CoordinatorLink &link, HeldTokens &tokens, TimePoint now) noexcept;

//! @brief Returns the token of a request that was not run to those that are unused.
void restoreToken(CoordinatorLink &link, HeldTokens &tokens) noexcept;

//! @brief Includes the organisation among those that reports may contain.
void activate(CoordinatorLink &link, HeldTokens &tokens);

//! @brief Marks the counters as changed, so that reports contain them until one is answered.
void markChanged(CoordinatorLink &link, HeldTokens &tokens);

//! @brief Counts tokens that have expired as returned.
void returnExpiredTokens(CoordinatorLink &link, TimePoint now);

//! @brief Builds the next report. Returns tokens that the organisations no longer need.
//! @param nodes registered nodes; 0 delegates nothing.
QuotaReport buildReport(CoordinatorLink &link, TimePoint now, std::uint32_t partitions,
                        std::uint32_t nodes);

//! @brief Takes over the grants of a reply to this session.
void applyReply(CoordinatorLink &link, TimePoint now, const QuotaReply &reply,
                std::unordered_map<std::uint64_t, HeldTokens> &organisations);

//! @brief True if the node may decide from its own share: it is delegated to nobody.
bool mayDecideAlone(const CoordinatorLink &link, TimePoint now) noexcept;

//! @brief When the share that was delegated last is free again. The coordinator counts the lease
//! from a time of its own that the node had received and repeated before.
TimePoint delegationEnd(const CoordinatorLink &link) noexcept;

//! @brief When the next report is due.
TimePoint nextReportAt(const CoordinatorLink &link) noexcept;

} // namespace arbutusgrade
