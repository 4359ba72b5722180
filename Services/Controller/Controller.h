#pragma once

#include "ControllerSettings.h"
#include "DocumentDuty.h"
#include "DutyThread.h"

#include <LibEvents/EventLog.h>
#include <LibHttp/HttpServer.h>
#include <memory>
#include <mutex>
#include <random>

namespace Jujube
{

// The controller process: joins the duties, gives each a thread, and serves the operations interface.
class Controller
{
public:
    // Errors: ErrorKind::InvalidValue if the address cannot be bound.
    static absl::StatusOr<std::unique_ptr<Controller>> start(const Settings &settings);

    ~Controller();
    Controller(const Controller &) = delete;
    Controller &operator=(const Controller &) = delete;

    const std::string &address() const
    {
        return m_server->address();
    }

private:
    explicit Controller(const Settings &settings);

    ControlContext makeContext(const Settings &settings);
    TableClient makeTable(const Settings &settings);
    ObjectClient makeObjects(const Settings &settings);
    VmListClient makeVmList(const Settings &settings);
    double random();
    void record(EventKind kind, const std::string &target, const std::string &detail);
    void startDuties(const Settings &settings);
    void handle(const HttpRequest &request, HttpResponder &responder);
    nlohmann::json status() const;
    std::string metrics() const;

    std::mutex m_randomMutex;
    std::mt19937_64 m_random;
    EventLog m_events;
    std::unique_ptr<HttpClient> m_http;
    const ControlContext m_context;
    LeaseDuty m_lease;
    ReportDuty m_reports;
    DocumentDuty m_documents;
    OrderDuty m_orders;
    PermitDuty m_permits;
    std::unique_ptr<HttpServer> m_server;
    // The last member: the threads use the others.
    std::vector<std::unique_ptr<DutyThread>> m_threads;
};

} // namespace Jujube
