#include <StandIns/OrderDesk/OrderDesk.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <fstream>
#include <LibCore/Error.h>
#include <LibCore/Json.h>
#include <LibCore/Time.h>
#include <thread>
#include <unistd.h>

namespace Jujube
{

using std::chrono::milliseconds;

namespace
{

constexpr int Ok = 200;
constexpr int CrashExitCode = 70;

} // namespace

OrderDesk::OrderDesk(Options options)
    : m_options(std::move(options))
    , m_faults {.delay = m_options.delay}
{
    readLedgerFile();
}

absl::StatusOr<std::unique_ptr<OrderDesk>> OrderDesk::start(Options options)
{
    std::unique_ptr<OrderDesk> desk(new OrderDesk(std::move(options)));
    auto server = HttpServer::start({
        .listen = desk->m_options.listen,
        .threads = desk->m_options.threads,
        .handler = [&desk = *desk](const HttpRequest &request, HttpResponder &responder) { desk.handle(request, responder); },
    });
    if (!server.ok()) {
        return server.status();
    }
    desk->m_server = *std::move(server);
    return desk;
}

void OrderDesk::readLedgerFile()
{
    std::ifstream file(m_options.ledgerFile);
    for (std::string line; std::getline(file, line);) {
        auto entry = parseJson(line);
        // A crash may have cut the last line.
        if (entry.ok()) {
            m_ledger.push_back(*std::move(entry));
        }
    }
}

void OrderDesk::handle(const HttpRequest &request, HttpResponder &responder)
{
    if (request.method == "POST") {
        handlePost(request, responder);
    } else if (request.method != "GET") {
        responder.sendProblem({.kind = ErrorKind::MethodNotAllowed, .detail = request.method});
    } else if (request.path == "/ledger") {
        const std::lock_guard lock(m_mutex);
        responder.sendJson(Ok, {{"entries", m_ledger}});
    } else if (request.path == "/load") {
        const std::lock_guard lock(m_mutex);
        responder.sendJson(Ok, {{"name", m_options.name}, {"running", m_running}, {"leaving", false}});
    } else {
        answerStatus(request.path, responder);
    }
}

void OrderDesk::handlePost(const HttpRequest &request, HttpResponder &responder)
{
    const auto body = parseJson(request.body);
    if (!body.ok()) {
        responder.sendProblem(Problem::fromStatus(body.status()));
        return;
    }
    if (request.path == "/faults") {
        const auto status = injectFaults(*body);
        if (status.ok()) {
            responder.sendJson(Ok, nlohmann::json::object());
        } else {
            responder.sendProblem(Problem::fromStatus(status));
        }
        return;
    }
    runCall(request.path.substr(1), request, *body, responder);
}

void OrderDesk::runCall(const std::string &call, const HttpRequest &request, const nlohmann::json &body, HttpResponder &responder)
{
    if (takeFault(&Faults::crashBeforeRun)) {
        _exit(CrashExitCode);
    }
    if (takeFault(&Faults::closeBeforeRun)) {
        responder.closeConnection();
        return;
    }
    milliseconds delay {0};
    {
        const std::lock_guard lock(m_mutex);
        delay = m_faults.delay;
        ++m_running;
    }
    std::this_thread::sleep_for(delay);
    const auto entry = appendToLedger(call, request, body);
    if (takeFault(&Faults::crashAfterRun)) {
        _exit(CrashExitCode);
    }
    if (takeFault(&Faults::closeAfterRun)) {
        responder.closeConnection();
        return;
    }
    responder.sendJson(Ok, {{"id", entry.at("id")}, {"call", call}, {"status", "done"}, {"sequence", entry.at("sequence")}});
}

nlohmann::json OrderDesk::appendToLedger(const std::string &call, const HttpRequest &request, const nlohmann::json &body)
{
    const std::lock_guard lock(m_mutex);
    --m_running;
    const auto sequence = m_ledger.size() + 1;
    const auto given = body.is_object() && body.contains("id") && body["id"].is_string() ? body["id"].get<std::string>() : std::string();
    nlohmann::json entry {
        {"sequence", sequence},
        {"call", call},
        {"id", given.empty() ? absl::StrCat(m_options.name, "-", sequence) : given},
        {"key", std::string(request.header("idempotency-key"))},
        {"body", body},
        {"time_ms", wallMsNow()},
    };
    m_ledger.push_back(entry);
    if (!m_options.ledgerFile.empty()) {
        std::ofstream(m_options.ledgerFile, std::ios::app) << entry.dump() << '\n';
    }
    return entry;
}

void OrderDesk::answerStatus(const std::string &path, HttpResponder &responder) const
{
    const std::vector<std::string> parts = absl::StrSplit(path.substr(1), absl::MaxSplits('/', 1));
    milliseconds delay {0};
    {
        const std::lock_guard lock(m_mutex);
        delay = m_faults.delay;
    }
    std::this_thread::sleep_for(delay);
    const std::lock_guard lock(m_mutex);
    // The call "status" finds an id whatever call it belongs to.
    const auto matches
        = [&parts](const nlohmann::json &entry) { return parts.size() == 2 && (parts[0] == "status" || entry["call"] == parts[0]) && entry["id"] == parts[1]; };
    const auto found = std::find_if(m_ledger.rbegin(), m_ledger.rend(), matches);
    if (found == m_ledger.rend()) {
        responder.sendProblem({.kind = ErrorKind::NotFound, .detail = path});
        return;
    }
    responder.sendJson(Ok, {{"id", parts[1]}, {"call", parts[0]}, {"status", "done"}, {"sequence", found->at("sequence")}});
}

absl::Status OrderDesk::injectFaults(const nlohmann::json &faults)
{
    const std::lock_guard lock(m_mutex);
    if (!faults.is_object()) {
        return makeError(ErrorKind::InvalidValue, "faults must be an object");
    }
    for (const auto &[name, value] : faults.items()) {
        if (name == "crash" && value == true) {
            _exit(CrashExitCode);
        }
        if (!value.is_number_integer()) {
            return makeError(ErrorKind::InvalidValue, absl::StrCat("\"", name, "\" needs a whole number"));
        }
        const auto count = value.get<int64_t>();
        if (name == "delay_ms") {
            m_faults.delay = milliseconds(count);
        } else if (name == "close_before_run") {
            m_faults.closeBeforeRun = count;
        } else if (name == "close_after_run") {
            m_faults.closeAfterRun = count;
        } else if (name == "crash_before_run") {
            m_faults.crashBeforeRun = count;
        } else if (name == "crash_after_run") {
            m_faults.crashAfterRun = count;
        } else {
            return makeError(ErrorKind::UnknownField, absl::StrCat("unknown fault \"", name, "\""));
        }
    }
    return absl::OkStatus();
}

bool OrderDesk::takeFault(int64_t Faults::*fault)
{
    const std::lock_guard lock(m_mutex);
    if (m_faults.*fault == 0) {
        return false;
    }
    --(m_faults.*fault);
    return true;
}

} // namespace Jujube
