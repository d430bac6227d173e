#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

namespace arbutusgrade::support {

//! @brief What a proxy does to the bytes that pass through it.
struct ProxyFaults
{
    bool m_cut = false;          //!< Closes all connections and each new one.
    bool m_dropReplies = false;  //!< Bytes to the client vanish; the connection stays open.
    bool m_dropRequests = false; //!< Bytes to the server vanish; the connection stays open.
    std::chrono::milliseconds m_delay{0}; //!< Of each piece of data, in both directions.
};

//! @brief TCP proxy on 127.0.0.1 with a thread of its own, for cuts between two processes.
class FaultProxy
{
public:
    explicit FaultProxy(std::uint16_t serverPort);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    std::uint16_t port() const;

    //! @brief Applies to open connections too. May be called from any thread.
    void setFaults(const ProxyFaults &faults);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace arbutusgrade::support
