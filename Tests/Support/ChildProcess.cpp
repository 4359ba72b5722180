#include "ChildProcess.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace Jujube
{

namespace
{

std::string readLine(int file)
{
    std::string line;
    char c = 0;
    while (read(file, &c, 1) == 1 && c != '\n') {
        line += c;
    }
    return line;
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments)
{
    const std::string path = std::string(JUJUBE_BINARY_DIRECTORY) + "/" + program;
    std::vector<char *> argv {const_cast<char *>(path.c_str())};
    for (const auto &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    int pipeEnds[2] {};
    if (pipe2(pipeEnds, O_CLOEXEC) != 0) {
        return;
    }
    posix_spawn_file_actions_t actions {};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, "/dev/null", O_WRONLY, 0);
    if (posix_spawn(&m_pid, path.c_str(), &actions, nullptr, argv.data(), environ) != 0) {
        m_pid = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
    close(pipeEnds[1]);
    m_output = pipeEnds[0];
    const std::string prefix = "listening on ";
    const auto line = readLine(m_output);
    if (line.starts_with(prefix)) {
        m_address = line.substr(prefix.size());
    }
}

ChildProcess::~ChildProcess()
{
    kill();
    close(m_output);
}

void ChildProcess::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void ChildProcess::kill()
{
    signal(SIGKILL);
    wait();
}

int ChildProcess::wait()
{
    if (m_pid <= 0) {
        return -1;
    }
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

} // namespace Jujube
