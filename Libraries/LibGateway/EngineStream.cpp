#include <LibGateway/EngineStream.h>

#include <atomic>

namespace Jujube
{

namespace
{

constexpr size_t RingCapacity = 64;

constexpr int OkStatus = 200;
constexpr int NotFoundStatus = 404;
constexpr int TooManyRequestsStatus = 429;
constexpr int UnavailableStatus = 503;

} // namespace

struct EngineStream::Shared {
    BoundedRing<Piece> ring {RingCapacity};
    std::atomic<bool> paused {false};
};

EngineStreamEnd engineStreamEndOf(const HttpAnswer &response)
{
    switch (response.end) {
    case HttpEnd::NotSent:
        return response.refused ? EngineStreamEnd::Refused : EngineStreamEnd::Unreachable;
    case HttpEnd::Silent:
        return EngineStreamEnd::Silent;
    case HttpEnd::Broken:
    case HttpEnd::TimedOut:
    case HttpEnd::Cancelled:
        return EngineStreamEnd::Broken;
    case HttpEnd::Complete:
        break;
    }
    switch (response.status) {
    case OkStatus:
        return EngineStreamEnd::Closed;
    case NotFoundStatus:
        return EngineStreamEnd::NotFound;
    case TooManyRequestsStatus:
    case UnavailableStatus:
        return EngineStreamEnd::Busy;
    default:
        return EngineStreamEnd::Rejected;
    }
}

EngineStream::EngineStream(HttpClient &client, HttpCall call)
    : m_client(client)
    , m_shared(std::make_shared<Shared>())
{
    const auto onBytes = [shared = m_shared](int status, std::string_view bytes) {
        if (status != OkStatus) {
            // The body of an error response is ignored.
            return true;
        }
        if (shared->ring.tryPush(std::string(bytes))) {
            return true;
        }
        shared->paused = true;
        return false;
    };
    const auto onEnd = [shared = m_shared](const HttpAnswer &response) { shared->ring.pushLast(engineStreamEndOf(response)); };
    m_id = m_client.open(std::move(call), {.onBytes = onBytes, .onEnd = onEnd});
}

EngineStream::~EngineStream()
{
    m_client.cancel(m_id);
}

std::optional<EngineStream::Piece> EngineStream::next(std::chrono::milliseconds timeout)
{
    auto piece = m_shared->ring.popFor(timeout);
    if (m_shared->ring.size() < RingCapacity / 2 && m_shared->paused.exchange(false)) {
        m_client.resume(m_id);
    }
    return piece;
}

} // namespace Jujube
