#pragma once

#include "SoakLedger.h"
#include "SoakPrompts.h"

#include <functional>
#include <LibLoop/LoopClient.h>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Jujube
{

// One caller of the users: it asks relays which addresses to use, keeps the answer and its connections for a while, and sends one request after the other.
// Used on the loop's thread only.
class SoakCaller
{
public:
    struct Options {
        std::string name;
        std::string region;
        std::string dataCentre;
        // Asks for addresses again only once those that it has fail.
        bool keepsAddresses = false;
        uint64_t seed = 0;
    };

    // The relay behind a listed address.
    struct Relay {
        std::string name;
        // Where connections to the listed address are made.
        Endpoint link;
    };

    struct Hooks {
        // Directories to ask, the nearest first.
        std::function<std::vector<std::pair<std::string, Endpoint>>()> directories;
        // Nothing if no relay ever had the address.
        std::function<std::optional<Relay>(const std::string &address)> relayAt;
        // A directory has answered.
        std::function<void(const std::string &relay, const std::vector<std::string> &addresses)> onDirectory;
        // The caller has left a request.
        std::function<void(const std::string &id)> onLeft;
    };

    SoakCaller(boost::asio::io_context &loop, SoakLedger &ledger, Options options, Hooks hooks);

    void start();
    // Sends nothing more.
    void stop();

private:
    struct Exchange {
        std::string id;
        std::string relayAddress;
        std::shared_ptr<TargetChannel> channel;
        SoakLedger::Answer answer;
        // Pause that the answer asks for.
        std::chrono::milliseconds retryAfter {0};
    };

    uint64_t below(uint64_t bound);
    void pauseThen(std::chrono::milliseconds pause, void (SoakCaller::*step)());
    void next();
    void askDirectory(std::vector<std::pair<std::string, Endpoint>> directories);
    void send();
    SoakLedger::Sent drawRequest(const std::string &relay);
    std::string textOf(const SoakLedger::Sent &sent, const std::string &id);
    void onHead(const MessageHead &head);
    void onEnd(ChannelEnd end);
    // Closes the connection before the answer is complete.
    void leave(bool givesUp);

    boost::asio::io_context &m_loop;
    SoakLedger &m_ledger;
    const Options m_options;
    const Hooks m_hooks;
    std::mt19937_64 m_random;
    SoakPrompts m_prompts;
    LoopClient m_client;
    TargetChannelPool m_pool;
    boost::asio::steady_timer m_pause;
    boost::asio::steady_timer m_leave;
    std::vector<std::string> m_addresses;
    MonotonicTime m_addressesUntil;
    std::optional<Exchange> m_exchange;
    uint64_t m_sent = 0;
    bool m_stopped = false;
};

} // namespace Jujube
