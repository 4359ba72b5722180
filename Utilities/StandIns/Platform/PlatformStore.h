#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Jujube
{

// The rows and objects of the platform stand-in, in memory. Safe to use from several threads.
class PlatformStore
{
public:
    struct Row {
        std::string key;
        std::string value;
        int64_t revision = 0;
    };

    struct Write {
        std::string key;
        std::string value;
        // Zero demands that the row does not exist; nothing writes without a condition.
        std::optional<int64_t> revision;
    };

    std::optional<Row> get(const std::string &key) const;
    std::vector<Row> list(const std::string &prefix) const;

    // Makes all writes, or none. Returns the new revisions in the order of the writes, or nothing if a condition does not hold.
    std::optional<std::vector<int64_t>> apply(const std::vector<Write> &writes);

    std::optional<std::string> getObject(const std::string &name) const;
    void putObject(const std::string &name, std::string bytes);

private:
    bool holds(const Write &write) const;

    mutable std::mutex m_mutex;
    std::map<std::string, Row> m_rows;
    std::map<std::string, std::string> m_objects;
    int64_t m_lastRevision = 0;
};

} // namespace Jujube
