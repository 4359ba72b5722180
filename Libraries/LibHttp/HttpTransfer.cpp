#include <LibHttp/HttpTransfer.h>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <LibCore/AbslView.h>
#include <LibCore/HttpStatus.h>

namespace Jujube
{

namespace
{

constexpr int FirstRedirect = 300;
// Header sections of a response and of interim ones before it, and its trailers.
constexpr size_t MaxHeaderBytes = size_t {64} * 1024;
// The body of a response that is no success is not awaited for ever by those that receive a stream.
constexpr size_t MaxErrorBodyBytes = size_t {64} * 1024;

// Whether a character may be part of a field's name (RFC 9110, section 5.6.2).
bool isTokenCharacter(char character)
{
    constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
    return absl::ascii_isalnum(static_cast<unsigned char>(character)) || Marks.find(character) != std::string_view::npos;
}

// Control characters are refused in values, except for tabs (RFC 9110, section 5.5).
bool isValueCharacter(char character)
{
    return character == '\t' || !absl::ascii_iscntrl(static_cast<unsigned char>(character));
}

// Whether a line without its end is a header field. libcurl accepts lines that are none, and frames the body as if they were not there.
bool isField(std::string_view line)
{
    const auto colon = line.find(':');
    if (colon == 0 || colon == std::string_view::npos) {
        return false;
    }
    const auto value = line.substr(colon + 1);
    return std::all_of(line.begin(), line.begin() + static_cast<ptrdiff_t>(colon), isTokenCharacter)
        && std::all_of(value.begin(), value.end(), isValueCharacter);
}

std::string_view withoutLineEnd(std::string_view line)
{
    if (line.ends_with('\n')) {
        line.remove_suffix(line.ends_with("\r\n") ? 2 : 1);
    }
    return line;
}

} // namespace

HttpTransfer::HttpTransfer(HttpClient::StreamId id, HttpCall call, HttpStreamSink sink, MayReuse mayReuse)
    : m_id(id)
    , m_call(std::move(call))
    , m_sink(std::move(sink))
    , m_mayReuse(std::move(mayReuse))
    , m_handle(curl_easy_init())
    , m_lastByte(monotonicNow())
{
    applyCall();
}

HttpTransfer::~HttpTransfer()
{
    curl_easy_cleanup(m_handle);
    curl_slist_free_all(m_headerList);
}

void HttpTransfer::applyCall()
{
    curl_easy_setopt(m_handle, CURLOPT_PRIVATE, this);
    curl_easy_setopt(m_handle, CURLOPT_URL, m_call.url.c_str());
    curl_easy_setopt(m_handle, CURLOPT_CUSTOMREQUEST, m_call.method.c_str());
    curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_handle, CURLOPT_PROXY, "");
    curl_easy_setopt(m_handle, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(m_handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(m_call.connectTimeout.count()));
    curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS, static_cast<long>(m_call.totalTimeout.count()));
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, &HttpTransfer::receiveBody);
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION, &HttpTransfer::receiveHeader);
    curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_PREREQFUNCTION, &HttpTransfer::beforeRequest);
    curl_easy_setopt(m_handle, CURLOPT_PREREQDATA, this);
    if (m_call.freshConnection) {
        curl_easy_setopt(m_handle, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(m_handle, CURLOPT_FORBID_REUSE, 1L);
    }
    if (!m_call.body.empty() || m_call.method == "POST" || m_call.method == "PUT") {
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_call.body.size()));
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, m_call.body.c_str());
    }
    // Without this, libcurl waits up to a second for "100 Continue" before it sends a larger body.
    m_headerList = curl_slist_append(m_headerList, "Expect:");
    for (const auto &[name, value] : m_call.headers) {
        m_headerList = curl_slist_append(m_headerList, absl::StrCat(name, ": ", value).c_str());
    }
    curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, m_headerList);
}

bool HttpTransfer::isSilent(MonotonicTime now) const
{
    return !m_paused && m_call.silenceTimeout.count() > 0 && now - m_lastByte > m_call.silenceTimeout;
}

void HttpTransfer::resume(MonotonicTime now)
{
    m_paused = false;
    m_lastByte = now;
    curl_easy_pause(m_handle, CURLPAUSE_CONT);
}

size_t HttpTransfer::receiveBody(char *data, size_t size, size_t count, void *self)
{
    return static_cast<HttpTransfer *>(self)->acceptBody({data, size * count});
}

size_t HttpTransfer::acceptBody(std::string_view bytes)
{
    constexpr size_t Abort = 0;
    m_lastByte = monotonicNow();
    if (m_sink.onBytes) {
        if (m_answer.status >= FirstRedirect && (m_errorBodyBytes += bytes.size()) > MaxErrorBodyBytes) {
            return Abort;
        }
        if (!m_sink.onBytes(m_answer.status, bytes)) {
            m_paused = true;
            return CURL_WRITEFUNC_PAUSE;
        }
        return bytes.size();
    }
    if (m_answer.body.size() + bytes.size() > m_call.answerLimitBytes) {
        return Abort;
    }
    m_answer.body.append(bytes);
    return bytes.size();
}

