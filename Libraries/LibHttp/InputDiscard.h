#pragma once

#include <chrono>
#include <cstddef>
#include <string>

namespace Jujube
{

// Bounds of discardInput().
struct InputDiscardLimits {
    size_t bytes = 0;
    std::chrono::milliseconds time {0};
};

// The socket of this process that is connected to the remote address and has the local port, or -1 if there is none or more than one. CivetWeb does not tell
// the socket of a connection.
int findSocket(const std::string &remoteAddress, int remotePort, int localPort);

// Ends the sending direction of a socket after its last response, and discards what the other side still sends until it closes the connection or a limit is
// reached. Closing a socket with unread or later input resets the connection, which may destroy the response on its way (RFC 9112, section 9.6).
void discardInput(int socket, const InputDiscardLimits &limits);

} // namespace Jujube
