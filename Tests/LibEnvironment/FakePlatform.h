#pragma once

#include <functional>
#include <LibHttp/HttpServer.h>
#include <map>
#include <mutex>

namespace Jujube
{

// The part of the platform that jujubectl uses, in memory, with faults.
class FakePlatform
{
public:
    // What happens to a transaction.
    enum class Fault {
        None,
        // It takes effect, and its answer is lost.
        LoseResponse,
        // It is answered with status 504 and has not taken effect, which the caller cannot know.
        LoseRequest,
        // The platform stops answering altogether, after it took effect.
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

    // Applies to the next transactions, in order.
    void setFaults(std::vector<Fault> faults)
    {
        const std::lock_guard lock(m_mutex);
        m_faults = std::move(faults);
    }

    // Called once, before the next transaction is looked at.
    void beforeTransaction(std::function<void()> hook)
    {
        const std::lock_guard lock(m_mutex);
        m_hook = std::move(hook);
    }

    // Writes a row without any condition.
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
    // Declared last, so that its threads end before anything that they use.
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Jujube
