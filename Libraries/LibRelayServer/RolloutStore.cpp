#include <LibRelayServer/RolloutStore.h>

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <LibRelay/RolloutPlanCodec.h>
#include <utility>

namespace Jujube
{

namespace
{

// The store sends at most 1 MB of a table at a time, in base64.
constexpr size_t MaxPageBytes = 2 << 20;
// Of the response to a write, which has at most one row.
constexpr size_t MaxWriteResponseBytes = 256 << 10;
// A page has 500 rows, and each service has one.
constexpr int MaxPages = 20;

} // namespace

RolloutStore::RolloutStore(boost::asio::io_context &loop, LoopClient &client, const PlatformAdapter &adapter, Endpoint store, Options options, Hooks hooks)
    : m_client(client)
    , m_adapter(adapter)
    , m_store(std::move(store))
    , m_options(options)
    , m_hooks(std::move(hooks))
    , m_timer(loop)
{
}

void RolloutStore::call(LoopCall call, LoopClient::AnswerHook onAnswer)
{
    ++m_calls;
    call.timeout = m_options.timeout;
    // Before the timeout, so that it is known that nothing was sent.
    call.connectTimeout = m_options.timeout / 2;
    // A copy of an earlier response on a kept connection would count as the response to this call.
    call.freshConnection = true;
    m_client.call(m_store, call, std::move(onAnswer));
}

void RolloutStore::read()
{
    if (m_isReading) {
        return;
    }
    m_isReading = true;
    requestPage(std::make_shared<Read>(Read {.sentAt = monotonicNow()}));
}

void RolloutStore::requestPage(const ReadPointer &read)
{
    ++read->pages;
    // The range includes its start key, so the next page starts at the last key with a byte appended.
    auto request = m_adapter.buildRowsCall(m_adapter.rolloutTable, read->rows.empty() ? std::string() : read->rows.back().key + '\x01');
    request.mostAnswerBytes = MaxPageBytes;
    call(std::move(request), [this, read](const LoopAnswer &response) { onPage(read, response); });
}

void RolloutStore::onPage(const ReadPointer &read, const LoopAnswer &response)
{
    if (!response.isSuccess()) {
        failRead(response.error.empty() ? absl::StrCat("status ", response.status) : response.error);
        return;
    }
    auto page = m_adapter.decodeRows(response.body);
    if (!page.ok()) {
        failRead(std::string(page.status().message()));
        return;
    }
    if (read->pages == 1) {
        read->storeNowMs = page->storeNowMs;
    }
    const bool isEmpty = page->rows.empty();
    std::move(page->rows.begin(), page->rows.end(), std::back_inserter(read->rows));
    if (!page->hasMore) {
        finishRead(*read);
    } else if (isEmpty || read->pages >= MaxPages) {
        failRead("the table does not end");
    } else {
        requestPage(read);
    }
}

void RolloutStore::failRead(const std::string &error)
{
    m_isReading = false;
    scheduleReadBack();
    m_hooks.onReadFailed(error);
}

void RolloutStore::finishRead(const Read &read)
{
    m_isReading = false;
    absl::erase_if(m_inDoubt, [&](const auto &entry) { return entry.second <= read.sentAt; });
    scheduleReadBack();
    const auto isGone = [&](const auto &entry) { return std::ranges::find(read.rows, entry.first, &StoreRow::key) == read.rows.end(); };
    absl::erase_if(m_unreadable, isGone);
    std::vector<RolloutPlan> plans;
    for (const auto &row : read.rows) {
        if (auto plan = row.removed ? std::nullopt : decodeRow(row)) {
            plans.push_back(*std::move(plan));
        }
    }
    m_hooks.onPlans(plans, read.storeNowMs, read.sentAt);
}

std::optional<RolloutPlan> RolloutStore::decodeRow(const StoreRow &row)
{
    auto plan = decodeRolloutPlan(row.value);
    if (plan.ok() && plan->service == row.key) {
        m_unreadable.erase(row.key);
        plan->version = row.version;
        return *std::move(plan);
    }
    auto &known = m_unreadable[row.key];
    if (std::exchange(known, row.version) != row.version) {
        m_hooks.onUnreadable(row.key, plan.ok() ? "the plan is of another service" : std::string(plan.status().message()));
    }
    return std::nullopt;
}

void RolloutStore::write(const RolloutPlan &plan, WriteHook onResult)
{
    if (isWriting(plan.service) || isInDoubt(plan.service)) {
        boost::asio::post(m_timer.get_executor(), [plan, onResult = std::move(onResult)] { onResult(WriteResult::Rejected, plan, 0); });
        return;
    }
    m_writing.insert(plan.service);
    const auto unreadable = m_unreadable.find(plan.service);
    const auto replaced = plan.version == 0 && unreadable != m_unreadable.end() ? unreadable->second : plan.version;
    auto request = m_adapter.buildTransactionCall(
        {.conditions = {{.table = m_adapter.rolloutTable, .key = plan.service, .version = replaced}},
         .writes = {{.table = m_adapter.rolloutTable, .key = plan.service, .value = encodeRolloutPlan(plan)}, m_adapter.encodeRolloutStatus(plan)}});
    request.mostAnswerBytes = MaxWriteResponseBytes;
    call(std::move(request), [this, plan, onResult = std::move(onResult)](const LoopAnswer &response) { onWriteResponse(plan, onResult, response); });
}

void RolloutStore::onWriteResponse(RolloutPlan plan, const WriteHook &onResult, const LoopAnswer &response)
{
    m_writing.erase(plan.service);
    const auto result = m_adapter.decodeTransaction(response);
    switch (result.kind) {
    case StoreTransactionResult::Kind::Done:
        m_unreadable.erase(plan.service);
        plan.version = result.version;
        onResult(WriteResult::Done, plan, result.storeNowMs);
        return;
    case StoreTransactionResult::Kind::Conflict:
        onResult(WriteResult::Conflict, currentPlan(plan.service, result.rows), result.storeNowMs);
        return;
    case StoreTransactionResult::Kind::Rejected:
        noteFailure(plan.service, result.error);
        onResult(WriteResult::Rejected, plan, 0);
        return;
    case StoreTransactionResult::Kind::Unknown:
        break;
    }
    setInDoubt(plan.service);
    noteFailure(plan.service, result.error);
    onResult(WriteResult::Unknown, plan, 0);
}

RolloutPlan RolloutStore::currentPlan(const std::string &service, const std::vector<StoreRow> &rows)
{
    const auto row = std::find_if(rows.begin(), rows.end(), [&](const auto &candidate) { return candidate.key == service && !candidate.removed; });
    if (row == rows.end()) {
        m_unreadable.erase(service);
        return {.service = service};
    }
    return decodeRow(*row).value_or(RolloutPlan {.service = service});
}

void RolloutStore::noteFailure(const std::string &service, const std::string &error) const
{
    if (m_hooks.onWriteFailed) {
        m_hooks.onWriteFailed(service, error);
    }
}

void RolloutStore::setInDoubt(const std::string &service)
{
    if (m_inDoubt.empty()) {
        m_readBackDelay = m_options.readBackDelay;
    }
    m_inDoubt[service] = monotonicNow();
    scheduleReadBack();
}

void RolloutStore::scheduleReadBack()
{
    if (m_inDoubt.empty() || m_isReading || m_isReadBackScheduled) {
        return;
    }
    m_isReadBackScheduled = true;
    m_timer.expires_after(m_readBackDelay);
    m_readBackDelay = std::min(2 * m_readBackDelay, m_options.maxReadBackDelay);
    m_timer.async_wait([this](const LoopError &error) {
        if (error) {
            return;
        }
        m_isReadBackScheduled = false;
        if (!m_inDoubt.empty()) {
            read();
        }
    });
}

bool RolloutStore::isInDoubt(const std::string &service) const
{
    return m_inDoubt.contains(service);
}

bool RolloutStore::isWriting(const std::string &service) const
{
    return m_writing.contains(service);
}

int64_t RolloutStore::calls() const
{
    return m_calls;
}

} // namespace Jujube
