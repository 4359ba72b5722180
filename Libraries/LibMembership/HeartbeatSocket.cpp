#include <LibMembership/HeartbeatSocket.h>

#include <absl/strings/str_cat.h>
#include <array>
#include <LibCore/Error.h>
#include <LibCore/Time.h>
#include <netdb.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Jujube
{

namespace
{

constexpr std::chrono::milliseconds PollInterval {200};
// A poll that returns this late indicates that the process was frozen. Datagrams that the kernel queued in the meantime are outdated and are discarded,
// because they would be mistaken for current heartbeats.
constexpr std::chrono::milliseconds FreezeThreshold {2000};
// One byte more than MaxDatagramBytes, so that datagrams that are too large are recognized.
constexpr size_t ReceiveBufferBytes = 1401;
// Limits the datagrams read in one iteration, so that a flood does not prevent the thread from stopping.
constexpr int MaxDatagramsPerRead = 1024;

struct SocketAddress {
    sockaddr_storage storage {};
    socklen_t size = 0;
};

std::optional<SocketAddress> parseAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    addrinfo hints {};
    hints.ai_family = AF_UNSPEC;
    hints.ai_socktype = SOCK_DGRAM;
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
    addrinfo *found = nullptr;
    if (getaddrinfo(host.c_str(), text.substr(colon + 1).c_str(), &hints, &found) != 0) {
        return std::nullopt;
    }
    SocketAddress address;
    std::copy_n(reinterpret_cast<const char *>(found->ai_addr), found->ai_addrlen, reinterpret_cast<char *>(&address.storage));
    address.size = found->ai_addrlen;
    freeaddrinfo(found);
    return address;
}

std::string formatAddress(const sockaddr_storage &address, socklen_t size)
{
    std::array<char, NI_MAXHOST> host {};
    std::array<char, NI_MAXSERV> port {};
    const int flags = NI_NUMERICHOST | NI_NUMERICSERV;
    if (getnameinfo(reinterpret_cast<const sockaddr *>(&address), size, host.data(), host.size(), port.data(), port.size(), flags) != 0) {
        return {};
    }
    return address.ss_family == AF_INET6 ? absl::StrCat("[", host.data(), "]:", port.data()) : absl::StrCat(host.data(), ":", port.data());
}

} // namespace

absl::StatusOr<std::unique_ptr<HeartbeatSocket>> HeartbeatSocket::open(const std::string &listen, size_t ringCapacity)
{
    const auto address = parseAddress(listen);
    if (!address) {
        return makeError(ErrorKind::InvalidValue, absl::StrCat("heartbeat address \"", listen, "\" is not a numeric address and port"));
    }
    const int descriptor = socket(address->storage.ss_family, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return makeError(ErrorKind::Internal, "cannot create a UDP socket");
    }
    SocketAddress bound;
    bound.size = sizeof(bound.storage);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address->storage), address->size) != 0
        || getsockname(descriptor, reinterpret_cast<sockaddr *>(&bound.storage), &bound.size) != 0) {
        close(descriptor);
        return makeError(ErrorKind::Internal, absl::StrCat("cannot bind UDP address ", listen));
    }
    return std::unique_ptr<HeartbeatSocket>(new HeartbeatSocket(descriptor, formatAddress(bound.storage, bound.size), ringCapacity));
}

HeartbeatSocket::HeartbeatSocket(int socket, std::string address, size_t ringCapacity)
    : m_socket(socket)
    , m_address(std::move(address))
    , m_ring(ringCapacity)
    , m_thread([this] { receiveUntilStopped(); })
{
}

HeartbeatSocket::~HeartbeatSocket()
{
    m_stopping = true;
    m_ring.close();
    m_thread.join();
    close(m_socket);
}

void HeartbeatSocket::send(const std::string &address, const std::string &payload)
{
    const auto parsed = parseAddress(address);
    if (!parsed) {
        return;
    }
    const auto *destination = reinterpret_cast<const sockaddr *>(&parsed->storage);
    if (sendto(m_socket, payload.data(), payload.size(), MSG_DONTWAIT | MSG_NOSIGNAL, destination, parsed->size) >= 0) {
        m_sentDatagrams += 1;
        m_sentBytes += payload.size();
    }
}

HeartbeatSocket::Counters HeartbeatSocket::counters() const
{
    return {.sentDatagrams = m_sentDatagrams,
            .sentBytes = m_sentBytes,
            .receivedDatagrams = m_receivedDatagrams,
            .receivedBytes = m_receivedBytes,
            .droppedDatagrams = m_droppedDatagrams};
}

void HeartbeatSocket::receiveUntilStopped()
{
    while (!m_stopping) {
        pollfd waiting {.fd = m_socket, .events = POLLIN, .revents = 0};
        const auto before = monotonicNow();
        const int ready = poll(&waiting, 1, static_cast<int>(PollInterval.count()));
        const bool wasFrozen = monotonicNow() - before > FreezeThreshold;
        if (ready > 0) {
            receiveAvailable(wasFrozen);
        }
    }
}

void HeartbeatSocket::receiveAvailable(bool discard)
{
    for (int i = 0; i < MaxDatagramsPerRead; ++i) {
        std::array<char, ReceiveBufferBytes> buffer {};
        SocketAddress source;
        source.size = sizeof(source.storage);
        const auto size = recvfrom(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr *>(&source.storage), &source.size);
        if (size < 0) {
            return;
        }
        m_receivedDatagrams += 1;
        m_receivedBytes += static_cast<uint64_t>(size);
        Datagram datagram {.source = formatAddress(source.storage, source.size), .payload = std::string(buffer.data(), static_cast<size_t>(size))};
        if (discard || !m_ring.tryPush(std::move(datagram))) {
            m_droppedDatagrams += 1;
        }
    }
}

} // namespace Jujube
