#pragma once

#include <condition_variable>
#include <LibHttp/HttpClient.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Jujube
{

// A caller of a gateway: reads one token stream in the background and keeps what arrived. Tokens that come twice or out of order are failures of the test.
class TestCaller
{
public:
    explicit TestCaller(HttpClient &client);
    ~TestCaller();
    TestCaller(const TestCaller &) = delete;
    TestCaller &operator=(const TestCaller &) = delete;

    // Starts a stream, or goes on with the present one where an event id has arrived.
    void connect(const std::string &gateway, const nlohmann::json &body, const std::string &key = "paying-key", const HttpHeaders &headers = {});

    // Closes the connection.
    void disconnect();

    // Waits until that many tokens have arrived, or the stream has ended. Returns whether the tokens have arrived.
    bool waitForTokens(size_t count);

    // Waits until the stream has ended, with its last event or without.
    void waitForEnd();

    std::vector<std::string> tokens() const;
    // The data of the event "done".
    std::optional<nlohmann::json> done() const;
    // The problem of the event "error", or of an answer that is not a stream.
    std::optional<nlohmann::json> problem() const;
    std::string lastEventId() const;
    void setLastEventId(const std::string &id);

private:
    void takeBytes(int status, std::string_view bytes);
    void takeLine(const std::string &line);

    HttpClient &m_client;
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    std::optional<HttpClient::StreamId> m_stream;
    std::string m_rest;
    std::string m_errorBody;
    std::string m_pendingId;
    std::string m_event;
    std::string m_lastEventId;
    std::vector<std::string> m_tokens;
    std::optional<nlohmann::json> m_done;
    std::optional<nlohmann::json> m_problem;
    bool m_ended = true;
};

} // namespace Jujube
