#include <LibHttp/InputDiscard.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <filesystem>
#include <LibCore/Time.h>
#include <netdb.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace Jujube
{

namespace
{

struct Address {
    std::string host;
    int port = 0;

    bool operator==(const Address &) const = default;
};

using AddressReader = int (*)(int, sockaddr *, socklen_t *);

// An address of a socket; empty if the file is no connected socket.
Address addressOf(int file, AddressReader read)
{
    sockaddr_storage address {};
    socklen_t size = sizeof(address);
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    std::array<char, NI_MAXHOST> host {};
    std::array<char, NI_MAXSERV> port {};
    if (read(file, generic, &size) != 0
        || getnameinfo(generic, size, host.data(), host.size(), port.data(), port.size(), NI_NUMERICHOST | NI_NUMERICSERV) != 0) {
        return {};
    }
    Address result {.host = host.data()};
    const std::string_view digits = port.data();
    std::from_chars(digits.data(), digits.data() + digits.size(), result.port);
    return result;
}

} // namespace

int findSocket(const std::string &remoteAddress, int remotePort, int localPort)
{
    const Address remote {.host = remoteAddress, .port = remotePort};
    int found = -1;
    std::error_code error;
    for (std::filesystem::directory_iterator entry("/proc/self/fd", error), end; !error && entry != end; entry.increment(error)) {
        const auto name = entry->path().filename().string();
        int file = -1;
        std::from_chars(name.data(), name.data() + name.size(), file);
        if (addressOf(file, &getpeername) != remote || addressOf(file, &getsockname).port != localPort) {
            continue;
        }
        if (found >= 0) {
            return -1;
        }
        found = file;
    }
    return found;
}

void discardInput(int socket, const InputDiscardLimits &limits)
{
    shutdown(socket, SHUT_WR);
    const auto end = monotonicNow() + limits.time;
    std::array<char, 16 * 1024> buffer {};
    size_t discarded = 0;
    while (discarded < limits.bytes) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(end - monotonicNow());
        pollfd input {.fd = socket, .events = POLLIN};
        if (left.count() <= 0 || (poll(&input, 1, static_cast<int>(left.count())) < 0 && errno != EINTR)) {
            return;
        }
        const auto count = recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR)) {
            return;
        }
        discarded += static_cast<size_t>(std::max<ssize_t>(count, 0));
    }
}

} // namespace Jujube
