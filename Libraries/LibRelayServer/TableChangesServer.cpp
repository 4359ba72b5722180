#include <LibRelayServer/TableChangesServer.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <LibCore/AbslView.h>
#include <LibRelayServer/TableChangesCodec.h>

namespace Jujube
{

namespace
{

constexpr std::string_view PathPrefix = "/changes/";
constexpr std::string_view EraField = "Table-Era";
constexpr std::string_view AfterField = "Table-After";
constexpr std::string_view WantedField = "Table-Wanted";
constexpr std::string_view ReceiverField = "Table-Receiver";
constexpr std::string_view AgeField = "Table-Age-Ms";
constexpr std::string_view HoldersField = "Table-Holders";
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;

// Smaller responses are sent to any number of relays at a time.
constexpr size_t MaxSmallResponseBytes = 8 << 10;
// Rate of the link for each large transfer at a time. A small VM's link has half of it.
constexpr double MbpsPerTransfer = 20;
constexpr size_t MinTransfers = 2;
constexpr size_t MaxTransfers = 16;
constexpr size_t TransfersOfUnknownLink = 4;
// Encoded changes that are kept: for relays that have the version before, and for those that have none.
constexpr size_t MaxEncoded = 2;
constexpr size_t MaxStatedHolders = 8;
// A response is abandoned if no part of it comes for this time.
constexpr std::chrono::milliseconds ProgressTimeout {500};
constexpr std::chrono::milliseconds ConnectTimeout {300};

std::optional<int64_t> numberIn(const MessageHead &head, std::string_view name)
{
    int64_t number = 0;
    return absl::SimpleAtoi(toAbsl(head.value(name)), &number) && number >= 0 ? std::optional(number) : std::nullopt;
}

} // namespace

TableChangesServer::TableChangesServer(Options options, Hooks hooks, const TableFollower &table)
    : m_options(options)
    , m_hooks(std::move(hooks))
    , m_table(table)
{
}

std::string TableChangesServer::pathOf(const std::string &table)
{
    return absl::StrCat(toAbsl(PathPrefix), table);
}

LoopCall TableChangesServer::buildCall(const std::string &table, const Request &request)
{
    const auto field = [](std::string_view name, const auto &value) { return HeaderField {.name = std::string(name), .value = absl::StrCat(value)}; };
    return {.target = pathOf(table),
            .fields
            = {field(EraField, request.era), field(AfterField, request.after), field(WantedField, request.wanted), field(ReceiverField, request.receiver)},
            .timeout = ProgressTimeout,
            .connectTimeout = ConnectTimeout,
            .onProgress = [] {},
            .mostAnswerBytes = MaxTableChangesBytes,
            .freshConnection = true};
}

std::vector<std::string> TableChangesServer::holdersOf(const LoopAnswer &response)
{
    return absl::StrSplit(toAbsl(response.value(HoldersField)), ',', absl::SkipEmpty());
}

std::optional<std::chrono::milliseconds> TableChangesServer::ageOf(const LoopAnswer &response)
{
    constexpr int64_t MaxAgeMs = int64_t {365} * 24 * 3600 * 1000;
    int64_t age = 0;
    const bool isAge = absl::SimpleAtoi(toAbsl(response.value(AgeField)), &age) && age >= 0 && age <= MaxAgeMs;
    return isAge ? std::optional(std::chrono::milliseconds(age)) : std::nullopt;
}

void TableChangesServer::updatePosition(MonotonicTime now)
{
    const std::pair position(m_table.era(), m_table.state(now).changeVersion);
    if (position != m_position) {
        m_position = position;
        m_encoded.clear();
        m_holders.clear();
    }
}

const std::string &TableChangesServer::encode(int64_t era, int64_t after)
{
    const auto known = std::ranges::find(m_encoded, era == m_table.era() ? after : 0, &Encoded::after);
    if (known != m_encoded.end()) {
        return known->bytes;
    }
    if (m_encoded.size() >= MaxEncoded) {
        m_encoded.erase(m_encoded.begin());
    }
    return m_encoded.emplace_back(Encoded {.after = era == m_table.era() ? after : 0, .bytes = encodeTableChanges(m_table.changesSince(era, after))}).bytes;
}

size_t TableChangesServer::maxTransfers() const
{
    if (m_options.linkMbps <= 0) {
        return TransfersOfUnknownLink;
    }
    return std::clamp(static_cast<size_t>(m_options.linkMbps / MbpsPerTransfer), MinTransfers, MaxTransfers);
}

void TableChangesServer::endTransfers()
{
    std::erase_if(m_transfers, [this](const Transfer &transfer) {
        const auto channel = transfer.channel.lock();
        if (channel && channel->unsentBytes() > 0) {
            return false;
        }
        m_holders.push_back(transfer.receiver);
        return true;
    });
}

void TableChangesServer::respond(const std::shared_ptr<CallerChannel> &channel, const MessageHead &request, MonotonicTime now)
{
    const auto era = numberIn(request, EraField);
    const auto after = numberIn(request, AfterField);
    const auto wanted = numberIn(request, WantedField);
    if (!era || !after || !wanted || !m_table.hasRows() || *era > m_table.era() || (*era == m_table.era() && *wanted > m_table.version())) {
        channel->send({.status = StatusNotFound}, {});
        return;
    }
    updatePosition(now);
    endTransfers();
    const auto &bytes = encode(*era, *after);
    const bool isLarge = bytes.size() > MaxSmallResponseBytes;
    if (isLarge && m_transfers.size() >= maxTransfers()) {
        MessageHead head {.status = StatusUnavailable};
        const auto count = std::min(MaxStatedHolders, m_holders.size());
        head.set(HoldersField, absl::StrJoin(m_holders.end() - static_cast<ptrdiff_t>(count), m_holders.end(), ","));
        channel->send(std::move(head), {});
        m_hooks.onBusy();
        return;
    }
    if (isLarge) {
        m_transfers.push_back({.channel = channel, .receiver = std::string(request.value(ReceiverField))});
    }
    MessageHead head {.status = StatusOk};
    if (const auto age = m_table.state(now).age) {
        head.set(AgeField, absl::StrCat(age->count()));
    }
    channel->send(std::move(head), bytes);
    m_hooks.onSent(bytes.size());
}

} // namespace Jujube
