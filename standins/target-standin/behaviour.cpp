#include "behaviour.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "standins/jsonpatch.h"

namespace arbutusgrade::standins {

std::string patchBehaviour(TargetBehaviour &behaviour, const boost::json::object &patch)
{
    const std::array<PatchField, 22> fields{{
        {"slots", &behaviour.m_slots},
        {"queueLimit", &behaviour.m_queueLimit},
        {"connectionLimit", &behaviour.m_connectionLimit},
        {"connectMs", &behaviour.m_connectMs},
        {"serviceMs", &behaviour.m_serviceMs},
        {"serviceSpread", &behaviour.m_serviceSpread},
        {"stragglerProbability", &behaviour.m_stragglerProbability},
        {"stragglerFactor", &behaviour.m_stragglerFactor},
        {"restartMs", &behaviour.m_restartMs},
        {"coldMs", &behaviour.m_coldMs},
        {"coldFactor", &behaviour.m_coldFactor},
        {"frozen", &behaviour.m_frozen},
        {"draining", &behaviour.m_draining},
        {"refuseWhenDraining", &behaviour.m_refuseWhenDraining},
        {"healthAlwaysGood", &behaviour.m_healthAlwaysGood},
        {"healthLagMs", &behaviour.m_healthLagMs},
        {"snapshotKeepMs", &behaviour.m_snapshotKeepMs},
        {"errorProbability", &behaviour.m_errorProbability},
        {"crossedAttemptProbability", &behaviour.m_crossedAttemptProbability},
        {"crossedRequestProbability", &behaviour.m_crossedRequestProbability},
        {"doubledProbability", &behaviour.m_doubledProbability},
        {"loseReplyProbability", &behaviour.m_loseReplyProbability},
    }};
    return applyPatch(patch, fields);
}

Duration drawServiceTime(const TargetBehaviour &behaviour, RandomGenerator &random, bool cold)
{
    const double exponential = -std::log(1.0 - nextRandomUnit(random));
    double milliseconds =
        behaviour.m_serviceMs
        * (1.0 - behaviour.m_serviceSpread + behaviour.m_serviceSpread * exponential);
    if (nextRandomUnit(random) < behaviour.m_stragglerProbability) {
        milliseconds *= behaviour.m_stragglerFactor;
    }
    if (cold) {
        milliseconds *= behaviour.m_coldFactor;
    }
    return Duration(static_cast<std::int64_t>(milliseconds * 1000.0));
}

void advanceSnapshot(std::vector<HeldSnapshot> &held, Snapshot snapshot, TimePoint now,
                     Duration keep)
{
    for (HeldSnapshot &old : held) {
        old.m_end = std::min(old.m_end, now + keep);
    }
    std::erase_if(held, [snapshot](const HeldSnapshot &old) { return old.m_snapshot == snapshot; });
    held.push_back(HeldSnapshot{snapshot, farFuture});
    std::sort(held.begin(), held.end(), [](const HeldSnapshot &left, const HeldSnapshot &right) {
        return left.m_snapshot < right.m_snapshot;
    });
}

void dropEndedSnapshots(std::vector<HeldSnapshot> &held, TimePoint now)
{
    std::erase_if(held, [now](const HeldSnapshot &old) { return old.m_end <= now; });
}

} // namespace arbutusgrade::standins
