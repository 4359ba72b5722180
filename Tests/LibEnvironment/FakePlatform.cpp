#include "FakePlatform.h"

#include <gtest/gtest.h>
#include <LibCore/Json.h>

namespace Jujube
{

FakePlatform::FakePlatform()
{
    auto server = HttpServer::start({.threads = 4, .handler = [this](const auto &request, auto &responder) { handle(request, responder); }});
    EXPECT_TRUE(server.ok()) << server.status();
    m_server = *std::move(server);
}

void FakePlatform::setRow(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    auto &row = m_rows[key];
    row = {.value = value, .revision = row.revision + 1};
}

std::string FakePlatform::row(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    return m_rows[key].value;
}

void FakePlatform::handle(const HttpRequest &request, HttpResponder &responder)
{
    if (request.path == "/transactions") {
        handleTransaction(request, responder);
        return;
    }
    const std::lock_guard lock(m_mutex);
    if (m_down) {
        responder.send(503, "text/plain", "down");
    } else if (request.path.starts_with("/table/")) {
        handleTable(request.path.substr(std::string_view("/table/").size()), responder);
    } else if (request.path.starts_with("/objects/")) {
        handleObject(request, responder);
    } else {
        responder.sendJson(200, {{"vms", vms}});
    }
}

void FakePlatform::handleTable(const std::string &key, HttpResponder &responder)
{
    const auto &row = m_rows[key];
    if (row.revision == 0) {
        responder.send(404, "text/plain", "no such row");
        return;
    }
    responder.sendJson(200, {{"value", row.value}, {"revision", row.revision}});
}

void FakePlatform::handleObject(const HttpRequest &request, HttpResponder &responder)
{
    const auto name = request.path.substr(std::string_view("/objects/").size());
    if (request.method == "PUT") {
        objects[name] = request.body;
        responder.send(200, "text/plain", "");
        return;
    }
    const auto found = objects.find(name);
    found == objects.end() ? responder.send(404, "text/plain", "") : responder.send(200, "application/octet-stream", found->second);
}

void FakePlatform::handleTransaction(const HttpRequest &request, HttpResponder &responder)
{
    std::function<void()> hook;
    {
        const std::lock_guard lock(m_mutex);
        hook.swap(m_hook);
    }
    if (hook) {
        hook();
    }
    const std::lock_guard lock(m_mutex);
    if (m_down) {
        responder.send(503, "text/plain", "down");
        return;
    }
    auto fault = Fault::None;
    if (!m_faults.empty()) {
        fault = m_faults.front();
        m_faults.erase(m_faults.begin());
    }
    if (fault == Fault::LoseRequest) {
        responder.send(504, "text/plain", "");
        return;
    }
    const bool written = tryTransaction(parseJson(request.body)->at("writes"));
    m_down = fault == Fault::StopResponding;
    // With any other fault no response is sent.
    if (fault == Fault::None) {
        responder.sendJson(written ? 200 : 412, nlohmann::json::object());
    }
}

bool FakePlatform::tryTransaction(const nlohmann::json &writes)
{
    for (const auto &write : writes) {
        if (m_rows[write.at("key").get<std::string>()].revision != write.at("revision").get<uint64_t>()) {
            return false;
        }
    }
    for (const auto &write : writes) {
        auto &row = m_rows[write.at("key").get<std::string>()];
        row = {.value = write.at("value").get<std::string>(), .revision = row.revision + 1};
    }
    return true;
}

} // namespace Jujube
