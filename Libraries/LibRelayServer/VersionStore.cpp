#include <LibRelayServer/VersionStore.h>

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <LibCore/Json.h>
#include <LibCore/JsonNumber.h>
#include <utility>

namespace Jujube
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

// The store sends at most 1 MB of a table at a time, in base64.
constexpr size_t MaxPageBytes = 2 << 20;
// A page has 500 rows, and each service has one.
constexpr int MaxPages = 20;
// Larger numbers are not exact in all JSON implementations. Times stay far below.
constexpr int64_t MaxNumber = int64_t {1} << 53;

std::string encodeVersions(const StoredVersions &stored, int64_t wallMs)
{
    auto versions = json::object();
    for (const auto &[version, age] : stored.versions) {
        versions[version] = age ? json(wallMs - age->count()) : json(nullptr);
    }
    // Zero stands for the first start.
    const auto since = stored.completeFor ? std::max<int64_t>(1, wallMs - stored.completeFor->count()) : 0;
    return json {{"versions", versions}, {"complete_since_ms", since}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<int64_t> timeOf(const json &value)
{
    const auto time = toWholeNumber(value);
    return time && *time >= 0 && *time <= MaxNumber ? time : std::nullopt;
}

// Times after the present one, which clocks that differ cause, count as the present one.
milliseconds since(int64_t timeMs, int64_t wallMs)
{
    return milliseconds(std::max<int64_t>(0, wallMs - timeMs));
}

std::optional<StoredVersions> decodeVersions(std::string_view value, int64_t wallMs)
{
    const auto object = parseJson(value);
    if (!object.ok() || !object->is_object()) {
        return std::nullopt;
    }
    const auto versions = object->find("versions");
    const auto completeSince = object->find("complete_since_ms");
    if (versions == object->end() || !versions->is_object() || completeSince == object->end()) {
        return std::nullopt;
    }
    const auto completeSinceMs = timeOf(*completeSince);
    if (!completeSinceMs) {
        return std::nullopt;
    }
    StoredVersions stored;
    if (*completeSinceMs > 0) {
        stored.completeFor = since(*completeSinceMs, wallMs);
    }
    for (const auto &[version, servedUntil] : versions->items()) {
        const auto servedUntilMs = timeOf(servedUntil);
        if (!servedUntilMs && !servedUntil.is_null()) {
            return std::nullopt;
        }
        stored.versions.emplace(version, servedUntilMs ? std::optional(since(*servedUntilMs, wallMs)) : std::nullopt);
    }
    return stored;
}

} // namespace

VersionStore::VersionStore(boost::asio::io_context &loop,
                           LoopClient &client,
                           const PlatformAdapter &adapter,
                           Endpoint store,
                           Options options,
                           Hooks hooks,
                           std::function<int64_t()> wallMs)
    : m_loop(loop)
    , m_client(client)
    , m_adapter(adapter)
    , m_store(std::move(store))
    , m_options(options)
    , m_hooks(std::move(hooks))
    , m_wallMs(std::move(wallMs))
{
}

void VersionStore::call(LoopCall call, LoopClient::AnswerHook onAnswer)
{
    ++m_calls;
    call.timeout = m_options.timeout;
    // Before the timeout, so that it is known that nothing was sent.
    call.connectTimeout = m_options.timeout / 2;
    // A copy of an earlier response on a kept connection would count as the response to this call.
    call.freshConnection = true;
    m_client.call(m_store, call, [lifetime = std::weak_ptr(m_lifetime), onAnswer = std::move(onAnswer)](const LoopAnswer &response) {
        if (!lifetime.expired()) {
            onAnswer(response);
        }
    });
}

void VersionStore::read()
{
    if (m_isReading) {
        return;
    }
    m_isReading = true;
    requestPage(std::make_shared<Read>());
}

void VersionStore::requestPage(const ReadPointer &read)
{
    ++read->pages;
    // The range includes its start key, so the next page starts at the last key with a byte appended.
    auto request = m_adapter.buildRowsCall(m_adapter.versionTable, read->rows.empty() ? std::string() : read->rows.back().key + '\x01');
    request.mostAnswerBytes = MaxPageBytes;
    call(std::move(request), [this, read](const LoopAnswer &response) { onPage(read, response); });
}

void VersionStore::onPage(const ReadPointer &read, const LoopAnswer &response)
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

void VersionStore::failRead(const std::string &error)
{
    m_isReading = false;
    m_hooks.onReadFailed(error);
}

void VersionStore::finishRead(const Read &read)
{
    m_isReading = false;
    const auto wallMs = m_wallMs();
    std::map<std::string, StoredVersions> services;
    for (const auto &row : read.rows) {
        if (row.removed) {
            continue;
        }
        if (auto stored = decodeVersions(row.value, wallMs)) {
            services.insert_or_assign(row.key, *std::move(stored));
        } else if (m_hooks.onUnreadable) {
            m_hooks.onUnreadable(row.key, "the row holds no versions");
        }
    }
    m_hooks.onRead(services);
}

void VersionStore::write(const std::string &service, const StoredVersions &versions)
{
    const auto [found, isNew] = m_writes.try_emplace(service, m_loop);
    auto &write = found->second;
    write.value = encodeVersions(versions, m_wallMs());
    write.isSent = false;
    if (isNew) {
        write.retryDelay = m_options.retryDelay;
        send(service);
    }
}

void VersionStore::send(const std::string &service)
{
    auto &write = m_writes.at(service);
    write.isSent = true;
    call(m_adapter.buildTransactionCall({.conditions = {}, .writes = {{.table = m_adapter.versionTable, .key = service, .value = write.value}}}),
         [this, service](const LoopAnswer &response) { onWriteResponse(service, response); });
}

void VersionStore::onWriteResponse(const std::string &service, const LoopAnswer &response)
{
    auto &write = m_writes.at(service);
    const auto result = m_adapter.decodeTransaction(response);
    if (result.kind != StoreTransactionResult::Kind::Done) {
        scheduleRetry(service, write);
        if (m_hooks.onWriteFailed) {
            m_hooks.onWriteFailed(service, result.error);
        }
    } else if (write.isSent) {
        m_writes.erase(service);
    } else {
        write.retryDelay = m_options.retryDelay;
        send(service);
    }
}

void VersionStore::scheduleRetry(const std::string &service, Write &write)
{
    write.timer.expires_after(write.retryDelay);
    write.retryDelay = std::min(2 * write.retryDelay, m_options.maxRetryDelay);
    write.timer.async_wait([this, lifetime = std::weak_ptr(m_lifetime), service](const LoopError &error) {
        if (!error && !lifetime.expired()) {
            send(service);
        }
    });
}

bool VersionStore::isWriting(const std::string &service) const
{
    return m_writes.contains(service);
}

int64_t VersionStore::calls() const
{
    return m_calls;
}

} // namespace Jujube
