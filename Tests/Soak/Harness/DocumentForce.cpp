#include "DocumentForce.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

namespace Jujube
{

DocumentForceReader::DocumentForceReader(std::vector<DocumentWrite> writes)
    : m_writes(std::move(writes))
{
}

void DocumentForceReader::read(const std::string &path, const WasInTouch &wasInTouch)
{
    std::vector<std::pair<int64_t, int64_t>> versionsByTime;
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line)) {
        if (line.find("\"document_in_force\"") == std::string::npos) {
            continue;
        }
        const auto object = nlohmann::json::parse(line, nullptr, false);
        if (object.is_object()) {
            versionsByTime.emplace_back(object.value("time_ms", int64_t {0}), object.value("version", int64_t {0}));
        }
    }
    for (const auto &write : m_writes) {
        const auto found = std::find_if(
            versionsByTime.begin(), versionsByTime.end(), [&](const auto &entry) { return entry.first >= write.wallMs && entry.second >= write.version; });
        if (found == versionsByTime.end()) {
            m_missing += wasInTouch(write.at, monotonicNow()) ? 1 : 0;
            continue;
        }
        const std::chrono::milliseconds time(found->first - write.wallMs);
        if (wasInTouch(write.at, write.at + time)) {
            m_entries.push_back({.time = time, .relay = std::filesystem::path(path).stem().string(), .version = write.version});
        }
    }
}

DocumentForce DocumentForceReader::result() const
{
    if (m_entries.empty()) {
        return {.missing = m_missing};
    }
    auto sorted = m_entries;
    std::sort(sorted.begin(), sorted.end(), [](const Entry &a, const Entry &b) { return a.time < b.time; });
    constexpr size_t Percent = 100;
    constexpr size_t HighPercentile = 99;
    return {.count = sorted.size(),
            .missing = m_missing,
            .median = sorted[sorted.size() / 2].time,
            .p99 = sorted[sorted.size() * HighPercentile / Percent].time,
            .worst = sorted.back().time,
            .worstRelay = sorted.back().relay,
            .worstVersion = sorted.back().version};
}

} // namespace Jujube
