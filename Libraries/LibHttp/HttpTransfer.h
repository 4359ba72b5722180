#pragma once

#include <curl/curl.h>
#include <LibCore/Time.h>
#include <LibHttp/HttpClient.h>
#include <optional>

namespace Jujube
{

// Names a connection by its two ends.
struct ConnectionName {
    std::string address;
    int port = 0;
    int localPort = 0;

    auto operator<=>(const ConnectionName &) const = default;
};

// One call in progress: a libcurl easy handle, the request that it reads from and the answer that it fills. Used by the client's thread only.
class HttpTransfer
{
public:
    // Returns whether a kept connection may carry a further request.
    using MayReuse = std::function<bool(const ConnectionName &connection)>;

    HttpTransfer(HttpClient::StreamId id, HttpCall call, HttpStreamSink sink, MayReuse mayReuse);
    ~HttpTransfer();
    HttpTransfer(const HttpTransfer &) = delete;
    HttpTransfer &operator=(const HttpTransfer &) = delete;

    HttpClient::StreamId id() const
    {
        return m_id;
    }

    CURL *handle() const
    {
        return m_handle;
    }

    // Whether no byte has arrived for longer than the silence timeout. A paused transfer is never silent.
    bool isSilent(MonotonicTime now) const;

    void resume(MonotonicTime now);

    // Whether the call was given a kept connection that may not carry it. No byte of it was sent; the next try uses a new connection.
    bool needsNewConnection();

    // The connection that carried the call and its socket. Nothing if there was none.
    std::optional<std::pair<ConnectionName, int>> connection() const;

    // Reports the end to the sink. The end is derived from libcurl's result unless another one is given.
    void finish(CURLcode result);
    void finish(HttpEnd end, std::string error);

private:
    static size_t receiveBody(char *data, size_t size, size_t count, void *self);
    static size_t receiveHeader(char *data, size_t size, size_t count, void *self);
    static int beforeRequest(void *self, char *address, char *localAddress, int port, int localPort);

    void applyCall();
    // Returns false for a status line with an invalid status, and for a line that is no field.
    bool noteHeaderLine(std::string_view line);
    size_t acceptBody(std::string_view bytes);
    HttpEnd endFor(CURLcode result) const;
    bool wasSent() const;

    const HttpClient::StreamId m_id;
    const HttpCall m_call;
    const HttpStreamSink m_sink;
    const MayReuse m_mayReuse;
    CURL *m_handle;
    curl_slist *m_headerList = nullptr;
    HttpAnswer m_answer;
    MonotonicTime m_lastByte;
    bool m_paused = false;
    bool m_isConnectionUnusable = false;
    // Whether the next line is a status line: the first one, and that behind an interim response.
    bool m_isStatusLineDue = true;
    // Why the header section or the trailers make the response a broken one. Empty if they do not.
    std::string_view m_defect;
    // Whether the empty line behind the header section of the final response has arrived. libcurl reports success for a connection that ends before.
    bool m_isHeadComplete = false;
    size_t m_headerBytes = 0;
    size_t m_errorBodyBytes = 0;
};

} // namespace Jujube
