#pragma once

#include <functional>
#include <LibCore/Time.h>
#include <LibLoop/LoopClient.h>
#include <LibRelay/VersionHistory.h>
#include <LibRelayServer/PlatformAdapter.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Jujube
{

// Reads and writes the versions of each service in the store, one row for each service, with times of the wall clock. Writes are unconditional, so that of
// several relays the last one counts; so does a write without a response that the store does late. Used on the loop's thread only. It may be destroyed while
// the loop goes on, but not within one of its hooks.
class VersionStore
{
public:
    struct Options {
        // Of each call. A connection must be made in half of it.
        std::chrono::milliseconds timeout {600};
        // Delay before a failed or unanswered write is repeated. Doubles with each further one up to the maximum.
        std::chrono::milliseconds retryDelay {200};
        std::chrono::milliseconds maxRetryDelay {2000};
    };

    struct Hooks {
        // The table has been read. Services whose row is missing or unreadable are left out.
        std::function<void(const std::map<std::string, StoredVersions> &versions)> onRead;
        std::function<void(const std::string &error)> onReadFailed;
        // A row cannot be decoded. Called before onRead, which does not tell such a service from one that has never been stored. May be left out.
        std::function<void(const std::string &service, const std::string &error)> onUnreadable;
        // A write has failed or had no usable response, and will be repeated. May be left out.
        std::function<void(const std::string &service, const std::string &error)> onWriteFailed;
    };

    // `wallMs` is the wall clock, in milliseconds since 1970.
    VersionStore(boost::asio::io_context &loop,
                 LoopClient &client,
                 const PlatformAdapter &adapter,
                 Endpoint store,
                 Options options,
                 Hooks hooks,
                 std::function<int64_t()> wallMs);

    // Reads the whole table. Does nothing while a read is in progress. A read that fails is not repeated.
    void read();

    // Stores the versions of a service, as of now. While an earlier write of it is in progress or waits to be repeated, only the newest versions are kept, and
    // written afterwards.
    void write(const std::string &service, const StoredVersions &versions);

    // Whether a write of the service is in progress or waits to be repeated.
    bool isWriting(const std::string &service) const;
    // Number of calls, for metrics.
    int64_t calls() const;

private:
    // A read of the table, page by page.
    struct Read {
        int pages = 0;
        std::vector<StoreRow> rows;
    };
    using ReadPointer = std::shared_ptr<Read>;

    // A write in progress, or one that waits to be repeated.
    struct Write {
        explicit Write(boost::asio::io_context &loop)
            : timer(loop)
        {
        }

        boost::asio::steady_timer timer;
        // The row's newest value, and whether the call in progress contains it.
        std::string value;
        bool isSent = false;
        // Delay before the next repetition.
        std::chrono::milliseconds retryDelay {0};
    };

    // The hook is not called any more after the store object was destroyed.
    void call(LoopCall call, LoopClient::AnswerHook onAnswer);
    void requestPage(const ReadPointer &read);
    void onPage(const ReadPointer &read, const LoopAnswer &response);
    void failRead(const std::string &error);
    void finishRead(const Read &read);
    void send(const std::string &service);
    void onWriteResponse(const std::string &service, const LoopAnswer &response);
    void scheduleRetry(const std::string &service, Write &write);

    boost::asio::io_context &m_loop;
    LoopClient &m_client;
    const PlatformAdapter &m_adapter;
    const Endpoint m_store;
    const Options m_options;
    const Hooks m_hooks;
    const std::function<int64_t()> m_wallMs;
    std::map<std::string, Write> m_writes;
    bool m_isReading = false;
    int64_t m_calls = 0;
    // Callbacks hold it weakly, and do nothing once it is gone.
    const std::shared_ptr<const bool> m_lifetime = std::make_shared<const bool>(true);
};

} // namespace Jujube
