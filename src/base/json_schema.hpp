/// Parsing of JSON documents and validation against a JSON schema, with errors that have a location and a remedy.
#pragma once

#include "base/result.hpp"

#include <nlohmann/json.hpp>
#include <string_view>

namespace bilberryseam {

/// A compiled JSON schema.
class json_schema {
public:
    /// @param text  A JSON schema from the program itself; must be valid.
    explicit json_schema(std::string_view text);

    /// @param document  The document to validate.
    /// @param name      Name of the document (such as a file name), for the error's location.
    /// @param kind      Kind of the error to report.
    /// @return The first violation with its JSON pointer and remedy, or success.
    [[nodiscard]] result<void> validate(const nlohmann::json& document, std::string_view name, error_kind kind) const;

private:
    nlohmann::json m_document;
    std::shared_ptr<const void> m_schema;
};

/// @param text  JSON text.
/// @param name  Name of the document (such as a file name), for the error's location.
/// @param kind  Kind of the error to report.
/// @return The document, or an error that names the line and column.
[[nodiscard]] result<nlohmann::json> parseJson(std::string_view text, std::string_view name, error_kind kind);
}
