#include <LibLoop/MessageParser.h>

#include <absl/strings/match.h>
#include <boost/beast/http/basic_parser.hpp>
#include <LibCore/AbslView.h>
#include <LibCore/HttpStatus.h>
#include <variant>

namespace Jujube
{

namespace
{

namespace Http = boost::beast::http;
using BeastError = boost::system::error_code;
using BeastView = boost::beast::string_view;

// Collects what Beast's push parser reports.
template<bool IsRequest>
class CollectingParser final : public Http::basic_parser<IsRequest>
{
public:
    MessageHead head;
    std::string body;
    std::optional<uint64_t> declaredLength;

private:
    void on_request_impl(Http::verb, BeastView method, BeastView target, int version, BeastError &) override
    {
        head.method = std::string(method);
        head.target = std::string(target);
        head.version = version;
    }

    void on_response_impl(int code, BeastView reason, int version, BeastError &error) override
    {
        if (statusKindOf(code) == StatusKind::Invalid) {
            error = Http::error::bad_status;
            return;
        }
        head.status = code;
        head.reason = std::string(reason);
        head.version = version;
    }

    void on_field_impl(Http::field, BeastView name, BeastView value, BeastError &) override
    {
        head.fields.push_back({.name = std::string(name), .value = std::string(value)});
    }

    void on_header_impl(BeastError &) override
    {
        head.keepsChannel = this->keep_alive();
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> &length, BeastError &) override
    {
        if (length) {
            declaredLength = *length;
        }
    }

    std::size_t on_body_impl(BeastView bytes, BeastError &) override
    {
        body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t, BeastView, BeastError &) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t, BeastView bytes, BeastError &) override
    {
        body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_finish_impl(BeastError &) override
    {
    }
};

ParseError kindOf(const BeastError &error)
{
    if (error == Http::error::header_limit) {
        return ParseError::HeadTooLarge;
    }
    return error == Http::error::body_limit ? ParseError::BodyTooLarge : ParseError::Malformed;
}

// Beast treats a message with an unknown transfer coding as one without a body. Its next bytes would then count as a further request.
bool hasUnknownCoding(const MessageHead &head)
{
    const auto codings = head.count("transfer-encoding");
    return codings > 1 || (codings == 1 && !absl::EqualsIgnoreCase(toAbsl(head.value("transfer-encoding")), "chunked"));
}

// Whether the header section at the front of a buffer is all there and has a line that continues the field before it. Beast would append the line to the value
// of that field, whatever its sender meant. RFC 9112, section 5.2, lets a gateway refuse such an answer.
bool hasContinuationLine(std::string_view buffer)
{
    const auto head = buffer.substr(0, buffer.find("\r\n\r\n"));
    return head.size() < buffer.size() && (head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos);
}

template<typename Parser>
std::optional<ParseError> feedParser(Parser &parser, std::string &buffer, size_t mostUnused)
{
    while (!buffer.empty() && !parser.is_done()) {
        BeastError error;
        const auto used = parser.put(boost::asio::buffer(buffer), error);
        buffer.erase(0, used);
        if (error == Http::error::need_more) {
            break;
        }
        if (error) {
            return kindOf(error);
        }
        if (used == 0) {
            break;
        }
    }
    if (parser.is_header_done() && hasUnknownCoding(parser.head)) {
        return ParseError::Malformed;
    }
    if (!parser.is_done() && buffer.size() > mostUnused) {
        return ParseError::HeadTooLarge;
    }
    return std::nullopt;
}

} // namespace

class MessageParser::Impl
{
public:
    size_t mostUnused = 0;
    std::variant<std::unique_ptr<CollectingParser<true>>, std::unique_ptr<CollectingParser<false>>> parser;

    template<typename Function>
    decltype(auto) visit(Function function) const
    {
        return std::visit([&](const auto &pointer) -> decltype(auto) { return function(*pointer); }, parser);
    }
};

MessageParser::MessageParser(Direction direction, Limits limits)
    : m_impl(std::make_unique<Impl>())
{
    if (direction == Direction::Request) {
        m_impl->parser = std::make_unique<CollectingParser<true>>();
    } else {
        auto parser = std::make_unique<CollectingParser<false>>();
        parser->skip(direction == Direction::AnswerWithoutBody);
        m_impl->parser = std::move(parser);
    }
    m_impl->mostUnused = limits.headBytes;
    m_impl->visit([&](auto &parser) {
        parser.header_limit(static_cast<std::uint32_t>(limits.headBytes));
        parser.body_limit(limits.bodyBytes);
        parser.eager(true);
    });
}

MessageParser::~MessageParser() = default;

std::optional<ParseError> MessageParser::feed(std::string &buffer)
{
    return m_impl->visit([&]<bool IsRequest>(CollectingParser<IsRequest> &parser) -> std::optional<ParseError> {
        if (!IsRequest && !parser.is_header_done() && hasContinuationLine(buffer)) {
            return ParseError::Malformed;
        }
        return feedParser(parser, buffer, m_impl->mostUnused);
    });
}

bool MessageParser::finishAtEnd()
{
    return m_impl->visit([](auto &parser) {
        if (parser.is_done()) {
            return true;
        }
        if (!parser.is_header_done()) {
            return false;
        }
        BeastError error;
        parser.put_eof(error);
        return !error && parser.is_done();
    });
}

bool MessageParser::hasHead() const
{
    return m_impl->visit([](auto &parser) { return parser.is_header_done(); });
}

const MessageHead &MessageParser::head() const
{
    return m_impl->visit([](auto &parser) -> const MessageHead & { return parser.head; });
}

std::string MessageParser::takeBody()
{
    return m_impl->visit([](auto &parser) { return std::exchange(parser.body, {}); });
}

bool MessageParser::isComplete() const
{
    return m_impl->visit([](auto &parser) { return parser.is_done(); });
}

bool MessageParser::endsWithChannel() const
{
    return m_impl->visit([](auto &parser) { return parser.is_header_done() && parser.need_eof(); });
}

std::optional<uint64_t> MessageParser::declaredLength() const
{
    return m_impl->visit([](auto &parser) { return parser.declaredLength; });
}

} // namespace Jujube
