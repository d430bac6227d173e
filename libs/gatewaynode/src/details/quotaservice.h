#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "details/admission.h"
#include "details/quotalink.h"
#include "gatewaynode/gatewaynode.h"
#include "telemetry/telemetry.h"

namespace arbutusgrade {

//! @brief Connects the quota limiter to the link between nodes, to a timer, to the log and to
//! metrics.
//!
//! It is active while the settings have a link and a tolerance and an organisation has a limit.
//! Otherwise every request is admitted and no datagram is sent or received.
class QuotaService : public QuotaGate, public QuotaOutput
{
public:
    //! @brief Called with the decision on a pending request, never within a call of the limiter.
    using DecisionHandler =
        std::function<void(TimePoint now, std::uint64_t request, const QuotaDecision &decision)>;

    QuotaService(boost::asio::io_context &context, std::string node,
                 const CoordinationSettings &coordination, Log &log, DecisionHandler handler);
    ~QuotaService() override;

    // QuotaGate
    bool isActive() const override
    {
        return m_isActive;
    }
    QuotaDecision admit(TimePoint now, std::string_view organisation,
                        std::uint64_t request) override;
    void cancel(std::uint64_t request) override;
    void returnToken(TimePoint now, std::string_view organisation) override;

    //! @brief Sets the registered nodes. This node takes part once it is one of them.
    //! @param nodeCount number of all registered nodes, with or without a link.
    //! @brief False while quotas are active and the nodes that share them are not known. Not for
    //! longer than a few seconds, as the store may not take the registration of this node.
    bool isSettled(TimePoint now) const;

    void setNodes(TimePoint now, std::span<const RegisteredNode> nodes, int nodeCount);

    //! @brief Sets the limits of the configuration in force; entries without a limit are ignored.
    void setLimits(TimePoint now, std::span<const OrganisationLimit> limits);

    //! @brief Processes expired timers. To be called periodically too, since the service's own
    //! timer does not advance while the VM is suspended.
    void advance(TimePoint now);

    void collect(MetricFamilies &families) const;

private:
    // QuotaOutput
    void sendReport(std::string_view node, const QuotaReport &report) override;
    void sendReply(std::string_view node, const QuotaReply &reply) override;
    void decided(std::uint64_t request, const QuotaDecision &decision) override;
    void coordinatorChanged(std::uint32_t partition, std::string_view node,
                            std::string_view reason) override;

    void activate(TimePoint now);
    void deactivate();
    void openLink(TimePoint now);
    void updatePeers(TimePoint now);
    void logCoordination();
    void finishCall(TimePoint now);
    void armTimer();

    struct Decision
    {
        std::uint64_t m_request = 0;
        QuotaDecision m_decision;
    };

    std::string m_node;
    CoordinationSettings m_coordination;
    Log &m_log;
    DecisionHandler m_decisionHandler;
    std::unique_ptr<QuotaLimiter> m_limiter; //!< Null until the service is first active.
    std::unique_ptr<QuotaLink> m_link;       //!< Null without a link in the settings.
    std::vector<QuotaPeer> m_peers;          //!< Empty unless this node is one of them.
    int m_nodeCount = 0;
    std::unordered_set<std::uint64_t> m_pending; //!< Requests that wait for a decision.
    std::vector<Decision> m_decisions;           //!< Not yet handed over.
    bool m_isActive = false;
    TimePoint m_activatedAt;
    bool m_isDelivering = false;
    bool m_isCoordinator = false; //!< As logged.
    bool m_loggedOpenError = false;
    TimePoint m_nextOpenAttempt;
    boost::asio::steady_timer m_timer;
    TimePoint m_timerExpiry = farFuture;
};

} // namespace arbutusgrade
