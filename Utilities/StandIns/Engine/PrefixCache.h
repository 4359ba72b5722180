#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Jujube
{

// The hashes of the whole 256-byte blocks at the start of a prompt. The hash of a block covers the model and all blocks before it: a TokenChecksum over the
// model and the blocks so far, as 16 hexadecimal digits.
std::vector<std::string> promptPrefixHashes(std::string_view model, std::string_view prompt);

// The prompt prefixes that an engine has in its cache, evicted in the order of their last use.
class PrefixCache
{
public:
    static constexpr int64_t BlockBytes = 256;
    static constexpr int64_t BlockTokens = 64;

    struct Event {
        uint64_t sequence = 0;
        bool stored = false;
        std::string prefix;
    };

    // The number of prompt tokens that need no computation.
    int64_t cachedTokens(const std::vector<std::string> &hashes) const;

    // Stores the blocks of a prompt, or marks them as used.
    void use(const std::vector<std::string> &hashes);

    // Evicts blocks until the rest fits into the given number of tokens.
    void shrinkTo(int64_t tokens);

    void clear();

    // The events since the last call, with consecutive sequence numbers from 1.
    std::vector<Event> takeEvents();

private:
    void emit(bool stored, const std::string &prefix);

    // Most recently used first.
    std::list<std::string> m_order;
    std::unordered_map<std::string, std::list<std::string>::iterator> m_blocks;
    std::vector<Event> m_events;
    uint64_t m_lastSequence = 0;
};

} // namespace Jujube
