#pragma once

// Boost.Asio 1.74 uses std::exchange without including <utility>, which g++ 12 reports in C++20 mode.
#include <utility>

#include <boost/asio.hpp>

namespace Jujube
{

using Tcp = boost::asio::ip::tcp;
using Udp = boost::asio::ip::udp;
using LoopError = boost::system::error_code;

} // namespace Jujube
