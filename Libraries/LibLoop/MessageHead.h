#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Jujube
{

// One header field as it was received. Names keep their spelling.
struct HeaderField {
    std::string name;
    std::string value;
};

// Start line and header fields of a request or of an answer.
struct MessageHead {
    // Of a request. The target keeps its bytes: it is neither decoded nor normalised.
    std::string method;
    std::string target;
    // Of an answer.
    int status = 0;
    std::string reason;
    // HTTP/1.0 is 10, HTTP/1.1 is 11.
    int version = 11;
    std::vector<HeaderField> fields;
    // Whether the sender keeps the channel open after this message.
    bool keepsChannel = true;

    // The value of the first field of this name, in any case. Empty if there is none.
    std::string_view value(std::string_view name) const;
    bool has(std::string_view name) const;
    // Number of fields of this name.
    size_t count(std::string_view name) const;
    void remove(std::string_view name);
    void set(std::string_view name, std::string_view value);
};

// Whether a field belongs to one channel and must not be forwarded (RFC 9110, section 7.6.1). Fields that are named in Connection count as well.
bool isChannelField(const MessageHead &head, std::string_view name);

// Start line, fields and the empty line.
std::string requestText(const MessageHead &head);
std::string answerText(const MessageHead &head);

// The usual reason phrase of a status.
std::string_view reasonOf(int status);

} // namespace Jujube
