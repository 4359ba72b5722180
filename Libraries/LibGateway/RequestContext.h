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

// The parts of a gateway that request handlers use.
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
    // Live gateways including this one, as of the latest document round. Copying the members for each request would cost 390 copies at full size.
    std::atomic<int> liveGateways {1};
    // A graceful shutdown has begun.
    std::atomic<bool> draining {false};
    // Requests in progress that a shutdown has to wait for.
    std::atomic<int> openRequests {0};

    void record(Event event) const
    {
        events->record(std::move(event), wallMsNow());
    }
};

// Who sent a request, under which document.
struct Caller {
    std::string workspace;
    std::shared_ptr<const DocumentInForce> document;

    const Workspace &settings() const
    {
        return document->document.workspaces.at(workspace);
    }
};

// Counts a request as open for as long as it lives.
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

// Finds the workspace of a request's key. Errors: ErrorKind::Unauthorized; ErrorKind::PlatformUnavailable while there is no document.
absl::StatusOr<Caller> authenticate(const HttpRequest &request, const DocumentUpdater &documents);

// Answers with a problem, and counts and records the refusal.
void respondWithProblem(const GatewayParts &parts, HttpResponder &responder, const Problem &problem, const std::string &request);

} // namespace Jujube
