#include <LibRelayServer/TableFollower.h>

#include <absl/container/flat_hash_set.h>
#include <algorithm>

namespace Jujube
{

namespace
{

// Number of relays up to which the maximum delay after failed reads is not increased.
constexpr int RelaysForMaxRetryDelay = 10;
// The store may hold a read only while the rows are known to be newer than this. A held read tells nothing until it ends.
constexpr std::chrono::milliseconds MaxAgeForHeldRead {300};
// Age of rows that have never been confirmed.
constexpr std::chrono::hours AgeOfUnknownRows {1};
// Maximum delay after failed reads in large fleets. Whoever waits for longer may miss a change after the store has returned.
constexpr std::chrono::milliseconds MaxRetryDelayOfLargeFleets {2000};
// Number of removed rows that are kept.
constexpr size_t MaxRemovedRows = 1000;
// The store sends at most 1 MB of a table at a time.
constexpr size_t MaxResponseBytes = 4 << 20;
constexpr size_t MaxRows = 50000;

} // namespace

TableFollower::TableFollower(boost::asio::io_context &loop, LoopClient &client, const PlatformAdapter &adapter, Endpoint store, Options options, Hooks hooks)
    : m_client(client)
    , m_adapter(adapter)
    , m_store(std::move(store))
    , m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_timer(loop)
    , m_catchUpTimer(loop)
    , m_retryDelay(m_options.retryDelay)
    , m_hedgeDelay(m_options.hedgeDelay)
{
}

void TableFollower::start()
{
    m_currentAt = monotonicNow() - AgeOfUnknownRows;
    startRead({});
}

void TableFollower::check(MonotonicTime now)
{
    if (age(now) < m_options.maxAge(now)) {
        m_hedgeDelay = m_options.hedgeDelay;
        return;
    }
    if (m_options.awaitsPeers && m_options.awaitsPeers(now)) {
        return;
    }
    const bool isWaiting = isWaitingForResponse();
    if (m_isRetryScheduled || (isWaiting && now - *m_readActiveAt < m_hedgeDelay)) {
        return;
    }
    if (isWaiting) {
        m_hedgeDelay = std::min(2 * m_hedgeDelay, std::max(m_options.hedgeDelay, maxRetryDelay()));
        recordFailure("no response", *m_readActiveAt, now);
    }
    startRead({});
}

void TableFollower::readNow()
{
    if (!m_readActiveAt || m_isReadHeld) {
        startRead({});
    }
    m_ignoresPeersUntilRead = m_readNumber;
}

void TableFollower::onSuspended(std::chrono::nanoseconds time)
{
    const auto suspended = std::chrono::duration_cast<MonotonicTime::duration>(time);
    m_suspended += suspended;
    m_currentAt -= suspended;
    if (m_readCurrentAt) {
        *m_readCurrentAt -= suspended;
    }
    // The response to a read in progress may have been sent before the suspension.
    startRead({});
    m_ignoresPeersUntilRead = m_readNumber;
}

MonotonicTime TableFollower::sendTimeOf(const Read &read) const
{
    return read.sentAt - (m_suspended - read.suspended);
}

void TableFollower::readTable()
{
    m_needsTable = true;
    startRead({});
}

void TableFollower::readSoon(std::chrono::milliseconds delay)
{
    if (m_isCatchingUp) {
        return;
    }
    m_isCatchingUp = true;
    m_catchUpTimer.expires_after(delay);
    m_catchUpTimer.async_wait([this](const LoopError &error) {
        if (error) {
            return;
        }
        if (isWaitingForResponse()) {
            m_isCatchingUp = false;
        } else {
            startRead({});
        }
    });
}

void TableFollower::startRead(std::chrono::milliseconds hold)
{
    const auto read = std::make_shared<Read>(
        Read {.number = ++m_readNumber, .sentAt = monotonicNow(), .suspended = m_suspended, .hold = hold, .isOfWholeTable = m_needsTable, .era = m_era});
    m_timer.cancel();
    m_isRetryScheduled = false;
    m_readActiveAt = read->sentAt;
    m_partsReceived = 0;
    m_isReadHeld = !m_needsTable && hold.count() > 0;
    if (m_needsTable) {
        requestPage(read);
    } else {
        requestChanges(read);
    }
}

void TableFollower::schedule(std::chrono::milliseconds delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this](const LoopError &error) {
        if (error) {
            return;
        }
        const auto now = monotonicNow();
        const bool isOld = age(now) >= m_options.maxAge(now);
        const bool awaitsPeers = m_options.awaitsPeers && m_options.awaitsPeers(now);
        if (awaitsPeers || (!m_needsTable && !isOld && !m_options.shouldRead(now))) {
            m_isRetryScheduled = false;
            schedule(m_options.idleInterval);
            return;
        }
        startRead(age(now) < MaxAgeForHeldRead ? m_options.wait : std::chrono::milliseconds {0});
    });
}

