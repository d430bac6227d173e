#pragma once

#include <map>
#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "base/base.h"
#include "details/keywriter.h"
#include "gatewaynode/gatewaynode.h"
#include "telemetry/telemetry.h"

namespace arbutusgrade {

//! @brief Writes crash reports to the store, one after the other, until the store has taken them.
//!
//! The keys name the request and the target's process, so that all nodes write the same ones, and
//! their leases do not end with the process that wrote them: a restarted node reads them again.
class CrashPublisher : public std::enable_shared_from_this<CrashPublisher>
{
public:
    CrashPublisher(boost::asio::io_context &context, MetadataStore &store, std::string prefix,
                   std::chrono::milliseconds minimumLease, Log &log);

    void publish(const CrashReport &report);

    //! @brief Writes the reports of the retention period again, under a new lease: the store was
    //! restored from a copy. Results of calls in flight are ignored.
    void storeEraChanged();

private:
    struct Value
    {
        std::string m_text;
        TimePoint m_queuedAt;
    };

    void writeNext();
    void createLease();
    void write(const std::string &key, const std::string &text);
    void finishWrite(const std::string &key, const std::string &text, MetadataStatus status);
    void retryLater(std::string_view reason);

    MetadataStore &m_store;
    std::shared_ptr<KeyWriter> m_writer;
    std::string m_prefix;
    std::chrono::milliseconds m_timeToLive;
    Log &m_log;
    boost::asio::steady_timer m_retryTimer;
    std::map<std::string, Value> m_unwritten; //!< By key.
    std::map<std::string, Value> m_written;   //!< Within the retention period, by key.
    std::string m_leaseId;
    std::uint64_t m_eraNumber = 0; //!< Changes of the store's era since the start.
    TimePoint m_leaseCreatedAt;
    bool m_isWriting = false; //!< A call is in flight, or waits for the retry.
    bool m_isFailing = false; //!< The last call failed, which has been logged.
};

} // namespace arbutusgrade
