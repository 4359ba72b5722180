#include <LibHttp/HttpClient.h>

#include <LibHttp/HttpTransfer.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <curl/curl.h>
#include <deque>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <unordered_map>
#include <vector>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

constexpr auto SilenceCheckInterval = 100ms;
constexpr long IdleConnections = 256;
constexpr size_t MaxKeptSockets = 4 * IdleConnections;

void initializeLibraryOnce()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

} // namespace

// Owns the thread and everything that only the thread touches. Other threads hand over commands through a queue and wake the thread with an eventfd.
class HttpClient::Worker
{
public:
    Worker();
    ~Worker();
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    StreamId open(HttpCall call, HttpStreamSink sink);
    void post(std::function<void()> command);
    void resume(StreamId id);
    void cancel(StreamId id);

private:
    static int onSocket(CURL *handle, curl_socket_t socket, int what, void *self, void *known);
    static int onTimer(CURLM *multi, long timeoutMs, void *self);

    void run();
    int waitMilliseconds() const;
    void runCommands();
    void handleReadySockets(int count, const std::array<epoll_event, 256> &ready);
    void runTimer();
    void collectFinished();
    // Whether nothing has arrived on a kept connection since its last response, and the other end has not closed it.
    bool mayReuse(const ConnectionName &connection) const;
    void keepSocketOf(const HttpTransfer &transfer);
    void endSilent();
    void endAll();
    // Takes the transfer off libcurl's list and reports its end.
    void remove(StreamId id, const std::function<void(HttpTransfer &)> &finish);

    CURLM *m_multi;
    int m_epoll;
    int m_wakeup;
    std::atomic<StreamId> m_nextId {1};
    std::atomic<bool> m_stopping {false};
    std::mutex m_commandMutex;
    std::deque<std::function<void()>> m_commands;
    std::unordered_map<StreamId, std::unique_ptr<HttpTransfer>> m_transfers;
    // The sockets of connections that libcurl may use again. It does not tell which of them it has closed.
    std::map<ConnectionName, int> m_keptSockets;
    std::optional<MonotonicTime> m_timerDue;
    MonotonicTime m_nextSilenceCheck;
    std::thread m_thread;
};

HttpClient::Worker::Worker()
    : m_multi(curl_multi_init())
    , m_epoll(epoll_create1(EPOLL_CLOEXEC))
    , m_wakeup(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &Worker::onSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &Worker::onTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, IdleConnections);
    epoll_event event {.events = EPOLLIN, .data = {.fd = m_wakeup}};
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wakeup, &event);
    m_thread = std::thread([this] { run(); });
}

HttpClient::Worker::~Worker()
{
    post([this] { m_stopping = true; });
    m_thread.join();
    curl_multi_cleanup(m_multi);
    close(m_wakeup);
    close(m_epoll);
}

HttpClient::StreamId HttpClient::Worker::open(HttpCall call, HttpStreamSink sink)
{
    const auto id = m_nextId++;
    // std::function needs a copyable callable, so the request is shared with the command.
    auto request = std::make_shared<std::pair<HttpCall, HttpStreamSink>>(std::move(call), std::move(sink));
    post([this, id, request] {
        auto transfer = std::make_unique<HttpTransfer>(
            id, std::move(request->first), std::move(request->second), [this](const ConnectionName &connection) { return mayReuse(connection); });
        curl_multi_add_handle(m_multi, transfer->handle());
        m_transfers.emplace(id, std::move(transfer));
    });
    return id;
}

void HttpClient::Worker::post(std::function<void()> command)
{
    {
        const std::lock_guard lock(m_commandMutex);
        m_commands.push_back(std::move(command));
    }
    const uint64_t one = 1;
    [[maybe_unused]] const auto written = write(m_wakeup, &one, sizeof(one));
}

void HttpClient::Worker::resume(StreamId id)
{
    post([this, id] {
        const auto found = m_transfers.find(id);
        if (found != m_transfers.end()) {
            found->second->resume(monotonicNow());
        }
    });
}

void HttpClient::Worker::cancel(StreamId id)
{
    post([this, id] { remove(id, [](HttpTransfer &transfer) { transfer.finish(HttpEnd::Cancelled, "cancelled"); }); });
}

int HttpClient::Worker::onSocket(CURL *, curl_socket_t socket, int what, void *self, void *known)
{
    auto &worker = *static_cast<Worker *>(self);
    if (what == CURL_POLL_REMOVE) {
        epoll_ctl(worker.m_epoll, EPOLL_CTL_DEL, socket, nullptr);
        return 0;
    }
    epoll_event event {.events = 0, .data = {.fd = socket}};
    if (what & CURL_POLL_IN) {
        event.events |= EPOLLIN;
    }
    if (what & CURL_POLL_OUT) {
        event.events |= EPOLLOUT;
    }
    const int operation = known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
    epoll_ctl(worker.m_epoll, operation, socket, &event);
    curl_multi_assign(worker.m_multi, socket, self);
    return 0;
}

int HttpClient::Worker::onTimer(CURLM *, long timeoutMs, void *self)
{
    auto &worker = *static_cast<Worker *>(self);
    if (timeoutMs < 0) {
        worker.m_timerDue.reset();
    } else {
        worker.m_timerDue = monotonicNow() + std::chrono::milliseconds(timeoutMs);
    }
    return 0;
}

