#include "../Support/BrokenResponses.h"

#include <gtest/gtest.h>
#include <LibLoop/MessageParser.h>
#include <random>

using namespace Jujube;

namespace
{

constexpr int RandomSchedules = 10000;

struct Parsed {
    std::optional<ParseError> error;
    bool complete = false;
    std::string body;
    std::string rest;
};

Parsed parseWhole(MessageParser::Direction direction, std::string bytes)
{
    MessageParser parser(direction, {});
    Parsed result;
    result.error = parser.feed(bytes);
    result.complete = parser.isComplete();
    result.body = parser.takeBody();
    result.rest = bytes;
    return result;
}

// Feeds the bytes in random pieces.
Parsed parseInPieces(MessageParser::Direction direction, const std::string &bytes, std::mt19937 &random)
{
    MessageParser parser(direction, {});
    Parsed result;
    std::string buffer;
    size_t position = 0;
    while (position < bytes.size() && !result.error) {
        const auto size = std::min<size_t>(bytes.size() - position, 1 + random() % 7);
        buffer += bytes.substr(position, size);
        position += size;
        result.error = parser.feed(buffer);
        result.body += parser.takeBody();
    }
    result.complete = parser.isComplete();
    result.rest = buffer;
    return result;
}

struct BadRequest {
    const char *name;
    const char *bytes;
};

} // namespace

