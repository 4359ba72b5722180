#include <LibLoop/LoopClient.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <LibCore/AbslView.h>

namespace Jujube
{

namespace
{

// One call in progress.
struct PendingCall {
    explicit PendingCall(boost::asio::io_context &loop)
        : timer(loop)
    {
    }

    std::shared_ptr<TargetChannel> channel;
    boost::asio::steady_timer timer;
    LoopAnswer answer;
    LoopClient::AnswerHook onAnswer;
    size_t mostAnswerBytes = 0;
    std::chrono::milliseconds timeout {0};
    MonotonicTime latest;
    std::function<void()> onProgress;
    std::function<bool()> isWanted;
    bool over = false;

    static void armTimer(const std::shared_ptr<PendingCall> &call)
    {
        call->timer.expires_at(std::min(monotonicNow() + call->timeout, call->latest));
        call->timer.async_wait([call](const LoopError &error) {
            if (!error && !call->over) {
                call->fail("timeout");
            }
        });
    }

    static void reportProgress(const std::shared_ptr<PendingCall> &call)
    {
        if (call->onProgress && !call->over) {
            call->onProgress();
            armTimer(call);
        }
    }

    void fail(const std::string &error)
    {
        channel->abort();
        answer.end = ChannelEnd::Broken;
        answer.status = 0;
        answer.error = error;
        finish();
    }

    void finish()
    {
        if (over) {
            return;
        }
        over = true;
        timer.cancel();
        onProgress = nullptr;
        isWanted = nullptr;
        const auto hook = std::move(onAnswer);
        hook(answer);
    }
};

std::string textOf(const Endpoint &address, const LoopCall &call)
{
    MessageHead head {.method = call.method, .target = call.target};
    head.fields.push_back({.name = "Host", .value = address.toText()});
    head.fields.insert(head.fields.end(), call.fields.begin(), call.fields.end());
    if (call.method != "GET") {
        head.set("Content-Length", absl::StrCat(call.body.size()));
    }
    return requestText(head) + call.body;
}

} // namespace

std::string_view LoopAnswer::value(std::string_view name) const
{
    const auto found = std::ranges::find_if(fields, [&](const HeaderField &field) { return absl::EqualsIgnoreCase(field.name, toAbsl(name)); });
    return found == fields.end() ? std::string_view() : std::string_view(found->value);
}

LoopClient::LoopClient(boost::asio::io_context &loop)
    : m_loop(loop)
    , m_pool(loop)
{
}

void LoopClient::call(const Endpoint &address, const LoopCall &call, AnswerHook onAnswer)
{
    const auto pending = std::make_shared<PendingCall>(m_loop);
    pending->channel = call.freshConnection ? m_pool.fresh(address) : m_pool.acquire(address, monotonicNow());
    pending->onAnswer = std::move(onAnswer);
    pending->mostAnswerBytes = call.mostAnswerBytes;
    pending->timeout = call.timeout;
    pending->onProgress = call.onProgress;
    pending->isWanted = call.isWanted;
    pending->latest = monotonicNow() + std::max(call.timeout, call.longest);
    PendingCall::armTimer(pending);
    pending->channel->exchange(textOf(address, call),
                               call.method == "HEAD",
                               call.connectTimeout.value_or(call.timeout),
                               {.onHead =
                                    [pending](const MessageHead &head, const std::optional<uint64_t> &) {
                                        pending->answer.status = head.status;
                                        pending->answer.fields = head.fields;
                                        return true;
                                    },
                                .onBody =
                                    [pending](std::string_view bytes) {
                                        pending->answer.body += bytes;
                                        if (pending->answer.body.size() > pending->mostAnswerBytes) {
                                            pending->answer.isTooLong = true;
                                            pending->fail("answer too long");
                                        } else if (pending->isWanted && !pending->isWanted()) {
                                            pending->answer.isUnwanted = true;
                                            pending->fail("not wanted");
                                        }
                                        PendingCall::reportProgress(pending);
                                    },
                                .onEnd =
                                    [this, pending](ChannelEnd end, const std::string &error) {
                                        pending->answer.end = end;
                                        pending->answer.error = error;
                                        pending->answer.connectFailure = pending->channel->connectFailure();
                                        if (end != ChannelEnd::Complete) {
                                            pending->answer.status = 0;
                                        }
                                        m_pool.release(pending->channel);
                                        pending->finish();
                                    }});
}

} // namespace Jujube
