#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace Jujube
{

// A program under test. Its first line of output, "listening on ADDRESS", tells where it serves.
class ChildProcess
{
public:
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments);
    // Kills the process if it still runs.
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    // Empty if the program did not start.
    const std::string &address() const
    {
        return m_address;
    }

    void signal(int number) const;

    // Kills the process and waits for its end.
    void kill();

    // Waits for the end. Returns the exit code, or -1 if a signal ended the process.
    int wait();

private:
    pid_t m_pid = -1;
    int m_output = -1;
    std::string m_address;
};

} // namespace Jujube
