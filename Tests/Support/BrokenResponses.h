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

} // namespace Jujube
