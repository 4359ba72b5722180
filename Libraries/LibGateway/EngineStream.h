#pragma once

#include <LibCore/BoundedRing.h>
#include <LibGeneration/EngineLineParser.h>
#include <LibGeneration/GenerationSession.h>
#include <LibHttp/HttpClient.h>
#include <memory>
#include <variant>

namespace Jujube
{

// The response stream of one generation from one engine. The thread of the HTTP client writes the bytes to a bounded ring buffer, and the thread that serves
// the caller reads them. Reading from the connection stops while the buffer is full, so that a slow caller slows its engine down instead of filling memory.
class EngineStream
{
public:
    using Piece = std::variant<std::string, EngineStreamEnd>;

    // Starts the call. The client must outlive the stream.
    EngineStream(HttpClient &client, HttpCall call);

    // Cancels the call if it has not ended.
    ~EngineStream();
    EngineStream(const EngineStream &) = delete;
    EngineStream &operator=(const EngineStream &) = delete;

    // Waits for bytes or for the end, for at most the given time.
    std::optional<Piece> next(std::chrono::milliseconds timeout);

    EngineLineParser &parser()
    {
        return m_parser;
    }

private:
    struct Shared;

    HttpClient &m_client;
    std::shared_ptr<Shared> m_shared;
    HttpClient::StreamId m_id;
    EngineLineParser m_parser;
};

// Maps the end and the status of a response to the end of an engine's stream.
EngineStreamEnd engineStreamEndOf(const HttpAnswer &response);

} // namespace Jujube
