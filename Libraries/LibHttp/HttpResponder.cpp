#include <LibHttp/HttpResponder.h>

#include <absl/strings/str_cat.h>
#include <civetweb.h>
#include <LibCore/AbslView.h>

namespace Jujube
{

namespace
{

std::string statusLine(int status)
{
    return absl::StrCat("HTTP/1.1 ", status, " ", mg_get_response_code_text(nullptr, status), "\r\n");
}

} // namespace

HttpResponder::HttpResponder(mg_connection *connection)
    : m_connection(connection)
{
}

void HttpResponder::send(int status, std::string_view contentType, std::string_view body, const HttpHeaders &headers)
{
    m_status = status;
    std::string message = statusLine(status);
    absl::StrAppend(&message, "Content-Type: ", toAbsl(contentType), "\r\nContent-Length: ", body.size(), "\r\n");
    if (m_closes) {
        absl::StrAppend(&message, "Connection: close\r\n");
    }
    for (const auto &[name, value] : headers) {
        absl::StrAppend(&message, name, ": ", value, "\r\n");
    }
    absl::StrAppend(&message, "\r\n", toAbsl(body));
    write(message);
}

void HttpResponder::sendJson(int status, const nlohmann::json &json, const HttpHeaders &headers)
{
    send(status, "application/json", json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n", headers);
}

void HttpResponder::sendProblem(const Problem &problem)
{
    HttpHeaders headers;
    if (problem.retryAfter.count() > 0) {
        headers["Retry-After"] = absl::StrCat(problem.retryAfter.count());
    }
    const auto body = problem.toJson().dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    send(errorKindInfo(problem.kind).httpStatus, "application/problem+json", body, headers);
}

bool HttpResponder::beginStream(std::string_view contentType)
{
    constexpr int Ok = 200;
    m_status = Ok;
    mg_disable_connection_keep_alive(m_connection);
    return write(absl::StrCat(statusLine(Ok), "Content-Type: ", toAbsl(contentType), "\r\nCache-Control: no-store\r\nConnection: close\r\n\r\n"));
}

void HttpResponder::closeConnection()
{
    m_closes = true;
    mg_disable_connection_keep_alive(m_connection);
}

bool HttpResponder::write(std::string_view bytes)
{
    return mg_write(m_connection, bytes.data(), bytes.size()) == static_cast<int>(bytes.size());
}

} // namespace Jujube
