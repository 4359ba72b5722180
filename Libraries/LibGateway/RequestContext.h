#pragma once

#include <atomic>
#include <LibEvents/EventLog.h>
#include <LibGateway/CrashTracker.h>
#include <LibGateway/DocumentUpdater.h>
#include <LibGateway/FleetManager.h>
#include <LibGateway/GatewayOptions.h>
#include <LibGeneration/Cursor.h>
#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpResponder.h>
#include <LibMembership/Membership.h>
#include <LibMetrics/Metrics.h>

namespace Jujube
{

// The components of a gateway that request handlers use.
struct GatewayParts {
    GatewayOptions options;
    std::unique_ptr<EventLog> events;
    std::unique_ptr<Metrics> metrics;
    std::unique_ptr<HttpClient> http;
    std::unique_ptr<CursorCodec> cursors;
    std::unique_ptr<CrashTracker> crashes;
    std::unique_ptr<Membership> membership;
    std::unique_ptr<FleetManager> fleet;
    std::unique_ptr<DocumentUpdater> documents;
    // Number of live gateways including this one, as of the latest document update. Cached, because at full size the membership would have to copy 390
    // members for each request.
    std::atomic<int> liveGateways {1};
    // Whether a graceful shutdown has begun.
    std::atomic<bool> draining {false};
    // Number of requests in progress, which a graceful shutdown waits for.
    std::atomic<int> openRequests {0};

    void record(Event event) const
    {
        events->record(std::move(event), wallMsNow());
    }
};

// The workspace that sent a request, with the document that was in force when the request was authenticated.
struct Caller {
    std::string workspace;
    std::shared_ptr<const DocumentInForce> document;

    const Workspace &settings() const
    {
        return document->document.workspaces.at(workspace);
    }
};

// Counts a request as open for the lifetime of the object.
class OpenRequest
{
public:
    explicit OpenRequest(std::atomic<int> &counter)
        : m_counter(counter)
    {
        ++m_counter;
    }

    ~OpenRequest()
    {
        --m_counter;
    }

    OpenRequest(const OpenRequest &) = delete;
    OpenRequest &operator=(const OpenRequest &) = delete;

private:
    std::atomic<int> &m_counter;
};

// Finds the workspace by the request's bearer key. Errors: ErrorKind::Unauthorized; ErrorKind::PlatformUnavailable while no document is in force.
absl::StatusOr<Caller> authenticate(const HttpRequest &request, const DocumentUpdater &documents);

// Sends a problem as the response, increments the metric of refusals and records an event.
void respondWithProblem(const GatewayParts &parts, HttpResponder &responder, const Problem &problem, const std::string &request);

} // namespace Jujube
