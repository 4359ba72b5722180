#pragma once

#include <LibCore/Problem.h>
#include <LibHttp/HttpMessage.h>

struct mg_connection;

namespace Jujube
{

// Writes the answer to one request, either whole with send() or as a stream with beginStream() and write(). Used by the thread that handles the request.
class HttpResponder
{
public:
    explicit HttpResponder(mg_connection *connection);

    // Sends a complete answer.
    void send(int status, std::string_view contentType, std::string_view body, const HttpHeaders &headers = {});

    void sendJson(int status, const nlohmann::json &json, const HttpHeaders &headers = {});

    // Sends an error as application/problem+json, with Retry-After where the problem has one.
    void sendProblem(const Problem &problem);

    // Sends the header of an answer that ends with the connection (RFC 9112, section 6.3, step 8). Returns false if the caller is gone.
    bool beginStream(std::string_view contentType);

    // Sends bytes of a stream at once. Returns false if the caller is gone or has not read for the server's request timeout.
    bool write(std::string_view bytes);

    // Closes the connection once the handler returns. An answer that is sent afterwards with send() says so. Without an answer, the caller gets none.
    void closeConnection();

    // Whether closeConnection() was called and a complete answer was sent.
    bool closesAfterResponse() const
    {
        return m_closes && m_status != 0;
    }

    int status() const
    {
        return m_status;
    }

private:
    mg_connection *m_connection;
    int m_status = 0;
    bool m_closes = false;
};

} // namespace Jujube
