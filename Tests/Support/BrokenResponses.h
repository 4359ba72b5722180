#pragma once

#include <string>
#include <vector>

namespace Jujube
{

// A response of a server, for tests that break it off at each of its bytes.
struct WholeResponse {
    const char *name;
    std::string text;
    std::string body;
    // Number of its first bytes behind which nothing of its body can be missing when the connection ends. Only a line feed is missing from chunks then.
    size_t completeFrom;
};

// One response for each framing, with `fields` in its header section. `body` has to have no line that the framing could be mistaken for.
inline std::vector<WholeResponse> wholeResponses(const std::string &fields, const std::string &body)
{
    const std::string half = body.substr(0, body.size() / 2);
    const std::string rest = body.substr(body.size() / 2);
    const auto chunk = [](const std::string &bytes) {
        constexpr std::string_view Digits = "0123456789abcdef";
        std::string size;
        for (auto left = bytes.size(); left > 0; left /= 16) {
            size.insert(size.begin(), Digits[left % 16]);
        }
        return size + ";ext=1\r\n" + bytes + "\r\n";
    };
    const std::string withLength = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const std::string chunked = "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunk(half) + chunk(rest) + "0\r\n";
    const std::string untilEnd = "HTTP/1.1 200 OK\r\n" + fields + "\r\n";
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\nContent-Length: 0\r\n\r\n";
    std::vector<WholeResponse> all {{.name = "length", .text = withLength, .body = body},
                                    {.name = "chunks", .text = chunked + "\r\n", .body = body},
                                    {.name = "chunks and trailers", .text = chunked + "X-Trailer: a\r\nX-Other: b\r\n\r\n", .body = body},
                                    {.name = "no body", .text = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 0\r\n\r\n"},
                                    {.name = "interim responses", .text = interim + withLength, .body = body}};
    for (auto &response : all) {
        const bool isChunked = response.text.ends_with("\r\n\r\n") && !response.body.empty();
        response.completeFrom = response.text.size() - (isChunked ? 1 : 0);
    }
    all.push_back({.name = "until the end", .text = untilEnd + body, .body = body, .completeFrom = untilEnd.size()});
    return all;
}

// Lines in place of a header field whose name or value is malformed (RFC 9110, sections 5.1 and 5.5; RFC 9112, section 5.1).
inline std::vector<std::string> malformedFieldLines()
{
    using namespace std::string_literals;
    return {"X Y: a",
            "X\tY: a",
            "X : a",
            "X\t: a",
            "X\0Y: a"s,
            "X\aY: a",
            "X\x7fY: a",
            "X\x80Y: a",
            "X[Y]: a",
            "X\rY: a",
            ": a",
            " : a",
            "X",
            "Content-Length : 1",
            "Content-Length\t: 1",
            "Content-Length\x01: 1",
            "Content Length: 1",
            "Transfer-Encoding : chunked",
            "Transfer-Encoding\x01: chunked",
            "X: a\0b"s,
            "X: a\rb",
            "X: a\x01"};
}

} // namespace Jujube
