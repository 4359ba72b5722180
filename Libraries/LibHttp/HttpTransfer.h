#pragma once

#include <curl/curl.h>
#include <LibCore/Time.h>
#include <LibHttp/HttpClient.h>

namespace Jujube
{

// One call in progress: a libcurl easy handle, the request that it reads from and the answer that it fills. Used by the client's thread only.
class HttpTransfer
{
public:
    HttpTransfer(HttpClient::StreamId id, HttpCall call, HttpStreamSink sink);
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

    // Reports the end to the sink. The end is derived from libcurl's result unless another one is given.
    void finish(CURLcode result);
    void finish(HttpEnd end, std::string error);

private:
    static size_t receiveBody(char *data, size_t size, size_t count, void *self);
    static size_t receiveHeader(char *data, size_t size, size_t count, void *self);

    void applyCall();
    void noteHeaderLine(std::string_view line);
    size_t acceptBody(std::string_view bytes);
    HttpEnd endFor(CURLcode result) const;
    bool wasSent() const;

    const HttpClient::StreamId m_id;
    const HttpCall m_call;
    const HttpStreamSink m_sink;
    CURL *m_handle;
    curl_slist *m_headerList = nullptr;
    HttpAnswer m_answer;
    MonotonicTime m_lastByte;
    bool m_paused = false;
    // Whether the empty line behind the header section of the final response has arrived. libcurl reports success for a connection that ends before.
    bool m_isHeadComplete = false;
};

} // namespace Jujube
