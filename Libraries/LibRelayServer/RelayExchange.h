#pragma once

#include <LibLoop/CallerChannel.h>
#include <LibRelay/RelayAdmission.h>
#include <LibRelay/RelaySession.h>
#include <LibRelayServer/RelayCore.h>
#include <memory>

namespace Jujube
{

// Carries one request of a caller: admits it, and does what its session decides on the connections to the caller and to the targets.
class RelayExchange : public std::enable_shared_from_this<RelayExchange>
{
public:
    RelayExchange(RelayCore &core, std::shared_ptr<CallerChannel> caller, CallerRequest request);
    ~RelayExchange();
    RelayExchange(const RelayExchange &) = delete;
    RelayExchange &operator=(const RelayExchange &) = delete;

    // Admits the request and sends it, or answers at once.
    void start();

    // The request's target leaves: puts the generation into the queue of moves, if it is one that is worth a move.
    void queueMove();
    // A target leaves that may keep a copy of the generation as it grows.
    void onBackupLeaving(const std::string &target);
    // The generation's turn has come. Returns false if no copy was ordered.
    bool startMove(MonotonicTime now);
    // An order to copy the generation has ended, and the generation does not move.
    void moveAgainAfter(CopyResult::Kind kind);
    // No copy could be ordered at the generation's turn: it is queued again a little later.
    void retryMoveLater();

    bool isMigratable() const
    {
        return m_admission.demand.isMigratable && !m_isOver;
    }

    // Name of the target that the request was sent to last.
    const std::string &target() const
    {
        return m_target;
    }

    const std::string &requestId() const
    {
        return m_id;
    }

private:
    void listenToCaller();
    // Returns how the request must be answered at once, or nothing if it is admitted.
    std::optional<RelayOutcome> admit(MonotonicTime now);
    void logAccepted(MonotonicTime now);
    std::chrono::milliseconds retryAfterFor(RelayOutcome outcome, MonotonicTime now) const;
    void createSession();
    TargetChoice choose(const std::set<std::string> &excluded, MonotonicTime now);
    // Where a copy of the generation may go from a target: to its data centre.
    TargetBalancer::Query copyQuery(const std::string &source, const std::set<std::string> &excluded, MonotonicTime now) const;
    std::optional<RelayTarget> chooseDestination(const std::set<std::string> &excluded, MonotonicTime now);
    bool mayContinue(const RelayTarget &holder, MonotonicTime now);
    std::optional<RelayTarget> chooseBackup(const RelayTarget &target, MonotonicTime now);
    void send(const RelayAttempt &order);
    void logSend(const RelayAttempt &order, const TargetLoad &load);
    bool onHead(const MessageHead &head, std::optional<uint64_t> length);
    // Takes in what a target says beside its answer: that it leaves, or wants to be left alone.
    void noteWishes(const TargetResponse &answer, MonotonicTime now);
    void onBody(std::string_view bytes);
    void noteEvents(MonotonicTime now);
    void onEnd(ChannelEnd end, const std::string &error);
    void abortAttempt();
    void copy(const RelayTarget &source, const RelayTarget &destination, bool stop);
    void beginResponse(std::optional<uint64_t> length);
    void answer(RelayOutcome outcome, std::chrono::milliseconds retryAfter);
    void finishResponse();
    void cut(RelayOutcome outcome);
    void record(std::string_view decision, std::string_view reason);
    void armDeadline();
    // How long a sound target would be silent at most. Nothing where only the deadline counts.
    std::optional<std::chrono::milliseconds> silenceLimit() const;
    void armSilence();
    // The request has its end; `end` is what that says about its target.
    void over(RunEnd end);

    RelayCore &m_core;
    const std::shared_ptr<CallerChannel> m_caller;
    CallerRequest m_request;
    std::shared_ptr<const RouteTable> m_routes;
    RequestAdmission m_admission;
    const std::string m_id;
    std::string m_target;
    int64_t m_targetIncarnation = 0;
    // Tells requests apart that would crash each target that runs them.
    uint64_t m_digest = 0;
    std::unique_ptr<RelaySession> m_session;
    std::shared_ptr<TargetChannel> m_upstream;
    // Numbers the sends, so that what arrives from an earlier one is ignored.
    uint64_t m_sendNumber = 0;
    MessageHead m_answerHead;
    MonotonicTime m_sentAt;
    // When the request was sent, or its stream has had a whole event since.
    MonotonicTime m_progressAt;
    // The last send got no usable answer.
    bool m_sendFailed = false;
    int64_t m_eventsCounted = 0;
    MonotonicTime m_lastEventAt;
    std::chrono::milliseconds m_firstEventAfter {0};
    std::chrono::milliseconds m_longestGap {0};
    int m_moveTries = 0;
    // Answers that broke off although their targets were not known to leave.
    int m_unannouncedEnds = 0;
    bool m_isOver = false;
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_silenceTimer;
    boost::asio::steady_timer m_moveTimer;
};

} // namespace Jujube
