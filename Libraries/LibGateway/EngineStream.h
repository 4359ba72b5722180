#pragma once

#include <LibCore/BoundedRing.h>
#include <LibGeneration/EngineLineParser.h>
#include <LibGeneration/GenerationSession.h>
#include <LibHttp/HttpClient.h>
#include <memory>
#include <variant>

namespace Jujube
{

// The stream of one generation from one engine. The client's thread fills a bounded ring with the bytes; the thread that serves the caller empties it. A full
// ring pauses the connection, so that a caller that reads slowly slows its engine stream down instead of filling memory.
class EngineStream
{
public:
    using Piece = std::variant<std::string, UpstreamEnd>;

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

// What an answer's end and status mean for a generation.
UpstreamEnd engineStreamEndOf(const HttpAnswer &response);

} // namespace Jujube
