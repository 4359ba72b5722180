#pragma once

#include <absl/status/statusor.h>
#include <chrono>
#include <functional>
#include <LibHttp/HttpMessage.h>
#include <LibHttp/HttpResponder.h>
#include <memory>

struct mg_context;

namespace Jujube
{

// Handles one request on a thread of the server. If it sends nothing, the connection is closed without an answer.
using HttpHandler = std::function<void(const HttpRequest &, HttpResponder &)>;

// An HTTP/1.1 server on CivetWeb. Requests with a body or header above the limits are answered with a problem object and never reach the handler.
// After a response that ends the connection before the end of the request, the rest of the request is discarded within limits, so that the response arrives.
class HttpServer
{
public:
    struct Options {
        // "address:port"; port 0 lets the system choose.
        std::string listen = "127.0.0.1:0";
        // Each open request occupies one thread.
        int threads = 64;
        size_t bodyLimitBytes = 1 << 20;
        size_t headerLimitBytes = 16 * 1024;
        // A write to a caller that reads nothing fails after this time.
        std::chrono::milliseconds writeTimeout {10000};
        // What a caller still sends after a response that came before the end of its request is read and discarded up to this size and time.
        size_t discardLimitBytes = 16 << 20;
        std::chrono::milliseconds discardTimeout {2000};
        HttpHandler handler;
    };

    // Errors: ErrorKind::InvalidValue if the address cannot be bound.
    static absl::StatusOr<std::unique_ptr<HttpServer>> start(Options options);

    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // "address:port" with the port in use.
    const std::string &address() const
    {
        return m_address;
    }

    // Stops accepting, and waits until every handler has returned.
    void stop();

private:
    explicit HttpServer(Options options);

    static int beginRequest(mg_connection *connection);
    static int httpError(mg_connection *connection, int status, const char *message);

    void handle(mg_connection *connection, HttpResponder &responder) const;
    // Ends a connection whose request was not read to its end, after the response.
    void discardRest(mg_connection *connection) const;

    const Options m_options;
    std::string m_address;
    mg_context *m_context = nullptr;
};

} // namespace Jujube
