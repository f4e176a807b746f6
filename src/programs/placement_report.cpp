#include "placement_report.hpp"

#include <cmath>
#include <iomanip>
#include <map>
#include <ostream>
#include <set>
#include <string>

namespace bilberryseam {

using nlohmann::json;

namespace {
    std::string textOf(const json& value)
    {
        if (value.is_null())
            return "-";
        if (value.is_string())
            return value.get<std::string>().empty() ? "-" : value.get<std::string>();
        if (value.is_number_float())
            return std::to_string(std::lround(value.get<double>()));
        if (!value.is_array())
            return value.dump();
        std::string text;
        for (const json& item : value)
            text.append(text.empty() ? "" : ",").append(textOf(item));
        return text.empty() ? "none" : text;
    }

    std::string textAt(const json& object, const char* key)
    {
        const auto position = object.find(key);
        return position == object.end() ? "-" : textOf(*position);
    }

    std::string refusalText(const json& explanation)
    {
        const json refusal = explanation.value("refusal", json());
        if (!refusal.is_object())
            return "-";
        std::string text = textAt(refusal, "status") + " " + textAt(refusal, "reason");
        if (!refusal.value("retryAfterMs", json()).is_null())
            text += ", Retry-After " + textAt(refusal, "retryAfterMs") + " ms";
        return text;
    }

    std::string resultText(const json& explanation)
    {
        if (const json waits = explanation.value("waits", json()); waits.is_object())
            return "would wait for a target: " + textAt(waits, "reason") + ", at most " + textAt(waits, "longestMs") + " ms";
        if (explanation.value("refusal", json()).is_object())
            return "would be refused: " + refusalText(explanation);
        return "would be sent to " + textAt(explanation, "choice");
    }

    std::string verdictText(const json& target)
    {
        const std::string verdict = target.value("verdict", "");
        return verdict.empty() ? "usable" : verdict;
    }

    void printTargets(std::ostream& out, const json& explanation)
    {
        const json targets = explanation.value("targets", json::array());
        if (targets.empty())
            return;
        out << "  by " << (explanation.value("basis", "") == "own_calls" ? "the calls of this gateway" : "the load of all gateways") << ", figures " << textAt(explanation, "figuresMsAgo") << " ms old; cost in ms\n";
        out << "    " << std::left << std::setw(24) << "target" << std::setw(14) << "domain" << std::setw(16) << "verdict" << std::right << std::setw(9) << "requests" << std::setw(7) << "slots" << std::setw(8) << "cost" << std::setw(8) << "load" << std::setw(8) << "prefix" << std::setw(8) << "inputs" << std::setw(7) << "cold" << std::setw(9) << "version" << std::setw(10) << "distance" << std::setw(12) << "listed ago\n";
        for (const json& target : targets) {
            const json terms = target.value("costTermsMs", json());
            const auto term = [&terms](const char* name) { return terms.is_object() ? textOf(terms.value(name, json(0))) : std::string("-"); };
            out << "  " << (target.value("id", json()) == explanation.value("choice", json()) ? "> " : "  ") << std::left << std::setw(24) << textAt(target, "id") << std::setw(14) << textAt(target, "failureDomain") << std::setw(16) << verdictText(target) << std::right << std::setw(9) << textAt(target, "requests") << std::setw(7) << textAt(target, "slots") << std::setw(8) << textAt(target, "costMs") << std::setw(8) << term("load") << std::setw(8) << term("uncachedPrefix") << std::setw(8) << term("remoteInputs") << std::setw(7) << term("cold") << std::setw(9) << term("onlyOfVersion") << std::setw(10) << term("distance") << std::setw(11) << textAt(target, "listedMsAgo") << "\n";
        }
        if (const size_t count = explanation.value("targetCount", targets.size()); count > targets.size())
            out << "    and " << count - targets.size() << " more\n";
    }

    /// Values of one gateway by what they describe.
    std::map<std::string, std::string> comparedValues(const json& explanation)
    {
        std::map<std::string, std::string> values;
        for (const char* key : { "configurationVersion", "route", "account", "permittedRegions", "service", "choice" })
            values[key] = textAt(explanation, key);
        const json refusal = explanation.value("refusal", json());
        values["refusal"] = refusal.is_object() ? textAt(refusal, "status") + " " + textAt(refusal, "reason") : "-";
        for (const json& stage : explanation.value("stages", json::array()))
            values["owner of " + textAt(stage, "service")] = textAt(stage, "owner");
        // A list that is cut off lacks targets that the gateway knows.
        for (const json& target : explanation.value("targets", json::array()))
            values["verdict on " + textAt(target, "id")] = verdictText(target);
        return values;
    }
}

void printPlacement(std::ostream& out, const json& explanation)
{
    out << textAt(explanation, "gateway") << ": " << resultText(explanation) << "\n";
    out << "  configuration " << textAt(explanation, "configurationVersion") << ", checked " << textAt(explanation, "configurationCheckedMsAgo") << " ms ago\n";
    if (explanation.contains("route"))
        out << "  route " << textAt(explanation, "route") << ", service " << textAt(explanation, "service") << ", account " << textAt(explanation, "account") << ", rank " << textAt(explanation, "rank") << ", regions " << textAt(explanation, "permittedRegions") << "\n";
    if (explanation.contains("detail"))
        out << "  " << textAt(explanation, "detail") << "\n";
    if (explanation.value("mayRunAsTrial", false))
        out << "  One such request may run as the trial of the refused prompt segment.\n";
    for (const json& stage : explanation.value("stages", json::array()))
        out << "  stage " << textAt(stage, "stage") << ": " << textAt(stage, "tasks") << " tasks of " << textAt(stage, "service") << ", owner " << textAt(stage, "owner") << ", waiting tasks " << textAt(stage, "waitingTasks") << ", expected wait " << textAt(stage, "expectedWaitMs") << " ms\n";
    printTargets(out, explanation);
}

void printDifferences(std::ostream& out, std::span<const json> explanations)
{
    if (explanations.size() < 2)
        return;
    std::set<std::string> keys;
    std::vector<std::map<std::string, std::string>> values;
    for (const json& explanation : explanations) {
        for (const auto& [key, value] : values.emplace_back(comparedValues(explanation)))
            keys.insert(key);
    }
    bool isAnyDifferent = false;
    for (const std::string& key : keys) {
        std::set<std::string> distinct;
        for (auto& item : values)
            distinct.insert(item.try_emplace(key, "not listed").first->second);
        if (distinct.size() < 2)
            continue;
        if (!std::exchange(isAnyDifferent, true))
            out << "The gateways differ:\n";
        out << "  " << key << ":";
        for (size_t i = 0; i < values.size(); ++i)
            out << (i == 0 ? " " : "; ") << textAt(explanations[i], "gateway") << " " << values[i].at(key);
        out << "\n";
    }
    if (!isAnyDifferent)
        out << "The gateways agree.\n";
}
}