void TableFollower::request(const ReadPointer &read, LoopCall call)
{
    call.timeout = read->hold + m_options.responseTimeout;
    call.mostAnswerBytes = MaxResponseBytes;
    // A copy of an earlier response on a kept connection would confirm rows as of a later request.
    call.freshConnection = true;
    call.onProgress = [this, read] {
        if (read->number != m_readNumber) {
            return;
        }
        m_readActiveAt = monotonicNow();
        m_isReadHeld = false;
        if (++m_partsReceived == 2 && m_hooks.onReceiving) {
            m_hooks.onReceiving();
        }
    };
    call.isWanted = [this] { return !isReceiving() || !m_options.leavesReadToPeers || !m_options.leavesReadToPeers(monotonicNow()); };
    m_client.call(m_store, call, [this, read](const LoopAnswer &response) { onResponse(read, response, monotonicNow()); });
}

void TableFollower::requestPage(const ReadPointer &read)
{
    // The range includes its start key, so the next page starts at the last key with a byte appended.
    request(read, m_adapter.buildRowsCall(m_options.table, read->rows.empty() ? std::string() : read->rows.back().key + '\x01'));
}

void TableFollower::requestChanges(const ReadPointer &read)
{
    request(read, m_adapter.buildChangesCall(m_options.table, m_version, read->hold));
}

void TableFollower::enterEra(int64_t era)
{
    if (era <= m_era) {
        return;
    }
    // Before the first response of the store, or of a peer, nothing is known that could be of an earlier era.
    const bool isRestore = m_hasRows || m_era > 0;
    m_era = era;
    if (!isRestore) {
        return;
    }
    m_awaitsFirstTable = true;
    m_needsTable = true;
    m_version = 0;
    m_changeVersion = 0;
    m_historyFrom = 0;
    m_readCurrentAt.reset();
    std::erase_if(m_rows, [](const auto &entry) { return entry.second.removed; });
    for (auto &[key, row] : m_rows) {
        row.version = 0;
    }
    if (m_hooks.onEra) {
        m_hooks.onEra(era);
    }
}

bool TableFollower::acceptEra(const ReadPointer &read, const LoopAnswer &response, MonotonicTime now)
{
    const auto era = m_adapter.decodeEra(response).value_or(read->era);
    if (era < m_era) {
        onFailure(*read, "response of an earlier era", now);
        return false;
    }
    enterEra(era);
    if (read->isOfWholeTable && read->rows.empty()) {
        read->era = m_era;
    }
    return read->era == m_era;
}

void TableFollower::leaveRead()
{
    m_readActiveAt.reset();
    m_isCatchingUp = false;
    schedule(m_options.idleInterval);
}

void TableFollower::onResponse(const ReadPointer &read, const LoopAnswer &response, MonotonicTime now)
{
    if (response.isUnwanted) {
        if (read->number == m_readNumber) {
            leaveRead();
        }
        return;
    }
    if (response.end == ChannelEnd::Complete && !acceptEra(read, response, now)) {
        // Neither changes since a version of another era nor pages of two eras say what is in the table.
        if (read->number == m_readNumber && !m_isRetryScheduled) {
            startRead({});
        }
        return;
    }
    if (!read->isOfWholeTable && response.end == ChannelEnd::Complete && response.status == m_adapter.changesUnavailableStatus) {
        if (read->number == m_readNumber) {
            m_needsTable = true;
            onSuccess(*read, now);
            startRead({});
        }
        return;
    }
    if (!read->isOfWholeTable && response.isTooLong) {
        // The store sends all changes in one response, and the whole table in pages.
        if (read->number == m_readNumber) {
            m_needsTable = true;
            startRead({});
        }
        return;
    }
    if (!response.isSuccess()) {
        onFailure(*read, response.error.empty() ? "status " + std::to_string(response.status) : response.error, now);
        return;
    }
    auto rows = m_adapter.decodeRows(response.body);
    if (!rows.ok()) {
        onFailure(*read, std::string(rows.status().message()), now);
        return;
    }
    if (read->isOfWholeTable) {
        onTablePage(read, *std::move(rows), now);
    } else {
        onChanges(*read, *rows, now);
    }
}

