#pragma once

#include <LibGateway/GenerationRequest.h>
#include <LibGateway/UpstreamStream.h>
#include <LibGeneration/GenerationSession.h>

namespace Jujube
{

// Serves one generation to one caller: carries out the actions of a GenerationSession with the engines, the policy and the caller's connection. Runs on the
// thread that serves the request.
class GenerationStream
{
public:
    struct Options {
        GatewayParts *parts = nullptr;
        Caller caller;
        GenerationBody body;
        std::string generation;
        uint64_t bodyDigest = 0;
        std::optional<Cursor> cursor;
    };

    GenerationStream(Options options, HttpResponder &responder);

    // Returns when the generation is complete, has failed, or its caller is gone.
    void run();

private:
    void perform(GenerationActions actions);
    void perform(const SessionAction::Place &action);
    void perform(const SessionAction::Generate &action);
    void perform(const SessionAction::Resume &action);
    void perform(const SessionAction::Abandon &action);
    void perform(const SessionAction::Deliver &action);
    void perform(const SessionAction::Complete &action);
    void perform(const SessionAction::Fail &action);
    void perform(const SessionAction::Wait &action);
    void perform(const SessionAction::ReportLost &action);

    void noteReached();
    void readUpstream();
    void takeBytes(const std::string &bytes);
    void waitForTarget();
    // Keeps suspects of crashes apart, or refuses the request. Returns nothing if it may be placed.
    std::optional<GenerationActions> checkSuspicion(MonotonicTime now, std::set<std::string> &excluded);
    GenerationActions placeNow(const std::set<std::string> &excluded, MonotonicTime now);
    void openUpstream(HttpCall call);
    PlacementRequest placementRequest(const std::set<std::string> &excluded) const;
    HttpCall generateCall(const std::string &address, const SessionAction::Generate &action) const;
    Cursor cursorAt(int32_t nextOffset, uint64_t checksum) const;

    // Opens the caller's stream if it is not open. Its first bytes are an event id, so that a caller that loses the connection can come back.
    bool beginAnswer();
    bool flush();
    bool keepAlive();
    void settle();
    void record(EventKind kind, const std::string &target = {}, std::string detail = {}) const;

    Options m_options;
    GatewayParts &m_parts;
    HttpResponder &m_responder;
    GenerationSession m_session;
    std::shared_ptr<UpstreamStream> m_upstream;
    // Actions that follow from an action, in order.
    GenerationActions m_pending;
    std::optional<MonotonicTime> m_waitUntil;
    const uint64_t m_fingerprint;
    uint64_t m_targetIncarnation = 0;
    // Whether the present target has received the request.
    bool m_hasReached = false;
    bool m_isSuspect = false;
    // A suspect is not placed again before this time.
    MonotonicTime m_isolatedUntil;
    MonotonicTime m_acceptedAt;
    MonotonicTime m_lastWrite;
    std::optional<MonotonicTime> m_lastToken;
    std::string m_output;
    int64_t m_unreportedTokens = 0;
    bool m_placed = false;
    bool m_answerBegun = false;
    bool m_callerGone = false;
};

} // namespace Jujube
