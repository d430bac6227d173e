#include "details/crashpublisher.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

// Reports of one crash, and of those soon after it, share a lease.
constexpr std::chrono::milliseconds leaseShareTime{60'000};
constexpr std::chrono::milliseconds retryInterval{1'000};

// More crashes at a time than this say nothing of single requests.
constexpr std::size_t maximumUnwritten = 1'000;

// Reports that are written again after a restore of the store.
constexpr std::size_t maximumWritten = 1'000;

std::chrono::milliseconds reportLifetime()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(CrashTable::retention);
}

} // namespace

CrashPublisher::CrashPublisher(boost::asio::io_context &context, MetadataStore &store,
                               std::string prefix, std::chrono::milliseconds minimumLease, Log &log)
    : m_store(store), m_writer(std::make_shared<KeyWriter>(store)), m_prefix(std::move(prefix)),
      m_timeToLive(std::max(reportLifetime() + leaseShareTime, minimumLease)), m_log(log),
      m_retryTimer(context)
{
}

void CrashPublisher::publish(const CrashReport &report)
{
    const std::string key =
        m_prefix + std::to_string(report.m_fingerprint) + "/" + std::to_string(report.m_process);
    if (m_unwritten.size() >= maximumUnwritten && !m_unwritten.contains(key)) {
        m_log.write(LogLevel::Warning, "crash-not-shared", "too many crash reports wait",
                    {{"key", key}});
        return;
    }
    m_unwritten[key] = Value{std::to_string(report.m_crashes), bootTimeNow()};
    if (!m_isWriting) {
        writeNext();
    }
}

void CrashPublisher::writeNext()
{
    const TimePoint now = bootTimeNow();
    std::erase_if(m_unwritten, [now](const std::pair<const std::string, Value> &value) {
        return now - value.second.m_queuedAt >= CrashTable::retention;
    });
    std::erase_if(m_written, [now](const std::pair<const std::string, Value> &value) {
        return now - value.second.m_queuedAt >= CrashTable::retention;
    });
    m_isWriting = !m_unwritten.empty();
    if (!m_isWriting) {
        return;
    }
    if (m_leaseId.empty() || now - m_leaseCreatedAt >= leaseShareTime) {
        createLease();
        return;
    }
    const std::map<std::string, Value>::const_iterator next = m_unwritten.begin();
    write(next->first, next->second.m_text);
}

void CrashPublisher::createLease()
{
    m_leaseCreatedAt = bootTimeNow();
    m_store.createLease(m_timeToLive,
                        [weak = weak_from_this(), era = m_eraNumber](const MetadataLease &lease) {
                            const std::shared_ptr<CrashPublisher> self = weak.lock();
                            if (!self || self->m_eraNumber != era) {
                                return;
                            }
                            if (lease.m_status != MetadataStatus::Ok) {
                                self->m_leaseId.clear();
                                self->retryLater("no lease can be created");
                                return;
                            }
                            self->m_leaseId = lease.m_id;
                            self->writeNext();
                        });
}

void CrashPublisher::write(const std::string &key, const std::string &text)
{
    m_writer->write(
        key, text, m_leaseId,
        [weak = weak_from_this(), era = m_eraNumber, key, text](const MetadataResult &result) {
            const std::shared_ptr<CrashPublisher> self = weak.lock();
            if (self && self->m_eraNumber == era) {
                self->finishWrite(key, text, result.m_status);
            }
        });
}

void CrashPublisher::finishWrite(const std::string &key, const std::string &text,
                                 MetadataStatus status)
{
    if (status != MetadataStatus::Ok) {
        if (status == MetadataStatus::NotFound) {
            m_leaseId.clear();
        }
        retryLater("the crash report cannot be written");
        return;
    }
    m_isFailing = false;
    // The value may have changed during the call.
    const std::map<std::string, Value>::const_iterator written = m_unwritten.find(key);
    if (written != m_unwritten.end() && written->second.m_text == text) {
        if (m_written.size() < maximumWritten || m_written.contains(key)) {
            m_written[key] = written->second;
        }
        m_unwritten.erase(written);
    }
    writeNext();
}

void CrashPublisher::storeEraChanged()
{
    ++m_eraNumber;
    m_leaseId.clear();
    m_writer->storeEraChanged();
    m_retryTimer.cancel();
    // A report that still waits is newer than the written one of the same key, which is kept out.
    m_unwritten.merge(m_written);
    m_written.clear();
    writeNext();
}

void CrashPublisher::retryLater(std::string_view reason)
{
    if (!std::exchange(m_isFailing, true)) {
        m_log.write(LogLevel::Warning, "crash-not-shared",
                    std::string(reason) + "; it is tried again, other nodes do not know yet",
                    {{"reports", m_unwritten.size()}});
    }
    m_retryTimer.expires_after(retryInterval);
    m_retryTimer.async_wait(
        [weak = weak_from_this(), era = m_eraNumber](boost::system::error_code error) {
            const std::shared_ptr<CrashPublisher> self = weak.lock();
            if (!error && self && self->m_eraNumber == era) {
                self->writeNext();
            }
        });
}

} // namespace arbutusgrade
