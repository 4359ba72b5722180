#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace Jujube
{

// Largest strings and lists of a message. They keep a damaged length from allocating memory.
struct ThriftLimits {
    int stringBytes = 1400;
    int listItems = 1400;
};

// A Thrift message in the compact protocol. For libraries that link Thrift.
template<typename Message>
std::string toThriftCompact(const Message &message)
{
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

// A message without its last `count` list elements. They are taken from the first list until it is empty, then from the next one.
template<typename Message, typename... Lists>
Message withoutLastElements(Message message, size_t count, Lists Message::*...lists)
{
    const auto shorten = [&count](auto &list) {
        const size_t removed = std::min(count, list.size());
        list.resize(list.size() - removed);
        count -= removed;
    };
    (shorten(message.*lists), ...);
    return message;
}

// A message that has to fit into a datagram. As few list elements as needed are left out, the least important list first. If it does not fit without any, it
// is encoded without any.
template<typename Message, typename... Lists>
std::string toThriftCompactWithin(const Message &message, size_t mostBytes, Lists Message::*...lists)
{
    auto text = toThriftCompact(message);
    if (text.size() <= mostBytes) {
        return text;
    }
    // A message with fewer elements is never longer.
    size_t tooFew = 0;
    size_t enough = ((message.*lists).size() + ... + 0);
    while (enough - tooFew > 1) {
        const size_t middle = tooFew + (enough - tooFew) / 2;
        const bool fits = toThriftCompact(withoutLastElements(message, middle, lists...)).size() <= mostBytes;
        (fits ? enough : tooFew) = middle;
    }
    return toThriftCompact(withoutLastElements(message, enough, lists...));
}

// Nothing if the bytes are not such a message.
template<typename Message>
std::optional<Message> fromThriftCompact(std::string bytes, const ThriftLimits &limits = {})
{
    // TMemoryBuffer only reads in OBSERVE mode, but its interface takes a mutable pointer.
    const auto buffer
        = std::make_shared<apache::thrift::transport::TMemoryBuffer>(reinterpret_cast<uint8_t *>(bytes.data()), static_cast<uint32_t>(bytes.size()));
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buffer, limits.stringBytes, limits.listItems);
    Message message;
    try {
        message.read(&protocol);
    } catch (const apache::thrift::TException &) {
        return std::nullopt;
    }
    return message;
}

} // namespace Jujube
