#pragma once

#include <LibGateway/GenerationHandler.h>
#include <LibGateway/PermitManager.h>
#include <LibGateway/ServiceHandler.h>
#include <LibGateway/WorkspaceAdmission.h>
#include <LibHttp/HttpServer.h>

namespace Jujube
{

// A gateway process with its threads and its HTTP interface.
class Gateway
{
public:
    // Errors: ErrorKind::InvalidValue if an address cannot be bound.
    static absl::StatusOr<std::unique_ptr<Gateway>> start(GatewayOptions options);

    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    const std::string &address() const
    {
        return m_server->address();
    }

    // Begins a graceful shutdown: new requests are rejected, running requests continue.
    void drain();

    // Whether all requests have finished and all outcomes of one-time calls are recorded.
    bool isDrained();

private:
    explicit Gateway(GatewayOptions options);

    absl::Status startParts();
    absl::Status startMembership();
    void startDocuments();
    void startPermits();
    DocumentUpdater::PeerSnapshot peerSnapshot() const;
    void onVmList(const std::vector<Vm> &vms) const;
    void publishOwnState(uint64_t version, std::optional<std::chrono::milliseconds> confirmedAge, std::optional<MonotonicTime> platformAt);

    void handle(const HttpRequest &request, HttpResponder &responder);
    void handleCaller(const HttpRequest &request, HttpResponder &responder);
    // Serves the endpoints for operators. Returns false if the request is not for one of them.
    bool handleOperator(const HttpRequest &request, HttpResponder &responder);
    void sendDocument(HttpResponder &responder) const;
    void sendReadiness(HttpResponder &responder) const;
    void sendMetrics(HttpResponder &responder) const;
    void serveCaller(const HttpRequest &request, const Caller &caller, HttpResponder &responder);
    void listGateways(HttpResponder &responder) const;

    // Distinguishes this process from earlier ones with the same name.
    const int64_t m_incarnation;
    GatewayParts m_parts;
    WorkspaceAdmission m_admission;
    std::unique_ptr<TableClient> m_table;
    std::unique_ptr<PermitManager> m_permits;
    std::unique_ptr<GenerationHandler> m_generations;
    std::unique_ptr<ServiceHandler> m_services;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Jujube
