#pragma once

#include <LibPlatform/HttpTransport.h>
#include <LibPlatform/TableRow.h>
#include <string_view>

namespace Jujube
{

struct ObjectReadResult {
    ReadEnd end = ReadEnd::Failed;
    // Valid if end is Found.
    std::string bytes;
    std::string error;
};

// A client of the object store (docs/design.md, section 13). Objects are named by the SHA-256 of their bytes, so writing one twice has no further effect and
// a lost response is resolved by writing again. Calls block and may be made from several threads.
class ObjectClient
{
public:
    struct Options {
        // "address:port" of the platform.
        std::string address;
        HttpTransport transport;
        std::chrono::milliseconds connectTimeout {1000};
        std::chrono::milliseconds timeout {3000};
    };

    explicit ObjectClient(Options options);

    // Errors: WriteEnd::NotDone for a name that is not 64 hexadecimal digits or does not match the bytes.
    WriteResult put(std::string_view name, std::string_view bytes) const;

    // Returns ReadEnd::Failed for bytes whose digest differs from the name, because they are damaged.
    ObjectReadResult get(std::string_view name) const;

private:
    const Options m_options;
};

} // namespace Jujube
