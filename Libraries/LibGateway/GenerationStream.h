#pragma once

#include <LibGateway/EngineStream.h>
#include <LibGateway/GenerationRequest.h>
#include <LibGeneration/GenerationSession.h>

namespace Jujube
{

// Serves one generation to one caller. Performs the actions of a GenerationSession: places the generation, exchanges data with the engines and writes to the
// caller's connection. Runs on the thread that serves the request.
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

    // Returns when the generation is complete or has failed, or the caller has disconnected.
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

    void markRequestReceived();
    void readEngineStream();
    void processBytes(const std::string &bytes);
    void waitForTarget();
    // Isolates crash suspects from each other and fails poison requests. Returns the actions to perform instead of a placement, or nothing if the request may
    // be placed.
    std::optional<GenerationActions> checkCrashSuspicion(MonotonicTime now, std::set<std::string> &excluded);
    GenerationActions placeNow(const std::set<std::string> &excluded, MonotonicTime now);
    void openEngineStream(HttpCall call);
    PlacementRequest placementRequest(const std::set<std::string> &excluded) const;
    HttpCall generateCall(const std::string &address, const SessionAction::Generate &action) const;
    Cursor cursorAt(int32_t nextOffset, uint64_t checksum) const;

    // Begins the response to the caller unless it has begun. A new stream begins with an event id, so that a caller that loses its connection can resume.
    bool beginResponse();
    bool flush();
    bool sendKeepAlive();
    void finish();
    void record(EventKind kind, const std::string &target = {}, std::string detail = {}) const;

    Options m_options;
    GatewayParts &m_parts;
    HttpResponder &m_responder;
    GenerationSession m_session;
    std::shared_ptr<EngineStream> m_engineStream;
    // Actions still to be performed, in order.
    GenerationActions m_pendingActions;
    std::optional<MonotonicTime> m_waitUntil;
    const uint64_t m_fingerprint;
    uint64_t m_targetIncarnation = 0;
    // Whether the current target has received the request.
    bool m_isRequestReceived = false;
    bool m_isSuspect = false;
    // A crash suspect is not placed again before this time.
    MonotonicTime m_isolatedUntil;
    MonotonicTime m_acceptedAt;
    MonotonicTime m_lastWriteAt;
    std::optional<MonotonicTime> m_lastTokenAt;
    std::string m_output;
    int64_t m_unreportedTokens = 0;
    bool m_isPlaced = false;
    bool m_isResponseBegun = false;
    bool m_isCallerGone = false;
};

} // namespace Jujube
