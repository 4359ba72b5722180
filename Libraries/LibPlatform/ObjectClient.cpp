#include <LibPlatform/ObjectClient.h>

#include <absl/strings/str_cat.h>
#include <LibCore/AbslView.h>
#include <LibCore/Digest.h>
#include <LibPlatform/PlatformMessage.h>

namespace Jujube
{

namespace
{

constexpr int NotFound = 404;
constexpr size_t MaxObjectBytes = 16 << 20;

} // namespace

ObjectClient::ObjectClient(Options options)
    : m_options(std::move(options))
{
}

WriteResult ObjectClient::put(std::string_view name, std::string_view bytes) const
{
    if (sha256Hex(bytes) != name) {
        return {.end = WriteEnd::NotDone, .error = absl::StrCat("\"", toAbsl(name), "\" is not the SHA-256 of the object's bytes")};
    }
    const auto response = m_options.transport({.method = "PUT",
                                               .url = absl::StrCat("http://", m_options.address, "/objects/", toAbsl(name)),
                                               .headers = {{"Content-Type", "application/octet-stream"}},
                                               .body = std::string(bytes),
                                               .connectTimeout = m_options.connectTimeout,
                                               .totalTimeout = m_options.timeout});
    const auto end = writeEndOf(response);
    return {.end = end, .error = end == WriteEnd::Done ? "" : describeFailure(response)};
}

ObjectReadResult ObjectClient::get(std::string_view name) const
{
    const auto response = m_options.transport({.url = absl::StrCat("http://", m_options.address, "/objects/", encodeParameter(name)),
                                               .connectTimeout = m_options.connectTimeout,
                                               .totalTimeout = m_options.timeout,
                                               .answerLimitBytes = MaxObjectBytes});
    if (response.end == HttpEnd::Complete && response.status == NotFound) {
        return {.end = ReadEnd::Absent};
    }
    if (!response.isSuccess()) {
        return {.error = describeFailure(response)};
    }
    if (sha256Hex(response.body) != name) {
        return {.error = absl::StrCat("object ", toAbsl(name), " is damaged: its bytes have another SHA-256")};
    }
    return {.end = ReadEnd::Found, .bytes = response.body};
}

} // namespace Jujube