size_t HttpTransfer::receiveHeader(char *data, size_t size, size_t count, void *self)
{
    auto &transfer = *static_cast<HttpTransfer *>(self);
    const std::string_view line(data, size * count);
    transfer.m_lastByte = monotonicNow();
    transfer.m_headerBytes += line.size();
    constexpr size_t Abort = 0;
    if (transfer.m_headerBytes > MaxHeaderBytes) {
        return Abort;
    }
    return transfer.noteHeaderLine(line) ? line.size() : Abort;
}

bool HttpTransfer::noteHeaderLine(std::string_view line)
{
    line = withoutLineEnd(line);
    if (!m_isStatusLineDue && !line.empty() && !isField(line)) {
        m_defect = "the response has a malformed header field";
        return false;
    }
    if (m_isHeadComplete) {
        // A field of the trailers.
        return true;
    }
    if (m_isStatusLineDue) {
        m_isStatusLineDue = false;
        // libcurl has refused a line without three digits before.
        long status = 0;
        curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &status);
        if (statusKindOf(static_cast<int>(status)) == StatusKind::Invalid) {
            m_defect = "the response has an invalid status";
            return false;
        }
        m_answer.status = static_cast<int>(status);
        return true;
    }
    if (!line.empty()) {
        const auto colon = line.find(':');
        const auto name = absl::AsciiStrToLower(toAbsl(line.substr(0, colon)));
        m_answer.headers[name] = std::string(absl::StripAsciiWhitespace(toAbsl(line.substr(colon + 1))));
        return true;
    }
    m_isHeadComplete = statusKindOf(m_answer.status) == StatusKind::Final;
    if (!m_isHeadComplete) {
        m_answer.headers.clear();
        m_answer.status = 0;
        m_isStatusLineDue = true;
    }
    return true;
}

int HttpTransfer::beforeRequest(void *self, char *address, char * /*localAddress*/, int port, int localPort)
{
    auto &transfer = *static_cast<HttpTransfer *>(self);
    long newConnections = 0;
    curl_easy_getinfo(transfer.m_handle, CURLINFO_NUM_CONNECTS, &newConnections);
    if (newConnections > 0 || transfer.m_mayReuse({.address = address, .port = port, .localPort = localPort})) {
        return CURL_PREREQFUNC_OK;
    }
    transfer.m_isConnectionUnusable = true;
    return CURL_PREREQFUNC_ABORT;
}

bool HttpTransfer::needsNewConnection()
{
    if (!std::exchange(m_isConnectionUnusable, false)) {
        return false;
    }
    curl_easy_setopt(m_handle, CURLOPT_FRESH_CONNECT, 1L);
    return true;
}

std::optional<std::pair<ConnectionName, int>> HttpTransfer::connection() const
{
    curl_socket_t socket = CURL_SOCKET_BAD;
    char *address = nullptr;
    long port = 0;
    long localPort = 0;
    if (curl_easy_getinfo(m_handle, CURLINFO_ACTIVESOCKET, &socket) != CURLE_OK || socket == CURL_SOCKET_BAD
        || curl_easy_getinfo(m_handle, CURLINFO_PRIMARY_IP, &address) != CURLE_OK || !address) {
        return std::nullopt;
    }
    curl_easy_getinfo(m_handle, CURLINFO_PRIMARY_PORT, &port);
    curl_easy_getinfo(m_handle, CURLINFO_LOCAL_PORT, &localPort);
    return std::pair {ConnectionName {.address = address, .port = static_cast<int>(port), .localPort = static_cast<int>(localPort)}, socket};
}

bool HttpTransfer::wasSent() const
{
    // A connection that was never made, and no request byte handed to the socket: only then is the request certain not to have left.
    long requestSize = 0;
    curl_off_t connectTime = 0;
    curl_easy_getinfo(m_handle, CURLINFO_REQUEST_SIZE, &requestSize);
    curl_easy_getinfo(m_handle, CURLINFO_CONNECT_TIME_T, &connectTime);
    return requestSize > 0 || connectTime > 0;
}

HttpEnd HttpTransfer::endFor(CURLcode result) const
{
    if (result == CURLE_OK && m_isHeadComplete) {
        return HttpEnd::Complete;
    }
    if (!wasSent()) {
        return HttpEnd::NotSent;
    }
    return result == CURLE_OPERATION_TIMEDOUT ? HttpEnd::TimedOut : HttpEnd::Broken;
}

void HttpTransfer::finish(CURLcode result)
{
    m_answer.refused = result == CURLE_COULDNT_CONNECT;
    const auto end = endFor(result);
    if (!m_defect.empty()) {
        finish(end, std::string(m_defect));
        return;
    }
    const bool isHeadMissing = result == CURLE_OK && !m_isHeadComplete;
    finish(end, isHeadMissing ? "the connection ended within the header section" : result == CURLE_OK ? "" : curl_easy_strerror(result));
}

void HttpTransfer::finish(HttpEnd end, std::string error)
{
    m_answer.end = end;
    m_answer.error = std::move(error);
    if (m_sink.onEnd) {
        m_sink.onEnd(m_answer);
    }
}

} // namespace Jujube
