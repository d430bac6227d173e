#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"

//! @brief Request quotas of organisations, kept over all nodes without performing I/O itself.
//!
//! A coordinator, one of the nodes, grants tokens to the others; see docs/design/shared-limits.md.
//! Functions take the current time, which must go on during a suspension of the VM, as a parameter
//! and must be called from one thread.
namespace arbutusgrade {

//! @brief Limit of an organisation over all nodes. The organisation is unlimited if both are 0.
struct QuotaLimit
{
    double m_ratePerSecond = 0.0;
    double m_burst = 0.0; //!< Requests.
};

struct OrganisationLimit
{
    std::string m_organisation;
    QuotaLimit m_limit;
};

//! @brief Excess over the limits that is permitted in a sliding window.
struct QuotaTolerance
{
    Duration m_window = std::chrono::seconds(5);
    double m_overage = 0.0; //!< Fraction of the requests that the limit allows in a window.
    double m_slack = 0.0;   //!< Requests in a window on top of that.
};

//! @brief A registered node that takes part in quotas.
struct QuotaPeer
{
    std::string m_node;
    double m_weight = 1.0; //!< Processor share; a node with a greater one is chosen more often.
};

// Messages ---------------------------------------------------------------------------------------

//! @brief Tokens of one organisation at a node, cumulative since the start of the session.
struct QuotaUse
{
    std::uint64_t m_organisation = 0; //!< stableHash of the name.
    std::uint64_t m_consumed = 0;
    std::uint64_t m_returned = 0;
    std::uint32_t m_wanted = 0;  //!< Tokens that the node would like to hold now.
    std::uint32_t m_pending = 0; //!< Of those, tokens for which requests are waiting.
};

//! @brief From a node to the coordinator of a partition.
struct QuotaReport
{
    //! New with each process and each coordinator; all counters of the uses start at 0 with it.
    std::uint64_t m_nodeSession = 0;
    std::uint64_t m_coordinatorSession = 0; //!< 0 before the first reply.
    std::int64_t m_sentAt = 0;              //!< On the node's clock, in microseconds.
    std::int64_t m_coordinatorTime = 0;     //!< Of the last reply, on the coordinator's clock.
    std::uint32_t m_partition = 0;
    std::uint32_t m_partitions = 1;
    std::uint32_t m_nodes = 0; //!< The node delegates 1 / m_nodes of the limits; 0: nothing.
    std::vector<QuotaUse> m_uses;
};

struct QuotaGrant
{
    std::uint64_t m_organisation = 0;
    std::uint64_t m_granted = 0; //!< Cumulative since the start of the session.
    //! Until the next token, if one was refused; 0 if the coordinator has too small a share of the
    //! quota to tell whether it is used up.
    std::uint32_t m_retryAfterMilliseconds = 0;
    bool m_exhausted = false; //!< Fewer tokens were granted than wanted, and none is left.
    bool m_recalled = false;  //!< Unused tokens exceed the capacity and must be returned.
};

//! @brief From the coordinator to a node, in answer to each report.
struct QuotaReply
{
    std::uint64_t m_nodeSession = 0;
    std::uint64_t m_coordinatorSession = 0; //!< New with each process.
    std::int64_t m_reportSentAt = 0;        //!< m_sentAt of the report.
    std::int64_t m_coordinatorTime = 0;     //!< On the coordinator's clock, in microseconds.
    std::uint32_t m_partition = 0;
    std::uint32_t m_partitions = 1;
    //! All tokens held are valid until 1,000 ms after m_reportSentAt; otherwise no longer than
    //! before.
    bool m_renews = true;
    std::vector<QuotaGrant> m_grants;
};

// Limiter ----------------------------------------------------------------------------------------

enum class QuotaVerdict {
    Admitted,  //!< A token was taken, or the organisation has no limit.
    Pending,   //!< A token was asked for; QuotaOutput::decided() follows.
    Exhausted, //!< The allowance is used up.
    Undecided, //!< The coordinator cannot be reached, and this node may not decide alone.
};

struct QuotaDecision
{
    QuotaVerdict m_verdict = QuotaVerdict::Admitted;
    Duration m_retryAfter{0};  //!< For Exhausted and Undecided.
    std::string m_coordinator; //!< Name of the node that decided; empty if this node did alone.
};

//! @brief Receives the limiter's messages and decisions. Implementations must not call the limiter
//! synchronously.
class QuotaOutput
{
public:
    QuotaOutput() = default;
    virtual ~QuotaOutput() = default;
    QuotaOutput(const QuotaOutput &) = delete;
    QuotaOutput &operator=(const QuotaOutput &) = delete;

    virtual void sendReport(std::string_view node, const QuotaReport &report) = 0;
    virtual void sendReply(std::string_view node, const QuotaReply &reply) = 0;
    //! @brief Decides a pending request, once.
    virtual void decided(std::uint64_t request, const QuotaDecision &decision) = 0;
    //! @brief A partition has another coordinator; the name is empty if there is none.
    virtual void coordinatorChanged(std::uint32_t partition, std::string_view node,
                                    std::string_view reason) = 0;
};

struct QuotaOptions
{
    std::string m_node;
    QuotaTolerance m_tolerance;
    std::uint64_t m_session = 1; //!< Random, not 0; new with each process.
};

struct QuotaStatistics
{
    std::uint64_t m_admitted = 0;      //!< With a token of a coordinator.
    std::uint64_t m_admittedAlone = 0; //!< From this node's own share.
    std::uint64_t m_exhausted = 0;
    std::uint64_t m_undecided = 0;
    std::uint64_t m_pending = 0; //!< Requests that waited for a token.
    std::uint64_t m_granted = 0; //!< Tokens granted to nodes as coordinator.
    std::uint64_t m_reports = 0; //!< Sent.
    std::uint64_t m_replies = 0; //!< Sent.
    double m_delegatedShare =
        0.0; //!< Share of the limits delegated to this node, summed over partitions.
};

//! @brief Decides which requests are within the quota of their organisation. Every node has one; it
//! is node and, where it is chosen, coordinator. Reports to itself are handled without output.
class QuotaLimiter
{
public:
    QuotaLimiter(const QuotaOptions &options, TimePoint now, QuotaOutput &output);
    ~QuotaLimiter();
    QuotaLimiter(const QuotaLimiter &) = delete;
    QuotaLimiter &operator=(const QuotaLimiter &) = delete;

    //! @brief Sets the nodes that may be coordinators, this one included, and the number of all
    //! registered nodes. Delegates and grants nothing until it has been called.
    void setPeers(TimePoint now, std::span<const QuotaPeer> peers, int nodeCount);

    //! @brief Sets the limits of the configuration in force. An organisation without an entry is
    //! unlimited. A lower limit takes effect at once.
    void setLimits(TimePoint now, std::span<const OrganisationLimit> limits);

    //! @brief Decides on a request.
    //! @param request named in decided() if the decision is pending.
    QuotaDecision admit(TimePoint now, std::string_view organisation, std::uint64_t request);

    //! @brief Drops a pending request whose caller has left.
    void cancel(std::uint64_t request);

    //! @brief Gives the token of an admitted request back that was not run.
    void returnToken(TimePoint now, std::string_view organisation);

    void receiveReport(TimePoint now, std::string_view node, const QuotaReport &report);
    void receiveReply(TimePoint now, std::string_view node, const QuotaReply &reply);

    //! @brief Processes expired timers; call at nextTimer() and after events.
    void advance(TimePoint now);
    TimePoint nextTimer() const;

    const QuotaStatistics &statistics() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace arbutusgrade
