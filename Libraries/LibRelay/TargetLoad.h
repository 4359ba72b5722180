#pragma once

#include <cstdint>
#include <string>

namespace Jujube
{

// The load that one relay has placed on one target.
struct TargetLoad {
    std::string target;
    int running = 0;
    // KV cache size that the runs will need at their end, in tokens.
    int64_t memory = 0;
    // Prompt tokens of runs that have not produced anything yet.
    int64_t prefill = 0;
    // KV cache size of the generations that would have to be copied if the target left, in tokens.
    int64_t movable = 0;

    // Adds a load, or subtracts it with a sign of -1.
    void add(const TargetLoad &other, int sign = 1)
    {
        running += sign * other.running;
        memory += sign * other.memory;
        prefill += sign * other.prefill;
        movable += sign * other.movable;
    }

    bool isEmpty() const
    {
        return running == 0 && memory == 0 && prefill == 0 && movable == 0;
    }
};

} // namespace Jujube