void HttpClient::Worker::run()
{
    std::array<epoll_event, 256> ready {};
    m_nextSilenceCheck = monotonicNow() + SilenceCheckInterval;
    while (!m_stopping) {
        const int count = epoll_wait(m_epoll, ready.data(), static_cast<int>(ready.size()), waitMilliseconds());
        runCommands();
        handleReadySockets(count, ready);
        runTimer();
        collectFinished();
        endSilent();
    }
    endAll();
}

int HttpClient::Worker::waitMilliseconds() const
{
    auto due = m_nextSilenceCheck;
    if (m_timerDue && *m_timerDue < due) {
        due = *m_timerDue;
    }
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(due - monotonicNow());
    return static_cast<int>(std::max<int64_t>(0, left.count()));
}

void HttpClient::Worker::runCommands()
{
    std::deque<std::function<void()>> commands;
    {
        const std::lock_guard lock(m_commandMutex);
        commands.swap(m_commands);
    }
    for (const auto &command : commands) {
        command();
    }
}

void HttpClient::Worker::handleReadySockets(int count, const std::array<epoll_event, 256> &ready)
{
    for (int i = 0; i < count; ++i) {
        const auto &event = ready.at(static_cast<size_t>(i));
        if (event.data.fd == m_wakeup) {
            uint64_t value = 0;
            [[maybe_unused]] const auto got = read(m_wakeup, &value, sizeof(value));
            continue;
        }
        int what = 0;
        what |= (event.events & EPOLLIN) ? CURL_CSELECT_IN : 0;
        what |= (event.events & EPOLLOUT) ? CURL_CSELECT_OUT : 0;
        what |= (event.events & (EPOLLERR | EPOLLHUP)) ? CURL_CSELECT_ERR : 0;
        int running = 0;
        curl_multi_socket_action(m_multi, event.data.fd, what, &running);
    }
}

void HttpClient::Worker::runTimer()
{
    if (!m_timerDue || monotonicNow() < *m_timerDue) {
        return;
    }
    m_timerDue.reset();
    int running = 0;
    curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
}

void HttpClient::Worker::collectFinished()
{
    int left = 0;
    while (const auto *message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        const auto result = message->data.result;
        char *owner = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &owner);
        auto &finished = *reinterpret_cast<HttpTransfer *>(owner);
        const auto id = finished.id();
        if (finished.needsNewConnection()) {
            curl_multi_remove_handle(m_multi, finished.handle());
            curl_multi_add_handle(m_multi, finished.handle());
            continue;
        }
        keepSocketOf(finished);
        remove(id, [result](HttpTransfer &transfer) { transfer.finish(result); });
    }
}

bool HttpClient::Worker::mayReuse(const ConnectionName &connection) const
{
    const auto found = m_keptSockets.find(connection);
    if (found == m_keptSockets.end()) {
        return false;
    }
    char byte = 0;
    return recv(found->second, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpClient::Worker::keepSocketOf(const HttpTransfer &transfer)
{
    const auto connection = transfer.connection();
    if (!connection) {
        return;
    }
    if (m_keptSockets.size() >= MaxKeptSockets) {
        m_keptSockets.clear();
    }
    m_keptSockets.insert_or_assign(connection->first, connection->second);
}

void HttpClient::Worker::endSilent()
{
    const auto now = monotonicNow();
    if (now < m_nextSilenceCheck) {
        return;
    }
    m_nextSilenceCheck = now + SilenceCheckInterval;
    std::vector<StreamId> silent;
    for (const auto &[id, transfer] : m_transfers) {
        if (transfer->isSilent(now)) {
            silent.push_back(id);
        }
    }
    for (const auto id : silent) {
        remove(id, [](HttpTransfer &transfer) { transfer.finish(HttpEnd::Silent, "no byte arrived within the silence timeout"); });
    }
}

void HttpClient::Worker::endAll()
{
    while (!m_transfers.empty()) {
        remove(m_transfers.begin()->first, [](HttpTransfer &transfer) { transfer.finish(HttpEnd::Cancelled, "the client stops"); });
    }
}

void HttpClient::Worker::remove(StreamId id, const std::function<void(HttpTransfer &)> &finish)
{
    const auto found = m_transfers.find(id);
    if (found == m_transfers.end()) {
        return;
    }
    const auto transfer = std::move(found->second);
    m_transfers.erase(found);
    curl_multi_remove_handle(m_multi, transfer->handle());
    finish(*transfer);
}

HttpClient::HttpClient()
{
    initializeLibraryOnce();
    m_worker = std::make_unique<Worker>();
}

HttpClient::~HttpClient() = default;

HttpAnswer HttpClient::call(HttpCall call)
{
    std::promise<HttpAnswer> promise;
    auto future = promise.get_future();
    m_worker->open(std::move(call), {.onBytes = nullptr, .onEnd = [&promise](const HttpAnswer &answer) { promise.set_value(answer); }});
    return future.get();
}

HttpClient::StreamId HttpClient::open(HttpCall call, HttpStreamSink sink)
{
    return m_worker->open(std::move(call), std::move(sink));
}

void HttpClient::resume(StreamId id)
{
    m_worker->resume(id);
}

void HttpClient::cancel(StreamId id)
{
    m_worker->cancel(id);
}

} // namespace Jujube
