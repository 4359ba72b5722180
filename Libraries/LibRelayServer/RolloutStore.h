#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <functional>
#include <LibCore/Time.h>
#include <LibLoop/LoopClient.h>
#include <LibRelay/RolloutTypes.h>
#include <LibRelayServer/PlatformAdapter.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Jujube
{

// Reads the plans of roll-outs from the store, and stores a further step of a plan if no other relay has done so. It never repeats a write by itself: a write
// without a response is followed by a read, and the caller decides anew.
class RolloutStore
{
public:
    struct Options {
        // Of each call. A connection must be made in half of it.
        std::chrono::milliseconds timeout {600};
        // Delay before a plan is read back after a write without a usable response, and between two such reads. Doubles up to the maximum.
        std::chrono::milliseconds readBackDelay {100};
        std::chrono::milliseconds maxReadBackDelay {1000};
    };

    enum class WriteResult {
        Done,
        // Another relay has changed the plan.
        Conflict,
        // The store has not done it: nothing is in doubt.
        Rejected,
        // It may be done or not. The plans are read until that is known, the first time after Options::readBackDelay.
        Unknown,
    };

    struct Hooks {
        // All plans have been read, as of the time at which the read was sent off. `storeNowMs` is the store's steady clock.
        std::function<void(const std::vector<RolloutPlan> &plans, int64_t storeNowMs, MonotonicTime sentAt)> onPlans;
        std::function<void(const std::string &error)> onReadFailed;
        // A row cannot be decoded. Called once for each version of a row.
        std::function<void(const std::string &service, const std::string &error)> onUnreadable;
        // A write was rejected or has had no usable response, for logs. May be left out.
        std::function<void(const std::string &service, const std::string &error)> onWriteFailed;
    };
    using WriteHook = std::function<void(WriteResult result, const RolloutPlan &plan, int64_t storeNowMs)>;

    RolloutStore(boost::asio::io_context &loop, LoopClient &client, const PlatformAdapter &adapter, Endpoint store, Options options, Hooks hooks);

    // Reads all plans. Does nothing while a read is in progress. A read that fails is not repeated, unless the result of a write is in doubt.
    void read();

    // Stores a plan together with the status that the operator reads, on the condition that the plan's row still has the version plan.version. The hook gets
    // the plan with its new version, or after a conflict the current plan of the service, with version zero if its row is gone or unreadable, and otherwise the
    // plan as it was passed. A plan with version zero also replaces a row that was read and is unreadable. While a write of the service is in progress or in
    // doubt, the plan is rejected without a call.
    void write(const RolloutPlan &plan, WriteHook onResult);

    // Whether a write of the service has had no usable response and no read has succeeded that was sent off since.
    bool isInDoubt(const std::string &service) const;
    bool isWriting(const std::string &service) const;
    // Number of calls, for metrics.
    int64_t calls() const;

private:
    // A read of the table, page by page.
    struct Read {
        MonotonicTime sentAt;
        // The store's clock at the first page.
        int64_t storeNowMs = 0;
        int pages = 0;
        std::vector<StoreRow> rows;
    };
    using ReadPointer = std::shared_ptr<Read>;

    void call(LoopCall call, LoopClient::AnswerHook onAnswer);
    void requestPage(const ReadPointer &read);
    void onPage(const ReadPointer &read, const LoopAnswer &response);
    void failRead(const std::string &error);
    void finishRead(const Read &read);
    // The plan in a row. Nothing if it cannot be decoded, which is remembered and reported.
    std::optional<RolloutPlan> decodeRow(const StoreRow &row);
    void onWriteResponse(RolloutPlan plan, const WriteHook &onResult, const LoopAnswer &response);
    RolloutPlan currentPlan(const std::string &service, const std::vector<StoreRow> &rows);
    void noteFailure(const std::string &service, const std::string &error) const;
    void setInDoubt(const std::string &service);
    void scheduleReadBack();

    LoopClient &m_client;
    const PlatformAdapter &m_adapter;
    const Endpoint m_store;
    const Options m_options;
    const Hooks m_hooks;
    boost::asio::steady_timer m_timer;
    std::chrono::milliseconds m_readBackDelay {0};
    bool m_isReadBackScheduled = false;
    // Services whose last write has had no usable response, with the time at which its call ended.
    absl::flat_hash_map<std::string, MonotonicTime> m_inDoubt;
    // Services whose row cannot be decoded, with its version.
    absl::flat_hash_map<std::string, int64_t> m_unreadable;
    absl::flat_hash_set<std::string> m_writing;
    bool m_isReading = false;
    int64_t m_calls = 0;
};

} // namespace Jujube
