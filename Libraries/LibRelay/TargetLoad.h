#pragma once

#include <cstdint>
#include <string>

namespace Jujube
{

// What one gateway has placed on one target.
struct TargetLoad {
    std::string target;
    int running = 0;
    // Cache memory that the runs will need at their end, in tokens.
    int64_t memory = 0;
    // Prompt tokens of runs that have not produced anything yet.
    int64_t prefill = 0;
    // Memory that generations hold that would have to be copied if the target left, in tokens.
    int64_t movable = 0;

    void add(const TargetLoad &other)
    {
        running += other.running;
        memory += other.memory;
        prefill += other.prefill;
        movable += other.movable;
    }
};

} // namespace Jujube
