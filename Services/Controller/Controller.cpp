#include "Controller.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <glog/logging.h>
#include <LibControl/LeaseClock.h>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

constexpr int Ok = 200;
constexpr int ServerThreads = 8;
constexpr auto LeaseStepInterval = 100ms;
constexpr auto DocumentStepInterval = 1000ms;
constexpr auto ReportStepInterval = 200ms;
constexpr auto OrderStepInterval = 500ms;

EventLog::Options eventOptions(const Settings &settings)
{
    return {.process = settings.text("name"), .dataCentre = settings.text("data-centre"), .onEvent = [](const Event &event) {
                LOG(INFO) << event.toJson().dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
            }};
}

} // namespace

Controller::Controller(const Settings &settings)
    : m_random(std::random_device {}())
    , m_events(eventOptions(settings))
    , m_http(std::make_unique<HttpClient>())
    , m_context(makeContext(settings))
    , m_lease(leaseOptions(settings), makeTable(settings), m_context)
    , m_reports(reportOptions(settings), m_context)
    , m_documents(settings.text("environment"), makeTable(settings), makeObjects(settings), m_context)
    , m_orders(orderOptions(settings), m_lease, m_reports, m_context)
    , m_permits(permitOptions(settings), m_lease, m_reports, makeTable(settings), makeVmList(settings), m_context)
{
}

Controller::~Controller()
{
    m_threads.clear();
    if (m_server) {
        m_server->stop();
    }
    record(EventKind::ProcessStopped, "", "");
    // Ends the open calls, whose callbacks use the duties.
    m_http.reset();
}

absl::StatusOr<std::unique_ptr<Controller>> Controller::start(const Settings &settings)
{
    std::unique_ptr<Controller> controller(new Controller(settings));
    auto server
        = HttpServer::start({.listen = settings.text("listen"),
                             .threads = ServerThreads,
                             .handler = [self = controller.get()](const HttpRequest &request, HttpResponder &responder) { self->handle(request, responder); }});
    if (!server.ok()) {
        return server.status();
    }
    controller->m_server = *std::move(server);
    controller->record(EventKind::ProcessStarted, "", "serves " + controller->address());
    controller->startDuties(settings);
    return controller;
}

void Controller::startDuties(const Settings &settings)
{
    const auto add = [this](std::chrono::milliseconds interval, std::function<void()> step) {
        m_threads.push_back(std::make_unique<DutyThread>(interval, std::move(step)));
    };
    add(LeaseStepInterval, [this] { m_lease.step(); });
    add(DocumentStepInterval, [this] { m_documents.step(); });
    add(ReportStepInterval, [this] {
        // Only the holder needs reports; 390 controllers must not all read 2,800 targets.
        if (m_lease.term()) {
            m_reports.step(m_documents.wanted());
        }
    });
    add(OrderStepInterval, [this] { m_orders.step(m_documents.wanted()); });
    add(settings.milliseconds("permit-scan-ms"), [this] { m_permits.step(m_documents.wanted()); });
}

ControlContext Controller::makeContext(const Settings &settings)
{
    const PlatformRateLimiter::Options gateOptions {.nodes = static_cast<int>(settings.number("nodes"))};
    return {.now = leaseClockNow,
            .random = [this] { return random(); },
            .send = [this](HttpCall call, std::function<void(const HttpAnswer &)> onEnd) { m_http->open(std::move(call), {.onEnd = std::move(onEnd)}); },
            .gate = std::make_shared<PlatformRateLimiter>(gateOptions, leaseClockNow(), random()),
            .record = [this](EventKind kind, const std::string &target, const std::string &detail) { record(kind, target, detail); }};
}

TableClient Controller::makeTable(const Settings &settings)
{
    return TableClient({.address = settings.text("platform"), .transport = [this](HttpCall call) { return m_http->call(std::move(call)); }});
}

ObjectClient Controller::makeObjects(const Settings &settings)
{
    return ObjectClient({.address = settings.text("platform"), .transport = [this](HttpCall call) { return m_http->call(std::move(call)); }});
}

VmListClient Controller::makeVmList(const Settings &settings)
{
    return VmListClient({.address = settings.text("platform"), .transport = [this](HttpCall call) { return m_http->call(std::move(call)); }});
}

double Controller::random()
{
    const std::lock_guard lock(m_randomMutex);
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

void Controller::record(EventKind kind, const std::string &target, const std::string &detail)
{
    m_events.record({.kind = kind, .target = target, .detail = detail}, wallMsNow());
}

void Controller::handle(const HttpRequest &request, HttpResponder &responder)
{
    if (request.method != "GET") {
        responder.sendProblem({.kind = ErrorKind::MethodNotAllowed, .detail = "this process answers GET only"});
    } else if (request.path == "/livez" || request.path == "/readyz") {
        responder.send(Ok, "text/plain", "ok\n");
    } else if (request.path == "/status") {
        responder.sendJson(Ok, status());
    } else if (request.path == "/metrics") {
        responder.send(Ok, "text/plain; version=0.0.4", metrics());
    } else if (request.path == "/events") {
        uint64_t after = 0;
        if (!absl::SimpleAtoi(request.queryParameter("after").value_or("0"), &after)) {
            responder.sendProblem({.kind = ErrorKind::InvalidValue, .detail = "\"after\" is not a whole number"});
            return;
        }
        responder.sendJson(Ok, m_events.pageToJson(after));
    } else {
        responder.sendProblem({.kind = ErrorKind::NotFound, .detail = request.path});
    }
}

nlohmann::json Controller::status() const
{
    const auto term = m_lease.term();
    const auto wanted = m_documents.wanted();
    auto missing = nlohmann::json::array();
    for (const auto &order : missingOrders(wanted, m_reports.reports())) {
        missing.push_back({{"target", order.target}, {"order", nameOf(order.kind)}, {"model", order.model}, {"version", order.version}});
    }
    return {{"holds_lease", term.has_value()},
            {"fencing", term ? term->fencing : 0},
            {"document_version", m_documents.version()},
            {"targets", wanted.size()},
            {"platform_outage", m_context.gate->isOutage()},
            {"missing_orders", std::move(missing)}};
}

std::string Controller::metrics() const
{
    const auto term = m_lease.term();
    return absl::StrCat("jujube_controller_holds_lease ",
                        term ? 1 : 0,
                        "\njujube_controller_fencing ",
                        term ? term->fencing : 0,
                        "\njujube_controller_document_version ",
                        m_documents.version(),
                        "\njujube_controller_platform_outage ",
                        m_context.gate->isOutage() ? 1 : 0,
                        "\njujube_controller_reports ",
                        m_reports.reports().size(),
                        "\n");
}

} // namespace Jujube
