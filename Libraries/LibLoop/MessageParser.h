#pragma once

#include <LibLoop/MessageHead.h>
#include <memory>
#include <optional>
#include <string>

namespace Jujube
{

enum class ParseError {
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
};

// Parses one HTTP/1.1 message with Boost.Beast. Requests are framed strictly (RFC 9112, section 6.3): a message with two lengths, with a length beside chunks,
// with an unknown transfer coding or with a bare line feed is malformed. Input that the parser cannot use yet is bounded by the limit of the head: an
// incomplete head, chunk line (with its extensions) or list of trailers. An answer with an invalid status (statusKindOf()) or with a continued line in its head
// is malformed.
class MessageParser
{
public:
    enum class Direction {
        Request,
        Answer,
        // The answer to HEAD, which has no body whatever its fields say.
        AnswerWithoutBody,
    };

    struct Limits {
        size_t headBytes = 16 * 1024;
        uint64_t bodyBytes = 64 << 20;
    };

    MessageParser(Direction direction, Limits limits);
    ~MessageParser();
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    // Consumes bytes from the front of the buffer. An incomplete head is left in the buffer until the rest of it is there.
    std::optional<ParseError> feed(std::string &buffer);

    // The channel has ended. Returns whether the message is complete by that.
    bool finishAtEnd();

    bool hasHead() const;
    const MessageHead &head() const;
    // The body bytes since the last call, without chunk framing.
    std::string takeBody();
    bool isComplete() const;
    // Whether the end of the channel is the only end of the body (RFC 9112, section 6.3, step 8).
    bool endsWithChannel() const;
    // The length that the head declares, or nothing for chunks and for bodies that end with the channel.
    std::optional<uint64_t> declaredLength() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Jujube
