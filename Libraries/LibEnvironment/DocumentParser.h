#pragma once

#include <LibEnvironment/EnvironmentDocument.h>
#include <LibEnvironment/MapReader.h>

namespace Jujube
{

// Reads the sections of a document from its tree, and validates the values and the references between sections.
class DocumentParser
{
public:
    explicit DocumentParser(DocumentErrors &errors)
        : m_errors(errors)
    {
    }

    EnvironmentDocument read(const DocumentNode &root);

private:
    void readDataCentre(const std::string &name, const DocumentNode &node, const std::string &path);
    void readWorkspace(const std::string &name, const DocumentNode &node, const std::string &path);
    void readWorkspaceLimits(MapReader &reader, const std::string &path, WorkspaceLimits &limits);
    void readKeyHash(MapReader &reader, const std::string &name, std::string &hash);
    void readModel(const std::string &name, const DocumentNode &node, const std::string &path);
    void readService(const std::string &name, const DocumentNode &node, const std::string &path);
    ServiceCall readCall(const std::string &name, const DocumentNode &node, const std::string &path);
    void readPriorities(MapReader &root);
    void readGatewayLimits(MapReader &root);
    void readTarget(const std::string &name, const DocumentNode &node, const std::string &path);
    void readAddress(MapReader &reader, const std::string &name, std::string &address);
    void readModelsAndService(MapReader &reader, TargetEntry &target);
    void readEngineFields(MapReader &reader, TargetEntry &target);

    DocumentErrors &m_errors;
    EnvironmentDocument m_document;
    // The first workspace with a key hash, and the first target with an address.
    std::map<std::string, std::string> m_keyHashOwners;
    std::map<std::string, std::string> m_addressOwners;
};

} // namespace Jujube
