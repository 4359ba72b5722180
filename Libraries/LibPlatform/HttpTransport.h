#pragma once

#include <functional>
#include <LibHttp/HttpClient.h>

namespace Jujube
{

// Makes a call and waits for its response. HttpClient::call() in production; tests pass a function of their own.
using HttpTransport = std::function<HttpAnswer(HttpCall)>;

} // namespace Jujube
