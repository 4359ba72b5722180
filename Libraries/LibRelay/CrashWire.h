#pragma once

#include <LibPolicy/CrashSuspects.h>
#include <LibPolicy/PromptPartSuspects.h>
#include <Relay_types.h>
#include <string>

namespace Jujube
{

// What relays tell each other of crashes, in the structures of Relay.thrift.
Wire::CrashOnTarget toWire(const TargetCrash &crash);
TargetCrash fromWire(const Wire::CrashOnTarget &crash);

Wire::PromptCrash toWire(const PromptPartCrash &crash);
PromptPartCrash fromWire(const Wire::PromptCrash &crash, const std::string &peer);

Wire::SoundPart toWire(const SoundPromptPart &sound);
SoundPromptPart fromWire(const Wire::SoundPart &sound);

} // namespace Jujube
