#pragma once

#include <LibGateway/OneTimeRunner.h>
#include <LibGateway/RequestContext.h>
#include <LibGateway/ResponseCache.h>

namespace Jujube
{

// Serves calls to plain services: /v1/services/{service}/{call} and /v1/services/{service}/{call}/{id}.
class ServiceHandler
{
public:
    explicit ServiceHandler(GatewayParts &parts);

    void handle(const HttpRequest &request, const Caller &caller, HttpResponder &responder);

    // Waits until all outcomes of one-time calls are recorded, for a graceful shutdown.
    bool waitUntilRecorded(std::chrono::milliseconds timeout)
    {
        return m_recorder.waitUntilDone(timeout);
    }

private:
    struct Route {
        std::string service;
        std::string call;
        std::string id;
        ServiceCall definition;
    };

    static absl::StatusOr<Route> findRoute(const HttpRequest &request, const EnvironmentDocument &document);
    void handleOneTime(const HttpRequest &request, const Caller &caller, const Route &route, HttpResponder &responder);
    void handleRepeatable(const HttpRequest &request, const Caller &caller, const Route &route, HttpResponder &responder);
    // Sends a repeatable call. Retries on other targets until one of them sends a complete response without a server error.
    std::variant<HttpAnswer, Problem> sendRepeatable(const HttpRequest &request, const Caller &caller, const Route &route);
    CallResponse sendOnce(const HttpRequest &request, const Caller &caller, const Route &route, const std::string &requestId);
    static HttpCall makeCall(const HttpRequest &request, const Caller &caller, const Route &route, const std::string &address);

    GatewayParts &m_parts;
    const TableClient m_table;
    OutcomeRecorder m_recorder;
    ResponseCache m_cache;
};

} // namespace Jujube
