#pragma once

#include <functional>
#include <LibLoop/CallerChannel.h>
#include <LibRelayServer/TableFollower.h>
#include <memory>
#include <string>
#include <vector>

namespace Jujube
{

// Hands the changes of a table over to other relays that lack them. Large ones are sent to a few relays at a time, so that each transfer is short; the others
// are told which relays have got them. Used on the loop's thread only.
class TableChangesServer
{
public:
    struct Options {
        // Rate of this VM's link. Zero if it is unknown.
        double linkMbps = 0;
    };

    struct Hooks {
        // Changes of this size have been handed over, in bytes as they are sent.
        std::function<void(size_t bytes)> onSent;
        // A relay was told to ask another one or to ask again.
        std::function<void()> onBusy;
    };

    TableChangesServer(Options options, Hooks hooks, const TableFollower &table);

    // The path of a request for changes.
    static std::string pathOf(const std::string &table);
    // What a relay asks for, as header fields of the request.
    struct Request {
        // It has all changes up to this version of the store, in this era.
        int64_t era = 0;
        int64_t after = 0;
        // It lacks changes up to this version.
        int64_t wanted = 0;
        // Its address for other relays.
        std::string receiver;
    };
    static LoopCall buildCall(const std::string &table, const Request &request);
    // The relays that have the changes, as stated in a response without them.
    static std::vector<std::string> holdersOf(const LoopAnswer &response);
    // The time since the sender's own last read of the table. Nothing if the response does not state it.
    static std::optional<std::chrono::milliseconds> ageOf(const LoopAnswer &response);

    // Responds to such a request.
    void respond(const std::shared_ptr<CallerChannel> &channel, const MessageHead &request, MonotonicTime now);

private:
    // A large response that is being sent.
    struct Transfer {
        std::weak_ptr<CallerChannel> channel;
        // Address of the relay that gets it.
        std::string receiver;
    };
    // Changes as they were sent. Most relays of a region ask for the same ones.
    struct Encoded {
        int64_t after = 0;
        std::string bytes;
    };

    const std::string &encode(int64_t era, int64_t after);
    // Forgets what belongs to an earlier state of the table.
    void updatePosition(MonotonicTime now);
    // Moves the receivers of transfers that have ended to the holders.
    void endTransfers();
    size_t maxTransfers() const;

    const Options m_options;
    const Hooks m_hooks;
    const TableFollower &m_table;
    // Era of the table and version of its newest change.
    std::pair<int64_t, int64_t> m_position;
    std::vector<Encoded> m_encoded;
    std::vector<Transfer> m_transfers;
    // Relays that have got the changes up to the position.
    std::vector<std::string> m_holders;
};

} // namespace Jujube
