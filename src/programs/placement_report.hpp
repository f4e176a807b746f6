/// Text of `bilberryseam explain-placement`.
#pragma once

#include <iosfwd>
#include <nlohmann/json.hpp>
#include <span>

namespace bilberryseam {

/// Prints the explanation of one gateway.
void printPlacement(std::ostream& out, const nlohmann::json& explanation);

/// Prints in what the explanations of several gateways differ.
void printDifferences(std::ostream& out, std::span<const nlohmann::json> explanations);
}
