#pragma once

#include <deque>
#include <queue>

#include "forwarding/forwarding.h"

namespace arbutusgrade {

//! @brief Times of the requests of one route, for hedges and for the judgement of targets.
struct RouteTimes
{
    LatencyHistogram m_histogram;
    int m_sinceUpdate = 0;
    Duration m_usual{0};           //!< Median, or a guess before there are samples.
    Duration m_hedgeDelay{0};      //!< Wait before a second attempt.
    Duration m_longestTimeLeft{0}; //!< Greatest time that a caller of this route had.
};

//! @brief A waiting sub-request.
struct WaitingPart
{
    std::uint64_t m_job = 0;
    std::size_t m_part = 0;
    int m_priority = 0;
};

struct ServiceState
{
    std::string m_name;
    ArrivalBudget m_budget;
    std::deque<WaitingPart> m_waiting; //!< Most urgent first, then in order of arrival.
};

enum class PartState { Waiting, Sent, Done, Failed };

//! @brief The share of a request that one service answers.
struct Part
{
    ServiceState *m_service = nullptr;
    PartState m_state = PartState::Waiting;
    std::vector<std::string> m_tried; //!< Ids of targets, in order of attempts.
    TimePoint m_sentAt;               //!< Of the latest attempt.
    int m_attempts = 0;
    int m_live = 0;       //!< Attempts without an end.
    int m_arrivals = 0;   //!< Attempts that may have reached a target.
    int m_mayHaveRun = 0; //!< Attempts that a target may have run.
    TargetReply m_reply;  //!< The success, or the last failure that a target gave.
    bool m_hasFailureReply = false;
    std::string_view m_reason; //!< Why it failed last.
};

//! @brief A request without an answer.
struct Job
{
    std::uint64_t m_id = 0;
    ForwardRequestPointer m_request;
    RoutingTablePointer m_table;
    const Route *m_route = nullptr;
    RouteTimes *m_times = nullptr;
    TimePoint m_arrived;
    TimePoint m_deadline;
    TimePoint m_answerBy; //!< When a search is answered with the shards that are in.
    std::vector<Part> m_parts;
    std::size_t m_done = 0;
    std::size_t m_failed = 0;
    bool m_comparing = false; //!< Most shards are in; the others are judged by their time.
};

struct Attempt
{
    std::uint64_t m_job = 0; //!< 0 once nobody waits for it.
    std::size_t m_part = 0;
    TargetPointer m_target;
    ServiceState *m_service = nullptr;
    RouteTimes *m_times = nullptr;
    TimePoint m_sentAt;
    ForwardRequestPointer m_request;
};

enum class TimerKind { Hedge, Retry, Refuse, AnswerBy, Deadline, Linger, Probe };

struct Timer
{
    TimePoint m_at;
    TimerKind m_kind = TimerKind::Deadline;
    std::uint64_t m_id = 0; //!< Of the job; of the attempt for Linger.
    std::size_t m_part = 0;

    bool operator<(const Timer &other) const
    {
        return m_at > other.m_at;
    }
};

//! @brief Why an attempt is made.
enum class AttemptReason { First, Hedge, Retry };

enum class SendResult { Sent, NoTarget, NoBudget };

struct ForwardEngine::Implementation
{
    Implementation(const ForwardOptions &options, TimePoint now, ForwardOutput &output)
        : m_options(options), m_started(now), m_output(output)
    {
    }

    // Arrival and timers (engine.cpp)
    void submit(TimePoint now, const ForwardRequestPointer &request);
    void startJob(TimePoint now, const ForwardRequestPointer &request, const Route &route);
    void refuseNew(const ForwardRequest &request, AnswerKind kind, int status,
                   std::string_view reason, std::optional<Duration> retryAfter);
    void callerGone(TimePoint now, std::uint64_t caller);
    void advance(TimePoint now);
    void fire(TimePoint now, const Timer &timer);
    void addTimer(TimePoint at, TimerKind kind, std::uint64_t id, std::size_t part = 0);
    ServiceState &serviceState(const std::string &name);

