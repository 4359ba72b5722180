#include "SoakCaller.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <LibCore/AbslView.h>
#include <nlohmann/json.hpp>

namespace Jujube
{

namespace
{

constexpr std::chrono::milliseconds Deadline {5000};
constexpr std::chrono::milliseconds ConnectTimeout {1000};
constexpr std::chrono::milliseconds DirectoryTimeout {1000};
// A caller waits this much longer than its deadline for the network.
constexpr std::chrono::milliseconds DeadlineSlack {1000};
constexpr uint64_t Percent = 100;

} // namespace

SoakCaller::SoakCaller(boost::asio::io_context &loop, SoakLedger &ledger, Options options, Hooks hooks)
    : m_loop(loop)
    , m_ledger(ledger)
    , m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_random(m_options.seed)
    , m_prompts(m_options.seed)
    , m_client(loop)
    , m_pool(loop)
    , m_pause(loop)
    , m_leave(loop)
{
}

uint64_t SoakCaller::below(uint64_t bound)
{
    return std::uniform_int_distribution<uint64_t>(0, bound - 1)(m_random);
}

void SoakCaller::start()
{
    constexpr uint64_t FirstPauseMs = 500;
    pauseThen(std::chrono::milliseconds(below(FirstPauseMs)), &SoakCaller::next);
}

void SoakCaller::stop()
{
    m_stopped = true;
    m_pause.cancel();
}

void SoakCaller::pauseThen(std::chrono::milliseconds pause, void (SoakCaller::*step)())
{
    if (m_stopped) {
        return;
    }
    m_pause.expires_after(pause);
    m_pause.async_wait([this, step](const LoopError &error) {
        if (!error) {
            (this->*step)();
        }
    });
}

void SoakCaller::next()
{
    const bool expired = monotonicNow() > m_addressesUntil && !m_options.keepsAddresses;
    if (m_addresses.empty() || expired) {
        constexpr size_t MostAsked = 3;
        auto directories = m_hooks.directories();
        directories.resize(std::min(directories.size(), MostAsked));
        askDirectory(std::move(directories));
        return;
    }
    send();
}

void SoakCaller::askDirectory(std::vector<std::pair<std::string, Endpoint>> directories)
{
    if (directories.empty()) {
        // Callers keep what they have while no directory answers.
        if (m_addresses.empty()) {
            constexpr std::chrono::milliseconds Pause {200};
            pauseThen(Pause, &SoakCaller::next);
        } else {
            send();
        }
        return;
    }
    const auto [relay, address] = directories.front();
    directories.erase(directories.begin());
    LoopCall call {.target = absl::StrCat("/-/resolve?name=shop.example&region=", m_options.region, "&zone=", m_options.dataCentre),
                   .timeout = DirectoryTimeout};
    m_client.call(address, call, [this, relay = relay, directories](const LoopAnswer &answer) {
        const auto body = nlohmann::json::parse(answer.body, nullptr, false);
        std::vector<std::string> addresses;
        if (answer.isSuccess() && body.is_object()) {
            addresses = body.value("addresses", addresses);
        }
        if (addresses.empty()) {
            askDirectory(directories);
            return;
        }
        m_hooks.onDirectory(relay, addresses);
        m_addresses = addresses;
        m_addressesUntil = monotonicNow() + std::chrono::milliseconds(static_cast<int64_t>(body.value("ttl_s", 1.0) * 1000));
        send();
    });
}

SoakLedger::Sent SoakCaller::drawRequest(const std::string &relay)
{
    SoakLedger::Sent sent {.relay = relay, .method = "POST", .deadline = Deadline};
    const auto drawn = below(Percent);
    if (drawn < 35) {
        sent.kind = SoakKind::OneTime;
        sent.target = "/commit/x";
    } else if (drawn < 60) {
        sent.kind = SoakKind::Repeatable;
        sent.target = "/status/x%2Fy?z=1";
    } else if (drawn < 80) {
        sent.kind = SoakKind::Generation;
        sent.target = "/draft/x";
    } else if (drawn < 96) {
        sent.kind = SoakKind::ResumableGeneration;
        sent.target = "/hint/x";
    } else {
        sent.kind = SoakKind::Repeatable;
        sent.target = drawn % 2 == 0 ? "/nothing/x" : "/status/unknown-key";
        sent.proper = false;
    }
    if (isGeneration(sent.kind)) {
        sent.prompt = m_prompts.draw(sent.kind);
    }
    return sent;
}

std::string SoakCaller::textOf(const SoakLedger::Sent &sent, const std::string &id)
{
    constexpr uint64_t MostBodyBytes = 20000;
    const std::string body(below(MostBodyBytes), 'b');
    const bool inChunks = below(4) == 0;
    MessageHead head {.method = sent.method, .target = sent.target};
    head.set("Host", "shop.example");
    head.set("X-Attempt-Id", id);
    head.set("X-Deadline-Ms", absl::StrCat(Deadline.count()));
    head.set("X-Token-Usage", std::string(SoakPrompts::TokenUsage));
    if (!sent.prompt.empty()) {
        head.set("X-Prefix-Hash", sent.prompt);
    }
    head.set("Authorization", sent.target == "/status/unknown-key" ? "Bearer key-unknown" : "Bearer key-1");
    head.set("X-Tenant", "forged");
    head.set("X-Hold", "forged");
    head.set("X-Own", "kept");
    if (inChunks) {
        head.set("Transfer-Encoding", "chunked");
        return requestText(head) + (body.empty() ? "" : absl::StrCat(absl::Hex(body.size()), "\r\n", body, "\r\n")) + "0\r\n\r\n";
    }
    head.set("Content-Length", absl::StrCat(body.size()));
    return requestText(head) + body;
}

void SoakCaller::send()
{
    const auto now = monotonicNow();
    const auto address = m_addresses[below(m_addresses.size())];
    const auto relay = m_hooks.relayAt(address);
    if (!relay) {
        m_ledger.report("directory", absl::StrCat("lists ", address, ", which no relay ever had"));
        m_addresses.clear();
        pauseThen(DirectoryTimeout, &SoakCaller::next);
        return;
    }
    const auto id = absl::StrCat(m_options.name, "-", ++m_sent);
    const auto sent = drawRequest(relay->name);
    m_pool.expire(now);
    m_exchange = Exchange();
    m_exchange->id = id;
    m_exchange->relayAddress = address;
    m_exchange->channel = m_pool.acquire(relay->link, now);
    m_ledger.onSent(now, id, sent);
    m_exchange->channel->exchange(textOf(sent, id),
                                  false,
                                  ConnectTimeout,
                                  {.onHead =
                                       [this](const MessageHead &head, const std::optional<uint64_t> &) {
                                           onHead(head);
                                           return true;
                                       },
                                   .onBody = [this](std::string_view bytes) { m_exchange->answer.body += bytes; },
                                   .onEnd = [this](ChannelEnd end, const std::string &) { onEnd(end); }});
    constexpr uint64_t LeavingPercent = 6;
    constexpr uint64_t MostMsBeforeLeaving = 700;
    const bool leavesEarly = below(Percent) < LeavingPercent;
    m_leave.expires_after(leavesEarly ? std::chrono::milliseconds(below(MostMsBeforeLeaving)) : Deadline + DeadlineSlack);
    m_leave.async_wait([this, id, leavesEarly](const LoopError &error) {
        if (!error && m_exchange && m_exchange->id == id) {
            leave(!leavesEarly);
        }
    });
}

void SoakCaller::onHead(const MessageHead &head)
{
    auto &answer = m_exchange->answer;
    answer.status = head.status;
    answer.echoedId = std::string(head.value("X-Attempt-Id"));
    answer.seal = std::string(head.value("X-Server-Seal"));
    answer.namesLimit = head.has("Server-Limit");
    double seconds = 0;
    if (absl::SimpleAtod(toAbsl(head.value("Retry-After")), &seconds)) {
        m_exchange->retryAfter = std::chrono::milliseconds(static_cast<int64_t>(seconds * 1000));
    }
}

void SoakCaller::onEnd(ChannelEnd end)
{
    constexpr uint64_t MostPauseMs = 300;
    constexpr std::chrono::milliseconds MostRetryAfter {1500};
    m_leave.cancel();
    auto exchange = *std::exchange(m_exchange, std::nullopt);
    exchange.answer.complete = end == ChannelEnd::Complete;
    exchange.answer.wasSent = end != ChannelEnd::NotSent;
    m_ledger.onAnswer(monotonicNow(), exchange.id, exchange.answer);
    if (end == ChannelEnd::Complete) {
        m_pool.release(exchange.channel);
    } else if (exchange.answer.status == 0) {
        std::erase(m_addresses, exchange.relayAddress);
    }
    pauseThen(std::chrono::milliseconds(below(MostPauseMs)) + std::min(exchange.retryAfter, MostRetryAfter), &SoakCaller::next);
}

void SoakCaller::leave(bool givesUp)
{
    constexpr uint64_t MostPauseMs = 300;
    auto exchange = *std::exchange(m_exchange, std::nullopt);
    exchange.channel->abort();
    if (givesUp) {
        exchange.answer.gaveUp = true;
        m_ledger.onAnswer(monotonicNow(), exchange.id, exchange.answer);
        std::erase(m_addresses, exchange.relayAddress);
    }
    m_ledger.onLeft(monotonicNow(), exchange.id);
    m_hooks.onLeft(exchange.id);
    pauseThen(std::chrono::milliseconds(below(MostPauseMs)), &SoakCaller::next);
}

} // namespace Jujube
