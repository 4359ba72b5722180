#include <LibRelayServer/TableFollower.h>

#include <algorithm>

namespace Jujube
{

namespace
{

// Number of relays up to which the longest pause after failed reads holds.
constexpr int RelaysForLongestPause = 10;

} // namespace

TableFollower::TableFollower(boost::asio::io_context &loop, LoopClient &client, const RelayDialect &dialect, Endpoint store, Options options, Hooks hooks)
    : m_client(client)
    , m_dialect(dialect)
    , m_store(std::move(store))
    , m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_timer(loop)
    , m_retryPause(m_options.retryPause)
{
}

void TableFollower::start()
{
    m_currentAt = monotonicNow();
    next();
}

void TableFollower::hurry()
{
    if (m_hurrying) {
        return;
    }
    m_hurrying = true;
    m_freshConnection = true;
    next();
}

void TableFollower::next()
{
    ++m_read;
    m_timer.cancel();
    if (m_needsWhole) {
        m_pages.clear();
        readWhole({});
    } else {
        readChanges();
    }
}

void TableFollower::schedule(std::chrono::milliseconds pause)
{
    m_timer.expires_after(pause);
    m_timer.async_wait([this](const LoopError &error) {
        if (error) {
            return;
        }
        if (!m_needsWhole && !m_failingSince && !m_options.mayRead(monotonicNow())) {
            schedule(m_options.idlePause);
            return;
        }
        next();
    });
}

void TableFollower::noteCurrent(int64_t version, std::chrono::milliseconds age, MonotonicTime now)
{
    m_version = std::max(m_version, version);
    m_currentAt = std::max(m_currentAt, now - age);
}

void TableFollower::readWhole(const std::string &fromKey)
{
    auto call = m_dialect.rowsCall(m_options.table, fromKey);
    call.timeout = m_options.answerTimeout;
    call.freshConnection = std::exchange(m_freshConnection, false);
    m_client.call(m_store, call, [this, read = m_read](const LoopAnswer &answer) {
        if (read == m_read) {
            onRows(answer, true, monotonicNow());
        }
    });
}

void TableFollower::readChanges()
{
    auto call = m_dialect.changesCall(m_options.table, m_version, m_options.wait);
    call.timeout = m_options.wait + m_options.answerTimeout;
    call.freshConnection = std::exchange(m_freshConnection, false);
    m_client.call(m_store, call, [this, read = m_read](const LoopAnswer &answer) {
        if (read == m_read) {
            onRows(answer, false, monotonicNow());
        }
    });
}

void TableFollower::onRows(const LoopAnswer &answer, bool whole, MonotonicTime now)
{
    if (!whole && answer.end == ChannelEnd::Complete && answer.status == m_dialect.historyGoneStatus) {
        m_needsWhole = true;
        onSuccess(now);
        next();
        return;
    }
    if (!answer.isSuccess()) {
        onFailure(answer.error.empty() ? "status " + std::to_string(answer.status) : answer.error, now);
        return;
    }
    auto rows = m_dialect.decodeRows(answer.body);
    if (!rows.ok()) {
        onFailure(std::string(rows.status().message()), now);
        return;
    }
    if (!whole) {
        onSuccess(now);
        takeChanges(*rows, now);
        schedule(m_options.pause);
        return;
    }
    std::move(rows->rows.begin(), rows->rows.end(), std::back_inserter(m_pages));
    if (rows->hasMore && !m_pages.empty()) {
        // The range begins with its first key, so the next one is the last key with a byte behind it.
        readWhole(m_pages.back().key + '\x01');
        return;
    }
    onSuccess(now);
    takeWhole({.rows = std::exchange(m_pages, {}), .version = rows->version}, now);
    schedule(m_options.pause);
}

void TableFollower::takeWhole(const StoreRows &rows, MonotonicTime now)
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
    m_needsWhole = false;
    m_currentAt = now;
    m_hooks.onTable(rows.rows, m_afterOutage);
    m_afterOutage = false;
}

void TableFollower::takeChanges(const StoreRows &rows, MonotonicTime now)
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
    if (!m_lost && now - *m_failingSince >= m_options.outageTime) {
        m_lost = true;
        m_hooks.onLost(error);
    }
    m_hurrying = false;
    m_freshConnection = true;
    m_pages.clear();
    schedule(m_retryPause);
    const auto longest = m_options.longestRetryPause * std::max(1, m_options.liveRelays() / RelaysForLongestPause);
    m_retryPause = std::min(2 * m_retryPause, longest);
}

void TableFollower::onSuccess(MonotonicTime now)
{
    if (m_readAt && !m_failingSince) {
        // Smoothed, so that one slow read changes little.
        constexpr int SmoothedReads = 4;
        m_readInterval += (now - *m_readAt - m_readInterval) / SmoothedReads;
    }
    m_readAt = now;
    m_hurrying = false;
    m_retryPause = m_options.retryPause;
    const auto failingSince = std::exchange(m_failingSince, std::nullopt);
    m_afterOutage = m_afterOutage || failingSince;
    if (std::exchange(m_lost, false) && failingSince) {
        m_hooks.onRegained(std::chrono::duration_cast<std::chrono::milliseconds>(now - *failingSince));
    }
}

bool TableFollower::offer(const StoreRows &rows, MonotonicTime now)
{
    if (rows.version <= m_version) {
        return false;
    }
    const bool wasFailing = m_failingSince.has_value();
    takeWhole(rows, now);
    m_changeVersion = std::max(m_changeVersion, rows.changeVersion);
    // The next read of the store asks for what has changed since.
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
