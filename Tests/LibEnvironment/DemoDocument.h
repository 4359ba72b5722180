#pragma once

#include <absl/strings/str_replace.h>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <string>

namespace Jujube
{

inline std::string demoYaml()
{
    std::ifstream file(std::string(JUJUBE_SOURCE_DIRECTORY) + "/examples/demo.yaml");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

// The demo document with all occurrences of a text replaced. Fails the test if there is none.
inline std::string demoYamlWith(const std::string &from, const std::string &to)
{
    const auto yaml = demoYaml();
    EXPECT_NE(yaml.find(from), std::string::npos) << from;
    return absl::StrReplaceAll(yaml, {{from, to}});
}

} // namespace Jujube