void TableFollower::onTablePage(const ReadPointer &read, StoreRows page, MonotonicTime now)
{
    std::move(page.rows.begin(), page.rows.end(), std::back_inserter(read->rows));
    if (read->rows.size() > MaxRows) {
        onFailure(*read, "too many rows", now);
        return;
    }
    // The changes since the first page are read later, because they may affect rows of any page.
    read->version = read->version.value_or(page.version);
    if (page.hasMore && !read->rows.empty()) {
        requestPage(read);
        return;
    }
    if (m_hasRows && *read->version < m_historyFrom) {
        // It confirms nothing: newer rows have arrived in the meantime, or the store has lost them without stating a later era.
        onFailure(*read, "table of an older version", now);
        return;
    }
    m_source.clear();
    onSuccess(*read, now);
    mergeTable({.rows = std::exchange(read->rows, {}), .version = *read->version, .era = m_era}, read->sentAt);
    confirmByRead(sendTimeOf(*read));
    onReadEnded(*read);
}

void TableFollower::onChanges(const Read &read, const StoreRows &changes, MonotonicTime now)
{
    m_source.clear();
    onSuccess(read, now);
    mergeChanges(changes, {.afterOutage = m_afterOutage, .sentAt = read.sentAt});
    m_afterOutage = false;
    if (changes.hasMore) {
        if (read.number == m_readNumber) {
            startRead({});
        }
        return;
    }
    // A read without changes ended when the store had held it for the whole time.
    const bool wasHeldToTheEnd = changes.rows.empty() && now - read.sentAt >= read.hold;
    confirmByRead(sendTimeOf(read) + (wasHeldToTheEnd ? read.hold : std::chrono::milliseconds(0)));
    onReadEnded(read);
}

void TableFollower::onReadEnded(const Read &read)
{
    if (read.number == m_readNumber) {
        m_readActiveAt.reset();
        m_isCatchingUp = false;
        schedule(m_options.changesDelay);
    }
}

bool TableFollower::mergeRow(const StoreRow &row)
{
    // A row that is unknown and older than a complete table has been removed.
    const auto known = m_rows.find(row.key);
    if (row.version <= (known == m_rows.end() ? m_historyFrom : known->second.version)) {
        return false;
    }
    m_rows[row.key] = row;
    m_changeVersion = std::max(m_changeVersion, row.version);
    return true;
}

void TableFollower::mergeChanges(const StoreRows &changes, const ReadContext &context)
{
    for (const auto &row : changes.rows) {
        if (mergeRow(row)) {
            m_hooks.onChange(row, context);
        }
    }
    m_version = std::max(m_version, changes.version);
    forgetRemovedRows();
}

void TableFollower::mergeTable(const StoreRows &rows, std::optional<MonotonicTime> sentAt)
{
    const ReadContext context {.afterOutage = m_afterOutage || m_awaitsFirstTable, .afterRestore = m_awaitsFirstTable, .sentAt = sentAt};
    absl::flat_hash_set<std::string> listed;
    for (const auto &row : rows.rows) {
        listed.insert(row.key);
        if (mergeRow(row)) {
            m_hooks.onChange(row, context);
        }
    }
    std::vector<StoreRow> removed;
    for (const auto &[key, row] : m_rows) {
        if (!row.removed && !listed.contains(key) && row.version < rows.version) {
            removed.push_back({.key = key, .version = rows.version, .removed = true});
        }
    }
    for (const auto &row : removed) {
        mergeRow(row);
        m_hooks.onChange(row, context);
    }
    m_version = std::max(m_version, rows.version);
    m_historyFrom = std::max(m_historyFrom, rows.version);
    m_hasRows = true;
    m_needsTable = false;
    m_awaitsFirstTable = false;
    forgetRemovedRows();
    m_hooks.onTable(rows, context);
    m_afterOutage = false;
}

void TableFollower::forgetRemovedRows()
{
    std::vector<int64_t> versions;
    for (const auto &[key, row] : m_rows) {
        if (row.removed) {
            versions.push_back(row.version);
        }
    }
    if (versions.size() <= MaxRemovedRows) {
        return;
    }
    const auto middle = versions.begin() + static_cast<ptrdiff_t>(versions.size() / 2);
    std::nth_element(versions.begin(), middle, versions.end());
    const int64_t oldestKept = *middle;
    std::erase_if(m_rows, [&](const auto &entry) { return entry.second.removed && entry.second.version < oldestKept; });
    m_historyFrom = std::max(m_historyFrom, oldestKept - 1);
}

void TableFollower::confirm(MonotonicTime currentAt)
{
    m_currentAt = std::max(m_currentAt, currentAt);
}

void TableFollower::confirmByRead(MonotonicTime currentAt)
{
    confirm(currentAt);
    m_readCurrentAt = std::max(m_readCurrentAt.value_or(currentAt), currentAt);
}

void TableFollower::noteState(const TableState &peer, MonotonicTime now)
{
    if (peer.era != m_era || !peer.age || std::max(peer.changeVersion, peer.historyFrom) > m_version) {
        return;
    }
    noteCurrent(peer.era, peer.version, *peer.age, now);
}

