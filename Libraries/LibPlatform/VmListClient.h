#pragma once

#include <absl/status/statusor.h>
#include <LibPlatform/HttpTransport.h>
#include <LibPlatform/TableRow.h>
#include <nlohmann/json.hpp>
#include <vector>

namespace Jujube
{

enum class VmState {
    Live,
    Leaving,
};

// One entry of the VM list.
struct Vm {
    std::string name;
    // "address:port".
    std::string address;
    std::string dataCentre;
    // For example "gateway" or "engine".
    std::string role;
    VmState state = VmState::Live;
    // Higher for each replacement under the same name or address.
    uint64_t incarnation = 0;

    bool operator==(const Vm &) const = default;
};

struct VmListResult {
    // Found or Failed. The list lags behind the actual state.
    ReadEnd end = ReadEnd::Failed;
    std::vector<Vm> vms;
    std::string error;
};

// Errors: ErrorKind::InvalidValue if a field is missing or has the wrong type.
absl::StatusOr<std::vector<Vm>> vmsFromJson(const nlohmann::json &json);

// Reads the VM list (docs/design.md, section 13). Calls block and may be made from several threads.
class VmListClient
{
public:
    struct Options {
        // "address:port" of the platform.
        std::string address;
        HttpTransport transport;
        std::chrono::milliseconds connectTimeout {1000};
        std::chrono::milliseconds timeout {2000};
    };

    explicit VmListClient(Options options);

    // Fails if any entry is invalid: with an incomplete list, the calling code would treat the missing VMs as gone.
    VmListResult read() const;

private:
    const Options m_options;
};

} // namespace Jujube