    // Reachability (reachability.cpp)
    bool canServe(TimePoint now, const Route &route, const ServiceState *single) const;
    bool isReachable(TimePoint now, const std::string &service) const;
    void probeDownTargets(TimePoint now);
    void noteLostRequest(TimePoint now, Target &target, std::uint64_t fingerprint);
    void noteNoConnection(TimePoint now, Target &target);
    void noteElsewhere(TimePoint now, const Target &target, bool reached);
    bool isCutOff(TimePoint now) const;

    // Expected times (timing.cpp)
    RouteTimes &timesOf(const Route &route);

    // Attempts (attempts.cpp)
    void startPart(TimePoint now, Job &job, std::size_t index);
    SendResult sendAttempt(TimePoint now, Job &job, std::size_t index, AttemptReason reason);
    void hedge(TimePoint now, Job &job, std::size_t index);
    void compareShards(TimePoint now, Job &job);
    void retry(TimePoint now, Job &job, std::size_t index);
    bool mayRetry(const Job &job, const Part &part) const;
    void pumpWaiting(TimePoint now, ServiceState &service);
    int inFlightLimit(const Job &job, const ServiceState &service) const;
    void detachAttempts(TimePoint now, std::uint64_t job, std::optional<std::size_t> part);
    void endLinger(TimePoint now, std::uint64_t attempt);

    // Results and answers (outcomes.cpp)
    void attemptEnded(TimePoint now, std::uint64_t id, ForwardEnd end, TargetReply reply);
    void partSucceeded(TimePoint now, Job &job, std::size_t index, TargetReply reply);
    void partAttemptFailed(TimePoint now, Job &job, std::size_t index);
    void failPart(TimePoint now, Job &job, std::size_t index, std::string_view reason);
    void progress(TimePoint now, Job &job);
    void answerSingle(TimePoint now, Job &job);
    void answerSearch(TimePoint now, Job &job);
    void recordUnanswered(TimePoint now, const Job &job) const;
    void failJob(TimePoint now, Job &job, bool timedOut);
    void finish(TimePoint now, Job &job, ForwardAnswer answer);
    void recordDecision(TimePoint now, const Job &job, std::size_t part, std::string_view event,
                        std::string_view reason, std::string_view target, int status) const;

    Job *findJob(std::uint64_t id);

    ForwardOptions m_options;
    TimePoint m_started;
    ForwardOutput &m_output;
    RoutingTablePointer m_table;
    TargetRegistry m_registry;
    CrashTable m_crashes;
    ForwardStatistics m_statistics;
    std::unordered_map<std::string, std::unique_ptr<ServiceState>> m_services;
    std::unordered_map<std::string, std::unique_ptr<RouteTimes>> m_times; //!< By route name.
    std::unordered_map<std::string, std::vector<double>> m_splitCredits;  //!< By route name.
    std::unordered_map<std::uint64_t, std::unique_ptr<Job>> m_jobs;
    std::unordered_map<std::uint64_t, std::uint64_t> m_jobOfCaller;
    std::unordered_map<std::uint64_t, Attempt> m_attempts;
    std::priority_queue<Timer> m_timers;
    TimePoint m_lastElsewhere;    //!< Last sign of life from a target of another data centre.
    int m_failuresElsewhere = 0;  //!< Connections to such targets that failed since.
    TimePoint m_unreachableUntil; //!< A request was refused for lack of targets shortly before.
    std::uint64_t m_lastId = 0;   //!< Of jobs and attempts.
};

//! @brief Adds the time of a success of a route.
void learnRouteTime(RouteTimes &times, Duration taken);

//! @brief True if the shards that are in are enough for a success.
bool hasEnoughShards(const Route &route, std::size_t included);

} // namespace arbutusgrade
