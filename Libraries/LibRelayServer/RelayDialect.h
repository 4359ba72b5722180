#pragma once

#include <absl/status/statusor.h>
#include <functional>
#include <LibLoop/LoopClient.h>
#include <LibRelay/RelayDocument.h>
#include <LibRelay/RelaySession.h>
#include <LibRelay/TargetTable.h>
#include <optional>
#include <string>
#include <vector>

namespace Jujube
{

// One row of a table in the store.
struct StoreRow {
    std::string key;
    std::string value;
    int64_t version = 0;
    bool removed = false;
};

// A part of a table, or what has changed in it.
struct StoreRows {
    std::vector<StoreRow> rows;
    // The store's version as of which the rows hold.
    int64_t version = 0;
    // Version of the newest change among them, as far as it is known; removed rows count.
    int64_t changeVersion = 0;
    bool hasMore = false;
};

// What an engine says of itself. It is some hundred milliseconds old.
struct EngineState {
    int64_t incarnation = 0;
    bool leaving = false;
};

// Names of the header fields that callers and targets use.
struct RelayFieldNames {
    std::string requestId;
    std::string deadline;
    std::string expectedTarget;
    std::string workspace;
    // The mark of a target's own answer.
    std::string seal;
    std::string notRun;
    // Has this value in all answers of a target that leaves.
    std::string leaving;
    std::string leavingValue;
    std::string priority;
    std::string backup;
    std::string kvCacheSource;
    std::string lastEventId;
    // Number of prompt tokens and largest number of output tokens, separated by a comma.
    std::string usage;
    std::string lengthHint;
    // Fields that only the gateway may set. A caller's are dropped.
    std::vector<std::string> reserved;
};

// Everything that depends on the platform that the relay runs on: names, paths and encodings. Decisions, state and retries are the relay's own.
struct RelayDialect {
    RelayFieldNames fields;
    std::string readyPath;
    std::string directoryPath;

    // The table with the document and the data centres that are out, and the table of targets.
    std::string documentTable;
    std::string documentKey;
    std::string targetTable;
    std::function<absl::StatusOr<RelayDocument>(std::string_view value)> decodeDocument;
    // The data centre that a row of the document table takes out of service, or nothing for other rows.
    std::function<std::optional<std::string>(std::string_view key)> decodeOutDataCentre;
    std::function<absl::StatusOr<TargetEntry>(std::string_view key, std::string_view value)> decodeTarget;

    // Reads a table from a key on, and what has changed in it since a version.
    std::function<LoopCall(const std::string &table, const std::string &fromKey)> rowsCall;
    std::function<LoopCall(const std::string &table, int64_t after, std::chrono::milliseconds wait)> changesCall;
    std::function<absl::StatusOr<StoreRows>(std::string_view body)> decodeRows;
    // The status that tells that the changes asked for are not available any more.
    int historyGoneStatus = 410;

    // Asks an engine for its state.
    std::function<LoopCall()> stateCall;
    std::function<absl::StatusOr<EngineState>(std::string_view body)> decodeState;

    // Orders an engine to copy the memory of a running generation to another engine, and to stop the run if `stop` is set.
    std::function<LoopCall(const std::string &requestId, const std::string &destination, bool stop)> copyCall;
    std::function<CopyResult(const LoopAnswer &answer)> decodeCopy;

    // The answer to a caller that asks which addresses to use.
    std::function<std::string(const std::vector<std::string> &addresses, std::chrono::milliseconds lifetime)> encodeDirectory;
    // Where the caller that asks is: its data centre and region, as far as the query tells.
    std::function<std::pair<std::string, std::string>(std::string_view query)> decodeDirectoryQuery;
};

} // namespace Jujube
