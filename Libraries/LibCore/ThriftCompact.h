#pragma once

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
