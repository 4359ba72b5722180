#include "TestCaller.h"

#include <gtest/gtest.h>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

// Only a broken system takes this long.
constexpr auto Patience = 90s;

} // namespace

TestCaller::TestCaller(HttpClient &client)
    : m_client(client)
{
}

TestCaller::~TestCaller()
{
    disconnect();
}

void TestCaller::connect(const std::string &gateway, const nlohmann::json &body, const std::string &key, const HttpHeaders &headers)
{
    HttpCall call {
        .method = "POST",
        .url = "http://" + gateway + "/v1/generations",
        .headers = headers,
        .body = body.dump(),
        .totalTimeout = 0ms,
        .freshConnection = true,
    };
    call.headers["Authorization"] = "Bearer " + key;
    std::unique_lock lock(m_mutex);
    if (!m_lastEventId.empty()) {
        call.headers["Last-Event-ID"] = m_lastEventId;
    }
    m_rest.clear();
    m_errorBody.clear();
    m_problem.reset();
    m_event.clear();
    m_pendingId.clear();
    m_ended = false;
    lock.unlock();
    const auto stream = m_client.open(std::move(call),
                                      {.onBytes =
                                           [this](int status, std::string_view bytes) {
                                               takeBytes(status, bytes);
                                               return true;
                                           },
                                       .onEnd =
                                           [this](const HttpAnswer &) {
                                               const std::lock_guard guard(m_mutex);
                                               if (!m_errorBody.empty()) {
                                                   m_problem = nlohmann::json::parse(m_errorBody, nullptr, false);
                                               }
                                               m_ended = true;
                                               m_changed.notify_all();
                                           }});
    lock.lock();
    m_stream = stream;
}

void TestCaller::disconnect()
{
    std::unique_lock lock(m_mutex);
    const auto stream = std::exchange(m_stream, std::nullopt);
    lock.unlock();
    if (stream) {
        m_client.cancel(*stream);
    }
    waitForEnd();
}

void TestCaller::takeBytes(int status, std::string_view bytes)
{
    constexpr int Ok = 200;
    const std::lock_guard lock(m_mutex);
    if (status != Ok) {
        m_errorBody.append(bytes);
        return;
    }
    m_rest.append(bytes);
    for (auto end = m_rest.find('\n'); end != std::string::npos; end = m_rest.find('\n')) {
        takeLine(m_rest.substr(0, end));
        m_rest.erase(0, end + 1);
    }
    m_changed.notify_all();
}

void TestCaller::takeLine(const std::string &line)
{
    if (line.starts_with("id: ")) {
        m_pendingId = line.substr(4);
    } else if (line.starts_with("event: ")) {
        m_event = line.substr(7);
    } else if (line.empty()) {
        // The id takes effect at the end of the event (HTML standard, section 9.2.6).
        if (!m_pendingId.empty()) {
            m_lastEventId = std::exchange(m_pendingId, "");
        }
        m_event.clear();
    } else if (line.starts_with("data: ")) {
        const auto data = nlohmann::json::parse(line.substr(6));
        if (m_event == "token") {
            EXPECT_EQ(data.at("index").get<size_t>(), m_tokens.size());
            m_tokens.push_back(data.at("text"));
        } else if (m_event == "done") {
            m_done = data;
        } else {
            m_problem = data;
        }
    }
}

bool TestCaller::waitForTokens(size_t count)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, Patience, [this, count] { return m_tokens.size() >= count || m_ended; });
    return m_tokens.size() >= count;
}

void TestCaller::waitForEnd()
{
    std::unique_lock lock(m_mutex);
    EXPECT_TRUE(m_changed.wait_for(lock, Patience, [this] { return m_ended; }));
}

std::vector<std::string> TestCaller::tokens() const
{
    const std::lock_guard lock(m_mutex);
    return m_tokens;
}

std::optional<nlohmann::json> TestCaller::done() const
{
    const std::lock_guard lock(m_mutex);
    return m_done;
}

std::optional<nlohmann::json> TestCaller::problem() const
{
    const std::lock_guard lock(m_mutex);
    return m_problem;
}

std::string TestCaller::lastEventId() const
{
    const std::lock_guard lock(m_mutex);
    return m_lastEventId;
}

void TestCaller::setLastEventId(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    m_lastEventId = id;
}

} // namespace Jujube