void TableFollower::noteCurrent(int64_t era, int64_t version, std::chrono::milliseconds age, MonotonicTime now)
{
    if (!m_hasRows || m_ignoresPeersUntilRead || era != m_era) {
        return;
    }
    m_version = std::max(m_version, version);
    confirm(now - age);
    if (m_failingSince && !m_options.isReading() && this->age(now) < m_options.maxAge(now)) {
        endFailure(now);
    }
}

bool TableFollower::merge(const TableChanges &changes, const std::string &peer, std::optional<MonotonicTime> currentAt)
{
    const auto &rows = changes.rows;
    const bool mayBeMerged = changes.isWhole ? rows.era >= m_era : m_hasRows && !m_awaitsFirstTable && rows.era == m_era;
    if (!mayBeMerged) {
        return false;
    }
    enterEra(rows.era);
    if (rows.version <= m_version) {
        return false;
    }
    const bool wasUnavailable = m_isUnavailable;
    m_source = peer;
    if (changes.isWhole) {
        mergeTable(rows, std::nullopt);
    } else {
        mergeChanges(rows, {.afterOutage = m_afterOutage});
    }
    m_changeVersion = std::max(m_changeVersion, rows.changeVersion);
    if (currentAt) {
        confirm(*currentAt);
    }
    // The next read of the store requests the changes since then.
    m_afterOutage = m_afterOutage || wasUnavailable;
    return true;
}

void TableFollower::onFailure(const Read &read, const std::string &error, MonotonicTime now)
{
    if (read.number != m_readNumber) {
        return;
    }
    recordFailure(error, now, now);
    m_readActiveAt.reset();
    m_isCatchingUp = false;
    m_isRetryScheduled = true;
    // At a random moment of the second half of the delay, because all relays retry.
    const auto half = m_retryDelay / 2;
    schedule(half + std::chrono::milliseconds(m_random() % static_cast<uint64_t>(half.count() + 1)));
    m_retryDelay = std::min(2 * m_retryDelay, maxRetryDelay());
}

void TableFollower::recordFailure(const std::string &error, MonotonicTime since, MonotonicTime now)
{
    if (!m_failingSince) {
        m_failingSince = since;
    }
    if (!m_isUnavailable && now - *m_failingSince >= m_options.outageThreshold) {
        m_isUnavailable = true;
        m_hooks.onUnavailable(error);
    }
}

std::chrono::milliseconds TableFollower::maxRetryDelay() const
{
    const auto delay = m_options.maxRetryDelay * std::max(1, m_options.liveRelays() / RelaysForMaxRetryDelay);
    return std::min(delay, std::max(m_options.maxRetryDelay, MaxRetryDelayOfLargeFleets));
}

void TableFollower::onSuccess(const Read &read, MonotonicTime now)
{
    if (m_readAt && !m_failingSince) {
        // Smoothed, so that one slow read has little effect.
        constexpr int SmoothedReads = 4;
        m_readInterval += (now - *m_readAt - m_readInterval) / SmoothedReads;
    }
    m_readAt = now;
    // Entries do not expire within a shorter time.
    m_afterOutage = m_afterOutage || m_isUnavailable;
    if (m_ignoresPeersUntilRead && read.number >= *m_ignoresPeersUntilRead) {
        m_ignoresPeersUntilRead.reset();
    }
    endFailure(now);
}

void TableFollower::endFailure(MonotonicTime now)
{
    m_retryDelay = m_options.retryDelay;
    const auto failingSince = std::exchange(m_failingSince, std::nullopt);
    if (std::exchange(m_isUnavailable, false) && failingSince) {
        m_hooks.onAvailable(std::chrono::duration_cast<std::chrono::milliseconds>(now - *failingSince));
    }
}

TableChanges TableFollower::changesSince(int64_t era, int64_t version) const
{
    TableChanges changes {.rows = {.version = m_version, .era = m_era, .changeVersion = m_changeVersion}, .isWhole = era != m_era || version < m_historyFrom};
    for (const auto &[key, row] : m_rows) {
        if (changes.isWhole ? !row.removed : row.version > version) {
            changes.rows.rows.push_back(row);
        }
    }
    return changes;
}

TableState TableFollower::state(MonotonicTime now) const
{
    TableState state {.era = m_era, .version = m_version, .changeVersion = m_changeVersion, .historyFrom = m_historyFrom};
    if (m_readCurrentAt) {
        state.age = std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_readCurrentAt);
    }
    return state;
}

std::chrono::milliseconds TableFollower::age(MonotonicTime now) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - m_currentAt);
}

} // namespace Jujube
