#pragma once

#include <functional>
#include <LibHttp/HttpServer.h>
#include <map>
#include <mutex>

namespace Jujube
{

// An in-memory implementation of the part of the platform that jujubectl uses, with fault injection.
class FakePlatform
{
public:
    // The fault injected into a transaction.
    enum class Fault {
        None,
        // The transaction takes effect, and its response is lost.
        LoseResponse,
        // The transaction does not take effect. The response has status 504, from which the client cannot know this.
        LoseRequest,
        // The transaction takes effect, its response is lost, and all later requests fail with status 503.
        StopResponding,
    };

    FakePlatform();

    const std::string &address() const
    {
        return m_server->address();
    }

    void setDown(bool down)
    {
        const std::lock_guard lock(m_mutex);
        m_down = down;
    }

    // Sets the faults of the next transactions, in order.
    void setFaults(std::vector<Fault> faults)
    {
        const std::lock_guard lock(m_mutex);
        m_faults = std::move(faults);
    }

    // Sets a function that is called once, before the next transaction is processed.
    void beforeTransaction(std::function<void()> hook)
    {
        const std::lock_guard lock(m_mutex);
        m_hook = std::move(hook);
    }

    // Writes a row unconditionally.
    void setRow(const std::string &key, const std::string &value);

    // Empty if there is no such row.
    std::string row(const std::string &key);

    std::map<std::string, std::string> objects;
    nlohmann::json vms = nlohmann::json::array();

private:
    struct Row {
        std::string value;
        uint64_t revision = 0;
    };

    void handle(const HttpRequest &request, HttpResponder &responder);
    void handleTable(const std::string &key, HttpResponder &responder);
    void handleObject(const HttpRequest &request, HttpResponder &responder);
    void handleTransaction(const HttpRequest &request, HttpResponder &responder);
    bool tryTransaction(const nlohmann::json &writes);

    std::mutex m_mutex;
    std::map<std::string, Row> m_rows;
    std::vector<Fault> m_faults;
    std::function<void()> m_hook;
    bool m_down = false;
    // Declared last, so that its threads end before the members that they use are destroyed.
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Jujube