// Guards against request smuggling: two parsers that frame one message differently see different requests in it.
TEST(MessageParser, RefusesAmbiguousFraming)
{
    const BadRequest requests[] = {
        {"two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"},
        {"length and chunks", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
        {"chunks and length", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n"},
        {"unknown coding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n"},
        {"coding twice", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n"},
        {"coding list", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\n"},
        {"bare line feed", "POST / HTTP/1.1\nHost: a\nContent-Length: 0\n\n"},
        {"bare line feed in a field", "GET / HTTP/1.1\r\nHost: a\nX: y\r\n\r\n"},
        {"space before the colon", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\nabc"},
        {"signed length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc"},
        {"negative length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n"},
        {"chunk size that is no number", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n"},
        {"no version", "GET /\r\nHost: a\r\n\r\n"},
    };
    for (const auto &request : requests) {
        EXPECT_EQ(parseWhole(MessageParser::Direction::Request, request.bytes).error, ParseError::Malformed) << request.name;
    }
}

// Guards against a request that is passed on with a line that is no field, or that is framed otherwise than its target reads it.
TEST(MessageParser, RefusesRequestsWithMalformedFields)
{
    for (const auto &line : malformedFieldLines()) {
        const auto parsed = parseWhole(MessageParser::Direction::Request, "POST / HTTP/1.1\r\n" + line + "\r\nHost: a\r\nContent-Length: 2\r\n\r\nok");
        EXPECT_EQ(parsed.error, ParseError::Malformed) << line;
    }
}

// Guards against a target that is decoded or normalised on its way.
TEST(MessageParser, KeepsTheTargetByteForByte)
{
    std::string bytes = "GET /a%2F../b//c;d?x=%20&y=a+b HTTP/1.1\r\nHost: a\r\n\r\n";
    MessageParser parser(MessageParser::Direction::Request, {});
    ASSERT_FALSE(parser.feed(bytes));
    ASSERT_TRUE(parser.isComplete());
    EXPECT_EQ(parser.head().target, "/a%2F../b//c;d?x=%20&y=a+b");
}

// Guards against limits that are only checked once the message has arrived.
TEST(MessageParser, EnforcesLimitsWhileReading)
{
    MessageParser parser(MessageParser::Direction::Request, {.headBytes = 100, .bodyBytes = 10});
    std::string head = "GET / HTTP/1.1\r\nX: " + std::string(200, 'a');
    EXPECT_EQ(parser.feed(head), ParseError::HeadTooLarge);
    MessageParser second(MessageParser::Direction::Request, {.headBytes = 100, .bodyBytes = 10});
    std::string body = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n";
    EXPECT_EQ(second.feed(body), ParseError::BodyTooLarge);
    MessageParser third(MessageParser::Direction::Request, {.headBytes = 100, .bodyBytes = 10});
    std::string chunks = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n6\r\nabcdef\r\n";
    EXPECT_EQ(third.feed(chunks), ParseError::BodyTooLarge);
}

// Guards against a body or a boundary that depends on how the bytes are cut into packets.
TEST(MessageParser, ResultDoesNotDependOnCuts)
{
    const std::string message = "POST /p/q HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n1;x=y\r\ne\r\n0\r\n\r\n";
    const std::string next = "GET /next HTTP/1.1\r\nHost: a\r\n\r\n";
    for (int seed = 0; seed < RandomSchedules; ++seed) {
        std::mt19937 random(static_cast<unsigned>(seed));
        const auto result = parseInPieces(MessageParser::Direction::Request, message + next, random);
        ASSERT_FALSE(result.error) << seed;
        ASSERT_TRUE(result.complete) << seed;
        ASSERT_EQ(result.body, "abcde") << seed;
        ASSERT_EQ(result.rest, next) << seed;
    }
}

// Guards against an answer that was cut or spliced passing for a whole one.
TEST(MessageParser, CutAnswersAreNeverComplete)
{
    const std::string withLength = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nabcdefgh";
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nabcdefgh\r\n0\r\n\r\n";
    for (const auto &answer : {withLength, chunked}) {
        for (size_t size = 0; size < answer.size(); ++size) {
            MessageParser parser(MessageParser::Direction::Answer, {});
            std::string bytes = answer.substr(0, size);
            const auto error = parser.feed(bytes);
            EXPECT_FALSE(!error && (parser.isComplete() || parser.finishAtEnd())) << size;
        }
    }
}

// Guards against bytes of a spliced answer that count as part of another answer's body.
TEST(MessageParser, SplicedAnswersEndWhereTheirHeadSays)
{
    const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd";
    const std::string second = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nxy";
    for (int seed = 0; seed < RandomSchedules; ++seed) {
        std::mt19937 random(static_cast<unsigned>(seed));
        const auto cut = random() % second.size();
        const auto result = parseInPieces(MessageParser::Direction::Answer, first + second.substr(cut), random);
        ASSERT_FALSE(result.error) << seed;
        ASSERT_TRUE(result.complete) << seed;
        ASSERT_EQ(result.body, "abcd") << seed;
        ASSERT_EQ(result.rest, second.substr(cut)) << seed;
    }
}

// Guards against an answer without a length whose end is taken from anything but the end of the channel.
TEST(MessageParser, AnswerWithoutLengthEndsWithTheChannel)
{
    MessageParser parser(MessageParser::Direction::Answer, {});
    std::string bytes = "HTTP/1.1 200 OK\r\n\r\nabc";
    ASSERT_FALSE(parser.feed(bytes));
    EXPECT_FALSE(parser.isComplete());
    EXPECT_TRUE(parser.endsWithChannel());
    EXPECT_TRUE(parser.finishAtEnd());
    EXPECT_EQ(parser.takeBody(), "abc");
}

// Guards against an answer with a status outside HTTP's, or to a change of protocol that was not asked for, that is read as an answer.
TEST(MessageParser, RefusesInvalidStatuses)
{
    for (int status = 0; status <= 999; ++status) {
        const auto digits = std::to_string(1000 + status).substr(1);
        const bool isValid = status == 100 || (status >= 102 && status <= 599);
        for (const auto direction : {MessageParser::Direction::Answer, MessageParser::Direction::AnswerWithoutBody}) {
            const auto result = parseWhole(direction, "HTTP/1.1 " + digits + " X\r\nContent-Length: 0\r\n\r\n");
            EXPECT_EQ(!result.error, isValid) << digits;
            EXPECT_EQ(result.complete, isValid) << digits;
        }
    }
}

// Guards against memory that grows with bytes that are no answer and never end: in a head, a chunk line, a chunk's extension or the trailers.
TEST(MessageParser, BytesWithoutEndAreRefused)
{
    constexpr size_t Most = 64 * 1024;
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const auto &start : {std::string("HTTP/1.1 200 OK\r\nX-Long: "),
                              std::string("HTTP/1.1 200 "),
                              head + "000000",
                              head + "5;extension=",
                              head + "3\r\nabc\r\n0\r\nX-Trailer: "}) {
        MessageParser parser(MessageParser::Direction::Answer, {});
        auto buffer = start;
        std::optional<ParseError> error = parser.feed(buffer);
        size_t fed = 0;
        while (!error && fed < Most) {
            buffer += std::string(512, '0');
            fed += 512;
            error = parser.feed(buffer);
        }
        EXPECT_TRUE(error) << start;
        EXPECT_LE(buffer.size(), 20U * 1024) << start;
    }
}

// Guards against a parser that reads beyond its input, crashes or keeps more than its limits on damaged messages.
TEST(MessageParser, DamagedMessagesAreRefusedOrRead)
{
    const std::vector<std::string> seeds {
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nX-T: 1\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.0 200 OK\r\n\r\nuntil the end",
    };
    for (unsigned seed = 0; seed < RandomSchedules; ++seed) {
        std::mt19937 random(seed);
        auto bytes = seeds[random() % seeds.size()];
        for (unsigned change = random() % 8; change > 0; --change) {
            const auto position = random() % bytes.size();
            switch (random() % 3) {
            case 0:
                bytes[position] = static_cast<char>(random());
                break;
            case 1:
                bytes.erase(position, 1 + random() % 4);
                break;
            default:
                bytes.insert(position, bytes.substr(random() % bytes.size(), random() % 40));
            }
            if (bytes.empty()) {
                bytes = "\r\n";
            }
        }
        const auto parsed = parseInPieces(MessageParser::Direction::Answer, bytes, random);
        ASSERT_LE(parsed.body.size(), bytes.size()) << seed;
    }
}
