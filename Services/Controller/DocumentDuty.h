#pragma once

#include <LibControl/ControlContext.h>
#include <LibControl/Order.h>
#include <LibPlatform/ObjectClient.h>
#include <LibPlatform/TableClient.h>
#include <mutex>

namespace Jujube
{

// Keeps the wanted state from the newest environment document. step() runs on one thread; the other functions may be called from any.
class DocumentDuty
{
public:
    DocumentDuty(std::string environment, TableClient table, ObjectClient objects, ControlContext context);

    // Reads the head and, if it is newer than the document in force, the document.
    void step();

    std::vector<WantedTarget> wanted() const;

    // Zero before the first document.
    int64_t version() const;

private:
    void load(int64_t version, const std::string &object);

    const std::string m_environment;
    const TableClient m_table;
    const ObjectClient m_objects;
    const ControlContext m_context;
    mutable std::mutex m_mutex;
    int64_t m_version = 0;
    std::vector<WantedTarget> m_wanted;
    // The last version that was refused, so that it is recorded once.
    int64_t m_refused = 0;
};

} // namespace Jujube
