#pragma once

#include <absl/container/flat_hash_set.h>
#include <absl/status/statusor.h>
#include <LibLoop/CallerChannel.h>
#include <LibLoop/Endpoint.h>

namespace Jujube
{

// Accepts the connections of callers at one address.
class CallerListener
{
public:
    struct Options {
        Endpoint address;
        // Further connections wait in the system's queue.
        size_t maxChannels = 3000;
        CallerChannel::Hooks hooks;
    };

    // Errors: ErrorKind::InvalidValue if the address cannot be bound.
    static absl::StatusOr<std::unique_ptr<CallerListener>> start(boost::asio::io_context &loop, Options options);

    ~CallerListener();
    CallerListener(const CallerListener &) = delete;
    CallerListener &operator=(const CallerListener &) = delete;

    // Accepts nothing more, and closes the channels without a request. The others end with their answer.
    void stop();

    size_t channelCount() const
    {
        return m_channels.size();
    }

    // Channels on which a request is being read or answered.
    size_t busyCount() const;

    // Bytes of answers that wait to be written, on all channels.
    size_t unsentBytes() const;

private:
    CallerListener(boost::asio::io_context &loop, Options options);

    void accept();
    void onClosed(CallerChannel *channel);

    Options m_options;
    Tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_pause;
    absl::flat_hash_set<CallerChannel *> m_channels;
    bool m_accepting = false;
    bool m_stopped = false;
};

} // namespace Jujube
