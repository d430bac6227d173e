#pragma once

#include "forwarding/forwarding.h"

namespace arbutusgrade {

//! @brief Output of an engine whose commands and answers a test does not look at.
class SilentOutput : public ForwardOutput
{
public:
    void send(const ForwardCommand & /*command*/) override { }
    void abandon(std::uint64_t /*attempt*/) override { }
    bool isSent(std::uint64_t /*attempt*/) const override
    {
        return true;
    }
    void probe(const TargetPointer & /*target*/) override { }
    void answer(const ForwardAnswer & /*answer*/) override { }
    void record(const ForwardDecision & /*decision*/) override { }
    void publishCrash(const CrashReport & /*report*/) override { }
};

} // namespace arbutusgrade
