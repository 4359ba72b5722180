#pragma once

#include <absl/status/status.h>
#include <chrono>
#include <functional>
#include <LibHttp/HttpMessage.h>
#include <memory>
#include <string>

namespace Jujube
{

// A request to a target, to the platform or to a peer.
struct HttpCall {
    std::string method = "GET";
    std::string url;
    HttpHeaders headers;
    std::string body;
    std::chrono::milliseconds connectTimeout {1000};
    // Limit for the whole call. Zero means no limit, for streams.
    std::chrono::milliseconds totalTimeout {5000};
    // The call is ended when no byte arrives for this time. Zero means no limit.
    std::chrono::milliseconds silenceTimeout {0};
    // Uses a connection of its own. Required for calls that must not be repeated: libcurl repeats a request by itself when a reused connection turns out
    // to be closed before any byte of the answer.
    bool freshConnection = false;
    // A longer answer ends the call as Broken. Many calls may be open at the same time.
    size_t answerLimitBytes = 1 << 20;
};

// How a call ended.
enum class HttpEnd {
    Complete,
    // No byte of the request left this process.
    NotSent,
    // The request was sent, at least in part, and the answer is missing or incomplete.
    Broken,
    // No byte arrived within the silence timeout.
    Silent,
    TimedOut,
    Cancelled,
};

// The answer to a call, as far as it arrived.
struct HttpAnswer {
    HttpEnd end = HttpEnd::NotSent;
    // Zero if no status line arrived.
    int status = 0;
    HttpHeaders headers;
    // Empty for streams.
    std::string body;
    // The other machine refused the connection: no process listens there.
    bool refused = false;
    // The library's description of a failure.
    std::string error;

    bool isSuccess() const
    {
        constexpr int FirstSuccess = 200;
        constexpr int FirstRedirect = 300;
        return end == HttpEnd::Complete && status >= FirstSuccess && status < FirstRedirect;
    }
};

// Receives a stream on the client's thread; its functions must not block.
struct HttpStreamSink {
    // Returns false to pause the stream; HttpClient::resume() continues it and offers the same bytes again.
    std::function<bool(int status, std::string_view bytes)> onBytes;
    std::function<void(const HttpAnswer &)> onEnd;
};

// An HTTP client on libcurl's multi interface. One thread carries all calls of a process.
class HttpClient
{
public:
    using StreamId = uint64_t;

    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Makes a call and waits for its whole answer.
    HttpAnswer call(HttpCall call);

    // Makes a call whose answer is delivered to the sink as it arrives.
    StreamId open(HttpCall call, HttpStreamSink sink);

    // Continues a paused stream. Does nothing if the stream has ended.
    void resume(StreamId id);

    // Ends a stream; the sink gets HttpEnd::Cancelled unless the stream has ended before.
    void cancel(StreamId id);

private:
    class Worker;
    std::unique_ptr<Worker> m_worker;
};

} // namespace Jujube
