#include <LibRelayServer/TableFollower.h>

#include <algorithm>

namespace Jujube
{

namespace
{

// Number of relays up to which the maximum delay after failed reads is not increased.
constexpr int RelaysForMaxRetryDelay = 10;

} // namespace

TableFollower::TableFollower(boost::asio::io_context &loop, LoopClient &client, const PlatformAdapter &adapter, Endpoint store, Options options, Hooks hooks)
    : m_client(client)
    , m_adapter(adapter)
    , m_store(std::move(store))
    , m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_timer(loop)
    , m_retryDelay(m_options.retryDelay)
{
}

void TableFollower::start()
{
    m_currentAt = monotonicNow();
    startRead();
}

void TableFollower::readNow()
{
    if (m_isReadingNow) {
        return;
    }
    m_isReadingNow = true;
    m_freshConnection = true;
    startRead();
}

void TableFollower::startRead()
{
    ++m_readNumber;
    m_timer.cancel();
    if (m_needsTable) {
        m_pages.clear();
        readTable({});
    } else {
        readChanges();
    }
}

void TableFollower::schedule(std::chrono::milliseconds delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this](const LoopError &error) {
        if (error) {
            return;
        }
        if (!m_needsTable && !m_failingSince && !m_options.shouldRead(monotonicNow())) {
            schedule(m_options.idleInterval);
            return;
        }
        startRead();
    });
}

void TableFollower::noteCurrent(int64_t version, std::chrono::milliseconds age, MonotonicTime now)
{
    m_version = std::max(m_version, version);
    m_currentAt = std::max(m_currentAt, now - age);
}

void TableFollower::readTable(const std::string &fromKey)
{
    auto call = m_adapter.buildRowsCall(m_options.table, fromKey);
    call.timeout = m_options.responseTimeout;
    call.freshConnection = std::exchange(m_freshConnection, false);
    m_client.call(m_store, call, [this, read = m_readNumber](const LoopAnswer &response) {
        if (read == m_readNumber) {
            onRows(response, true, monotonicNow());
        }
    });
}

void TableFollower::readChanges()
{
    auto call = m_adapter.buildChangesCall(m_options.table, m_version, m_options.wait);
    call.timeout = m_options.wait + m_options.responseTimeout;
    call.freshConnection = std::exchange(m_freshConnection, false);
    m_client.call(m_store, call, [this, read = m_readNumber](const LoopAnswer &response) {
        if (read == m_readNumber) {
            onRows(response, false, monotonicNow());
        }
    });
}

void TableFollower::onRows(const LoopAnswer &response, bool isWholeTable, MonotonicTime now)
{
    if (!isWholeTable && response.end == ChannelEnd::Complete && response.status == m_adapter.changesUnavailableStatus) {
        m_needsTable = true;
        onSuccess(now);
        startRead();
        return;
    }
    if (!response.isSuccess()) {
        onFailure(response.error.empty() ? "status " + std::to_string(response.status) : response.error, now);
        return;
    }
    auto rows = m_adapter.decodeRows(response.body);
    if (!rows.ok()) {
        onFailure(std::string(rows.status().message()), now);
        return;
    }
    m_source.clear();
    if (!isWholeTable) {
        onSuccess(now);
        applyChanges(*rows, now);
        schedule(m_options.changesDelay);
        return;
    }
    std::move(rows->rows.begin(), rows->rows.end(), std::back_inserter(m_pages));
    if (rows->hasMore && !m_pages.empty()) {
        // The range includes its start key, so the next page starts at the last key with a byte appended.
        readTable(m_pages.back().key + '\x01');
        return;
    }
    onSuccess(now);
    applyTable({.rows = std::exchange(m_pages, {}), .version = rows->version}, now);
    schedule(m_options.changesDelay);
}

void TableFollower::applyTable(const StoreRows &rows, MonotonicTime now)
{
    m_rows.clear();
    for (const auto &row : rows.rows) {
        m_rows[row.key] = row;
    }
    m_version = rows.version;
    for (const auto &row : rows.rows) {
        m_changeVersion = std::max(m_changeVersion, row.version);
    }
    m_hasRows = true;
    m_needsTable = false;
    m_currentAt = now;
    m_hooks.onTable(rows.rows, m_afterOutage);
    m_afterOutage = false;
}

void TableFollower::applyChanges(const StoreRows &rows, MonotonicTime now)
{
    for (const auto &row : rows.rows) {
        if (row.removed) {
            m_rows.erase(row.key);
        } else {
            m_rows[row.key] = row;
        }
        m_changeVersion = std::max(m_changeVersion, row.version);
        m_hooks.onChange(row, m_afterOutage);
    }
    m_version = std::max(m_version, rows.version);
    m_currentAt = now;
    m_afterOutage = false;
}

void TableFollower::onFailure(const std::string &error, MonotonicTime now)
{
    if (!m_failingSince) {
        m_failingSince = now;
    }
    if (!m_isUnavailable && now - *m_failingSince >= m_options.outageThreshold) {
        m_isUnavailable = true;
        m_hooks.onUnavailable(error);
    }
    m_isReadingNow = false;
    m_freshConnection = true;
    m_pages.clear();
    schedule(m_retryDelay);
    const auto maxDelay = m_options.maxRetryDelay * std::max(1, m_options.liveRelays() / RelaysForMaxRetryDelay);
    m_retryDelay = std::min(2 * m_retryDelay, maxDelay);
}

void TableFollower::onSuccess(MonotonicTime now)
{
    if (m_readAt && !m_failingSince) {
        // Smoothed, so that one slow read has little effect.
        constexpr int SmoothedReads = 4;
        m_readInterval += (now - *m_readAt - m_readInterval) / SmoothedReads;
    }
    m_readAt = now;
    m_isReadingNow = false;
    m_retryDelay = m_options.retryDelay;
    const auto failingSince = std::exchange(m_failingSince, std::nullopt);
    m_afterOutage = m_afterOutage || failingSince;
    if (std::exchange(m_isUnavailable, false) && failingSince) {
        m_hooks.onAvailable(std::chrono::duration_cast<std::chrono::milliseconds>(now - *failingSince));
    }
}

bool TableFollower::replaceIfNewer(const StoreRows &rows, const std::string &peer, MonotonicTime now)
{
    if (rows.version <= m_version) {
        return false;
    }
    m_source = peer;
    const bool wasFailing = m_failingSince.has_value();
    applyTable(rows, now);
    m_changeVersion = std::max(m_changeVersion, rows.changeVersion);
    // The next read of the store requests the changes since then.
    m_afterOutage = wasFailing;
    return true;
}

StoreRows TableFollower::snapshot() const
{
    StoreRows result {.version = m_version, .changeVersion = m_changeVersion};
    result.rows.reserve(m_rows.size());
    for (const auto &[key, row] : m_rows) {
        result.rows.push_back(row);
    }
    return result;
}

std::chrono::milliseconds TableFollower::age(MonotonicTime now) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - m_currentAt);
}

} // namespace Jujube
