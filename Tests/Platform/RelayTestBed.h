#pragma once

#include <LibRelayServer/Relay.h>
#include <platform/StandIns/StandInStore.h>
#include <platform/StandIns/StandInTarget.h>

namespace Jujube
{

// A store, targets and relays, and callers that connect to a relay. All run on one loop, but for relays that a test stops or freezes.
class RelayTestBed
{
public:
    RelayTestBed();
    ~RelayTestBed();

    // Starts a relay on loopback addresses.
    Relay &addRelay(const std::string &node, std::chrono::milliseconds grace = std::chrono::seconds(8));
    // Starts a relay on a loop of its own, with other settings.
    Relay &addSeparateRelay(const std::string &node, const std::function<void(RelayOptions &options)> &change);
    // Ends such a relay as a crash does.
    void killRelay(const std::string &node);
    // Stops or continues the loop of such a relay.
    void setFrozen(const std::string &node, bool isFrozen)
    {
        m_nodes.at(node).isFrozen = isFrozen;
    }
    // The settings that the relay reads when it reloads them.
    RelayOptions &changedSettings(const std::string &node)
    {
        return m_nodes.at(node).changedOptions;
    }

    // Starts a target and registers it in the store.
    StandInTarget &addTarget(const std::string &id,
                             const std::string &service,
                             int events = 0,
                             const std::string &dataCentre = "lahore",
                             std::chrono::milliseconds work = std::chrono::milliseconds(0),
                             const std::string &version = "v1");
    void registerTarget(const std::string &id, const std::string &state, int64_t born = 1);
    void unregisterTarget(const std::string &id);
    // "address:port".
    std::string addressOf(const std::string &target) const
    {
        return m_targets.at(target).address.toText();
    }

    // Writes a document with the routes /draft/, /hint/, /commit/ and /status/.
    void writeDocument(int64_t version, const std::string &key = "key-1", std::chrono::milliseconds timeout = std::chrono::seconds(3));

    // Runs the loop until the condition is true or the timeout has passed. Returns whether it became true.
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds timeout = std::chrono::seconds(8));
    void runFor(std::chrono::milliseconds time);

    const Endpoint &storeAddress() const
    {
        return m_storeAddress;
    }

    const RelayOptions &options(const std::string &node) const
    {
        return m_nodes.at(node).options;
    }

    // Waits until a relay is ready.
    bool waitUntilReady(const std::string &node);

    // Sends a request to a relay and waits until it ends.
    struct Response {
        int status = 0;
        std::string body;
        ChannelEnd end = ChannelEnd::NotSent;
        MessageHead head;
    };
    struct Request {
        std::string path;
        std::string id = "r1";
        std::string method = "POST";
        std::string key = "key-1";
        std::vector<HeaderField> fields;
        std::string body = "{}";
        // Whether the caller drops the body of the response.
        bool dropsBody = false;
    };
    Response call(const std::string &node, const Request &request, std::chrono::milliseconds timeout = std::chrono::seconds(8));
    // Starts a request whose response is filled in as it arrives.
    std::shared_ptr<TargetChannel> begin(const std::string &node, const Request &request, const std::shared_ptr<Response> &response);
    int readiness(const std::string &node);
    std::string directory(const std::string &node);
    std::string metrics(const std::string &node);
    // What a relay tells operators of rollouts.
    std::string rollouts(const std::string &node);

    // Requests that crash the targets that are added from now on.
    std::function<bool(const MessageHead &head)> isFatal = [](const MessageHead &) { return false; };
    // Targets that have crashed so.
    int fatalCount() const
    {
        return m_fatalCount;
    }

    boost::asio::io_context loop;
    std::unique_ptr<StandInStore> store;

private:
    struct Node {
        RelayOptions options;
        RelayOptions changedOptions;
        // Nothing for a relay on the common loop.
        std::unique_ptr<boost::asio::io_context> loop;
        bool isFrozen = false;
        std::unique_ptr<Relay> relay;
    };
    struct Target {
        std::string service;
        std::string dataCentre;
        Endpoint address;
        std::string version;
        std::unique_ptr<StandInTarget> target;
    };

    Relay &startRelay(Node &node, boost::asio::io_context &loopOfRelay);
    RelayOptions optionsFor(const std::string &node) const;
    // Runs all loops for a short time.
    void runLoops(std::chrono::milliseconds time);
    int get(const Endpoint &address, const std::string &path, std::string *body);

    int m_fatalCount = 0;
    LineWriter m_lines;
    Endpoint m_storeAddress;
    std::map<std::string, Node> m_nodes;
    std::map<std::string, Target> m_targets;
};

} // namespace Jujube
