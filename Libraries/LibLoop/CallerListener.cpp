#include <LibLoop/CallerListener.h>

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <functional>
#include <LibCore/Error.h>
#include <numeric>
#include <vector>

namespace Jujube
{

namespace
{

constexpr int ListenQueue = 1024;
// Pause after the system could not accept, for example for lack of descriptors.
constexpr std::chrono::milliseconds AcceptPause {20};

} // namespace

CallerListener::CallerListener(boost::asio::io_context &loop, Options options)
    : m_options(std::move(options))
    , m_acceptor(loop)
    , m_pause(loop)
{
    m_options.hooks.onClosed = [this](CallerChannel *channel) { onClosed(channel); };
}

CallerListener::~CallerListener() = default;

absl::StatusOr<std::unique_ptr<CallerListener>> CallerListener::start(boost::asio::io_context &loop, Options options)
{
    auto listener = std::unique_ptr<CallerListener>(new CallerListener(loop, std::move(options)));
    const auto endpoint = listener->m_options.address.tcp();
    LoopError error;
    auto &acceptor = listener->m_acceptor;
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
        acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(ListenQueue, error);
    }
    if (error) {
        return makeError(ErrorKind::InvalidValue, absl::StrCat("cannot listen on ", listener->m_options.address.toText(), ": ", error.message()));
    }
    listener->accept();
    return listener;
}

void CallerListener::accept()
{
    if (m_accepting || m_stopped || m_channels.size() >= m_options.maxChannels) {
        return;
    }
    m_accepting = true;
    m_acceptor.async_accept([this](const LoopError &error, Tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        m_accepting = false;
        if (error) {
            m_pause.expires_after(AcceptPause);
            m_pause.async_wait([this](const LoopError &cancelled) {
                if (!cancelled) {
                    accept();
                }
            });
            return;
        }
        const auto channel = std::make_shared<CallerChannel>(std::move(socket), m_options.hooks);
        m_channels.insert(channel.get());
        channel->start();
        accept();
    });
}

void CallerListener::onClosed(CallerChannel *channel)
{
    m_channels.erase(channel);
    accept();
}

void CallerListener::stop()
{
    m_stopped = true;
    LoopError ignored;
    m_acceptor.close(ignored);
    const std::vector<CallerChannel *> channels(m_channels.begin(), m_channels.end());
    for (auto *channel : channels) {
        channel->closeIfIdle();
    }
}

size_t CallerListener::unsentBytes() const
{
    return std::transform_reduce(m_channels.begin(), m_channels.end(), size_t {0}, std::plus<>(), [](const auto *channel) { return channel->unsentBytes(); });
}

size_t CallerListener::busyCount() const
{
    return static_cast<size_t>(std::count_if(m_channels.begin(), m_channels.end(), [](const auto *channel) { return channel->isBusy(); }));
}

} // namespace Jujube
