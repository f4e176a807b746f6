#include "configuration/fold.hpp"

#include <functional>
#include <set>

namespace bilberryseam::configuration {

namespace {
    /// Why a note is rejected.
    struct rejection {
        std::string reason;
        std::string winner;
    };

    /// A note being applied, with what undoes it if a later edit is rejected.
    struct application {
        state& current;
        const note& applied;
        const log_record& record;
        std::vector<std::function<void()>> undo;
        std::set<std::string> touchedServices;
        std::set<std::string> touchedPipelines;
    };

    template <typename Object>
    std::string describe(const std::string& name)
    {
        return std::string(listNameOf<Object>()) + "/" + name;
    }

    void addToCount(state& current, const std::string& service, int difference)
    {
        uint32_t& count = current.targetCounts[service];
        count = static_cast<uint32_t>(static_cast<int>(count) + difference);
    }

    template <typename Object>
    void noteTouch(application& work, const Object* before, const Object* after)
    {
        if constexpr (std::is_same_v<Object, target>) {
            if (before) {
                addToCount(work.current, before->service, -1);
                work.touchedServices.insert(before->service);
            }
            if (after) {
                addToCount(work.current, after->service, 1);
                work.touchedServices.insert(after->service);
            }
        } else if constexpr (std::is_same_v<Object, pipeline>) {
            if (after)
                work.touchedPipelines.insert(after->name);
        } else if constexpr (std::is_same_v<Object, service> || std::is_same_v<Object, model>) {
            const Object* either = after ? after : before;
            if constexpr (std::is_same_v<Object, service>)
                work.touchedServices.insert(either->name);
            else
                work.touchedServices.insert(either->service);
        }
    }

    /// Puts a value in force, or withdraws it if `value` is null.
    template <typename Object>
    void putInForce(application& work, const std::string& name, std::shared_ptr<const Object> value)
    {
        auto& objects = work.current.of<Object>();
        const auto found = objects.find(name);
        const versioned<Object> before = found == objects.end() ? versioned<Object> {} : found->second;
        noteTouch<Object>(work, before.value.get(), value.get());
        if (value)
            objects[name] = { value, work.record.offset, work.applied.name, work.applied.author, work.record.appendedMs };
        else
            objects.erase(found);
        work.undo.push_back([&work, name, before, value] {
            auto& restored = work.current.of<Object>();
            noteTouch<Object>(work, value.get(), before.value.get());
            if (before.value)
                restored[name] = before;
            else
                restored.erase(name);
        });
    }

    template <typename Object>
    void checkBase(const application& work, const std::string& name, uint64_t basedOn)
    {
        const auto& objects = work.current.of<Object>();
        const auto found = objects.find(name);
        if (found == objects.end())
            throw rejection { describe<Object>(name) + " does not exist.", "" };
        if (found->second.revision != basedOn)
            throw rejection { describe<Object>(name) + " is at revision " + std::to_string(found->second.revision) + ", not " + std::to_string(basedOn) + ".", found->second.note };
    }

    template <typename Object>
    void applyEdits(application& work, const edits<Object>& wanted)
    {
        for (const withdrawal& item : wanted.withdrawn) {
            checkBase<Object>(work, item.name, item.basedOn);
            putInForce<Object>(work, item.name, nullptr);
        }
        for (const auto& item : wanted.changed) {
            checkBase<Object>(work, nameOf(item.value), item.basedOn);
            putInForce<Object>(work, nameOf(item.value), std::make_shared<const Object>(item.value));
        }
        for (const auto& item : wanted.added) {
            const std::string name = nameOf(item.value);
            if (const auto found = work.current.of<Object>().find(name); found != work.current.of<Object>().end())
                throw rejection { describe<Object>(name) + " exists already.", found->second.note };
            putInForce<Object>(work, name, std::make_shared<const Object>(item.value));
        }
    }

    bool isServiceUsed(const state& current, const std::string& name)
    {
        if (const auto count = current.targetCounts.find(name); count != current.targetCounts.end() && count->second > 0)
            return true;
        for (const auto& [modelName, entry] : current.of<model>()) {
            if (entry.value->service == name)
                return true;
        }
        return false;
    }

    void checkServices(const application& work)
    {
        for (const std::string& name : work.touchedServices) {
            if (!work.current.find<service>(name) && isServiceUsed(work.current, name))
                throw rejection { describe<service>(name) + " does not exist but is used.", "" };
        }
    }

    void checkPipeline(const application& work, const pipeline& checked)
    {
        const bool isTouched = work.touchedPipelines.contains(checked.name);
        for (const stage& step : checked.stages) {
            if (!isTouched && !work.touchedServices.contains(step.service))
                continue;
            if (!work.current.find<service>(step.service))
                throw rejection { describe<pipeline>(checked.name) + " uses " + step.service + ", which does not exist.", "" };
            const auto count = work.current.targetCounts.find(step.service);
            const bool isEmpty = count == work.current.targetCounts.end() || count->second == 0;
            if (isEmpty && !work.applied.allowsEmptyStages)
                throw rejection { describe<pipeline>(checked.name) + " would have no target for stage " + step.name + "; say allowEmptyStages if that is meant.", "" };
        }
    }

    void checkReferences(const application& work)
    {
        checkServices(work);
        for (const auto& [name, entry] : work.current.of<pipeline>())
            checkPipeline(work, *entry.value);
    }

    void undoAll(application& work)
    {
        while (!work.undo.empty()) {
            work.undo.back()();
            work.undo.pop_back();
        }
    }

    note_verdict applyNote(application& work)
    {
        note_verdict verdict { work.record.offset, true, "", "" };
        try {
            std::apply([&](const auto&... each) { (applyEdits(work, each), ...); }, work.applied.objects);
            checkReferences(work);
        } catch (const rejection& problem) {
            undoAll(work);
            verdict = { work.record.offset, false, problem.reason, problem.winner };
        }
        return verdict;
    }

    void keepVerdict(state& current, const std::string& name, note_verdict verdict)
    {
        if (!current.verdicts.emplace(name, std::move(verdict)).second)
            return;
        current.verdictOrder.push_back(name);
        if (current.verdictOrder.size() <= maxKeptVerdicts)
            return;
        current.verdicts.erase(current.verdictOrder.front());
        current.verdictOrder.pop_front();
    }
}

fold_step applyRecord(state& current, const log_record& record)
{
    if (record.offset != current.nextOffset)
        return fold_step::OutOfOrder;
    const result<note> parsed = parseNote(record.text);
    if (!parsed && parsed.error().kind() == error_kind::UnsupportedVersion) {
        current.haltReason = parsed.error().what();
        return fold_step::Halted;
    }
    current.haltReason.clear();
    ++current.nextOffset;
    if (!parsed) {
        keepVerdict(current, "#" + std::to_string(record.offset), { record.offset, false, parsed.error().what(), "" });
        return fold_step::Applied;
    }
    const note& applied = parsed.value();
    if (current.verdicts.contains(applied.name))
        return fold_step::Applied;
    application work { current, applied, record, {}, {}, {} };
    keepVerdict(current, applied.name, applyNote(work));
    return fold_step::Applied;
}

note_verdict predictVerdict(const state& current, const note& proposed)
{
    if (const auto found = current.verdicts.find(proposed.name); found != current.verdicts.end())
        return found->second;
    state trial = current;
    const log_record record { current.nextOffset, 0, "" };
    application work { trial, proposed, record, {}, {}, {} };
    return applyNote(work);
}
}
