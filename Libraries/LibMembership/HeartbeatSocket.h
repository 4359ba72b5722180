#pragma once

#include <absl/status/statusor.h>
#include <atomic>
#include <LibCore/BoundedRing.h>
#include <memory>
#include <string>
#include <thread>

namespace Jujube
{

struct Datagram {
    // "address:port" of the sender.
    std::string source;
    std::string payload;
};

// A UDP socket whose own thread receives datagrams into a bounded ring buffer. send() may be called from any thread.
class HeartbeatSocket
{
public:
    struct Counters {
        uint64_t sentDatagrams = 0;
        uint64_t sentBytes = 0;
        uint64_t receivedDatagrams = 0;
        uint64_t receivedBytes = 0;
        // Received while the ring buffer was full or while the process was frozen.
        uint64_t droppedDatagrams = 0;
    };

    // listen is "address:port" with a numeric address; port 0 selects a free port. Errors: ErrorKind::InvalidValue for the address, ErrorKind::Internal if the
    // socket cannot be bound.
    static absl::StatusOr<std::unique_ptr<HeartbeatSocket>> open(const std::string &listen, size_t ringCapacity);

    HeartbeatSocket(const HeartbeatSocket &) = delete;
    HeartbeatSocket &operator=(const HeartbeatSocket &) = delete;
    ~HeartbeatSocket();

    // Send errors are ignored, because the protocol tolerates lost datagrams.
    void send(const std::string &address, const std::string &payload);

    BoundedRing<Datagram> &received()
    {
        return m_ring;
    }

    // The bound "address:port".
    const std::string &address() const
    {
        return m_address;
    }

    Counters counters() const;

private:
    HeartbeatSocket(int socket, std::string address, size_t ringCapacity);

    void receiveUntilStopped();
    void receiveAvailable(bool discard);

    const int m_socket;
    const std::string m_address;
    BoundedRing<Datagram> m_ring;
    std::atomic<bool> m_stopping {false};
    std::atomic<uint64_t> m_sentDatagrams {0};
    std::atomic<uint64_t> m_sentBytes {0};
    std::atomic<uint64_t> m_receivedDatagrams {0};
    std::atomic<uint64_t> m_receivedBytes {0};
    std::atomic<uint64_t> m_droppedDatagrams {0};
    std::thread m_thread;
};

} // namespace Jujube
