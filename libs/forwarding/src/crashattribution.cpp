#include "details/enginestate.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

// Delay before probing a target after a lost request: by then a crashed target refuses connections,
// while a target that only lost its reply accepts them.
constexpr Duration crashProbeDelay = 60ms;

// Delay before a crash is shared. Most requests that were lost beside the one that crashed their
// target are answered by another target within this time.
constexpr Duration crashShareDelay = 300ms;

} // namespace

void ForwardEngine::Implementation::recordLostRequest(TimePoint now, const Attempt &attempt)
{
    Target &target = *attempt.m_target;
    target.m_lostRequests.push_back(LostRequest{attempt.m_request->m_fingerprint, now});
    target.m_nextProbeAt = now + crashProbeDelay;
    addTimer(target.m_nextProbeAt, TimerKind::Probe, 0);
}

void ForwardEngine::Implementation::recordCrashes(TimePoint now, Target &target)
{
    const std::uint64_t process = processNumber(target.m_entry);
    for (const LostRequest &lost : target.m_lostRequests) {
        if (now - lost.m_lostAt >= CrashTable::attributionWindow) {
            continue;
        }
        if (recordCrash(m_crashes, now, lost, process, target.m_reachableAt)) {
            ++m_statistics.m_crashes;
            addTimer(now + crashShareDelay, TimerKind::ShareCrashes, 0);
        }
    }
    target.m_lostRequests.clear();
}

void ForwardEngine::Implementation::clearRequest(TimePoint now, std::uint64_t fingerprint)
{
    for (const CrashReport &report : recordAnswer(m_crashes, now, fingerprint)) {
        ++m_statistics.m_clearedCrashes;
        m_output.publishCrash(report);
    }
}

void ForwardEngine::Implementation::shareCrashes(TimePoint now)
{
    for (const CrashReport &report : takeUnsharedCrashes(m_crashes, now - crashShareDelay)) {
        m_output.publishCrash(report);
    }
}

} // namespace arbutusgrade
