#include <LibHttp/HttpServer.h>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <array>
#include <civetweb.h>
#include <LibHttp/InputDiscard.h>
#include <mutex>

namespace Jujube
{

namespace
{

// CivetWeb calls a header that exceeds its buffer malformed. A buffer larger than the limit lets most oversized headers be refused by their own error kind.
constexpr size_t HeaderReadFactor = 4;
constexpr int HeaderTooLargeStatus = 431;
constexpr int PayloadTooLargeStatus = 413;

HttpRequest readRequestHeader(const mg_request_info &info)
{
    HttpRequest request;
    request.method = info.request_method;
    request.path = info.local_uri ? info.local_uri : "";
    request.query = info.query_string ? info.query_string : "";
    for (int i = 0; i < info.num_headers; ++i) {
        const auto &header = info.http_headers[i];
        request.headers[absl::AsciiStrToLower(header.name)] = header.value;
    }
    return request;
}

size_t headerSize(const mg_request_info &info)
{
    size_t size = std::string_view(info.request_uri).size();
    for (int i = 0; i < info.num_headers; ++i) {
        size += std::string_view(info.http_headers[i].name).size() + std::string_view(info.http_headers[i].value).size();
    }
    return size;
}

// Reads the body up to one byte over the limit, so that the caller can tell that it is too large. Returns false if the connection failed.
bool readBody(mg_connection *connection, size_t limit, std::string &body)
{
    std::array<char, 16 * 1024> buffer {};
    while (body.size() <= limit) {
        const auto wanted = std::min(buffer.size(), limit + 1 - body.size());
        const int count = mg_read(connection, buffer.data(), wanted);
        if (count < 0) {
            return false;
        }
        if (count == 0) {
            return true;
        }
        body.append(buffer.data(), static_cast<size_t>(count));
    }
    return true;
}

ErrorKind kindForServerError(int status)
{
    switch (status) {
    case PayloadTooLargeStatus:
        return ErrorKind::BodyTooLarge;
    case HeaderTooLargeStatus:
        return ErrorKind::HeaderTooLarge;
    default:
        return ErrorKind::BadRequest;
    }
}

void initializeLibraryOnce()
{
    static std::once_flag once;
    std::call_once(once, [] { mg_init_library(MG_FEATURES_DEFAULT); });
}

} // namespace

HttpServer::HttpServer(Options options)
    : m_options(std::move(options))
{
}

HttpServer::~HttpServer()
{
    stop();
}

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::start(Options options)
{
    initializeLibraryOnce();
    std::unique_ptr<HttpServer> server(new HttpServer(std::move(options)));
    const auto threads = std::to_string(server->m_options.threads);
    const auto timeout = std::to_string(server->m_options.writeTimeout.count());
    const auto readLimit = std::to_string(HeaderReadFactor * server->m_options.headerLimitBytes);
    std::array<const char *, 17> settings {
        "listening_ports",
        server->m_options.listen.c_str(),
        "num_threads",
        threads.c_str(),
        "request_timeout_ms",
        timeout.c_str(),
        "max_request_size",
        readLimit.c_str(),
        "enable_keep_alive",
        "yes",
        "keep_alive_timeout_ms",
        "5000",
        "tcp_nodelay",
        "1",
        "connection_queue",
        "128",
        nullptr,
    };
    mg_callbacks callbacks {};
    callbacks.begin_request = &HttpServer::beginRequest;
    callbacks.http_error = &HttpServer::httpError;
    std::array<char, 256> errorText {};
    mg_init_data init {};
    init.callbacks = &callbacks;
    init.user_data = server.get();
    init.configuration_options = settings.data();
    mg_error_data error {};
    error.text = errorText.data();
    error.text_buffer_size = errorText.size();
    server->m_context = mg_start2(&init, &error);
    if (!server->m_context) {
        return makeError(ErrorKind::InvalidValue, absl::StrCat("cannot listen on ", server->m_options.listen, ": ", errorText.data()));
    }
    mg_server_port port {};
    mg_get_server_ports(server->m_context, 1, &port);
    const auto &listen = server->m_options.listen;
    server->m_address = absl::StrCat(listen.substr(0, listen.rfind(':')), ":", port.port);
    return server;
}

void HttpServer::stop()
{
    if (m_context) {
        mg_stop(m_context);
        m_context = nullptr;
    }
}

int HttpServer::beginRequest(mg_connection *connection)
{
    constexpr int HandledWithoutStatus = 500;
    const auto *server = static_cast<const HttpServer *>(mg_get_user_data(mg_get_context(connection)));
    HttpResponder responder(connection);
    server->handle(connection, responder);
    if (responder.status() == 0) {
        // A handler that sends nothing ends the connection; the caller would wait for an answer that never comes otherwise.
        mg_disable_connection_keep_alive(connection);
    } else if (responder.closesAfterResponse()) {
        server->discardRest(connection);
    }
    return responder.status() > 0 ? responder.status() : HandledWithoutStatus;
}

void HttpServer::handle(mg_connection *connection, HttpResponder &responder) const
{
    const auto &info = *mg_get_request_info(connection);
    if (headerSize(info) > m_options.headerLimitBytes) {
        responder.closeConnection();
        const auto detail = absl::StrCat("the header is larger than ", m_options.headerLimitBytes, " bytes");
        responder.sendProblem({.kind = ErrorKind::HeaderTooLarge, .detail = detail});
        return;
    }
    auto request = readRequestHeader(info);
    const bool announcedTooLarge = info.content_length > static_cast<long long>(m_options.bodyLimitBytes);
    if (!announcedTooLarge && !readBody(connection, m_options.bodyLimitBytes, request.body)) {
        mg_disable_connection_keep_alive(connection);
        return;
    }
    // RFC 9110, section 8.6: a body shorter than its Content-Length is incomplete and must not be acted on.
    if (!announcedTooLarge && info.content_length > static_cast<long long>(request.body.size())) {
        mg_disable_connection_keep_alive(connection);
        return;
    }
    if (announcedTooLarge || request.body.size() > m_options.bodyLimitBytes) {
        // The unread rest of the body would be taken for the next request.
        responder.closeConnection();
        const auto detail = absl::StrCat("the body is larger than ", m_options.bodyLimitBytes, " bytes");
        responder.sendProblem({.kind = ErrorKind::BodyTooLarge, .detail = detail});
        return;
    }
    m_options.handler(request, responder);
}

int HttpServer::httpError(mg_connection *connection, int status, const char *message)
{
    HttpResponder responder(connection);
    responder.closeConnection();
    responder.sendProblem({.kind = kindForServerError(status), .detail = message ? message : ""});
    const auto *server = static_cast<const HttpServer *>(mg_get_user_data(mg_get_context(connection)));
    server->discardRest(connection);
    return 0;
}

void HttpServer::discardRest(mg_connection *connection) const
{
    const auto &info = *mg_get_request_info(connection);
    const int socket = findSocket(info.remote_addr, info.remote_port, info.server_port);
    if (socket >= 0) {
        discardInput(socket, {.bytes = m_options.discardLimitBytes, .time = m_options.discardTimeout});
    }
}

} // namespace Jujube
