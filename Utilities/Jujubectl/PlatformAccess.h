#pragma once

#include <absl/status/statusor.h>
#include <functional>
#include <LibHttp/HttpClient.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Jujube
{

// A row of the table service. Revision 0 stands for a row that does not exist.
struct TableRow {
    std::string value;
    uint64_t revision = 0;
};

// One write of a transaction, conditional on the row's present revision.
struct TableWrite {
    std::string key;
    std::string value;
    uint64_t revision = 0;
};

// How a transaction ended.
enum class WriteResult {
    Written,
    // A row had another revision. If the same transaction was sent before, that may be its own doing.
    Rejected,
    // The request did not leave this process.
    NotSent,
    // The answer was lost; the transaction may have taken effect, or may still do so.
    Unknown,
};

// One machine of the VM list.
struct Vm {
    std::string name;
    // "address:port".
    std::string address;
    std::string dataCentre;
    std::string role;
    bool leaving = false;
    uint64_t incarnation = 0;
};

// The platform's HTTP interface (docs/design.md, section 13) as far as operators' commands need it. Reads and writes of objects are repeated a few times
// over new connections. Errors: ErrorKind::PlatformUnavailable.
class PlatformAccess
{
public:
    struct Options {
        // "address:port".
        std::string address;
        std::chrono::milliseconds timeout {3000};
        // Waits before a repetition.
        std::function<void(std::chrono::milliseconds)> pause;
    };

    static constexpr int Attempts = 3;
    static constexpr std::chrono::milliseconds PauseBetweenAttempts {300};

    PlatformAccess(HttpClient &client, Options options);

    absl::StatusOr<TableRow> readRow(const std::string &key);

    // All or none. Sent once; the caller resolves a lost answer.
    WriteResult write(const std::vector<TableWrite> &writes);

    // Errors also: ErrorKind::NotFound.
    absl::StatusOr<std::string> readObject(const std::string &name);

    absl::Status writeObject(const std::string &name, const std::string &bytes);

    absl::StatusOr<std::vector<Vm>> readVms();

    void pause() const
    {
        m_options.pause(PauseBetweenAttempts);
    }

private:
    HttpAnswer callOnce(std::string method, const std::string &path, std::string body);
    // Repeats until the platform answers with a status below 500.
    absl::StatusOr<HttpAnswer> call(const std::string &method, const std::string &path, const std::string &body = "");
    absl::StatusOr<nlohmann::json> readJson(const std::string &path);

    HttpClient &m_client;
    const Options m_options;
};

} // namespace Jujube
