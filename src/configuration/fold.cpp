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

    /// A note being applied, with the steps that undo it if a later edit is rejected.
    struct note_transaction {
        state& current;
        const note& appliedNote;
        const log_record& record;
        std::vector<std::function<void()>> undo;
        std::set<std::string> changedServices;
        std::set<std::string> changedPipelines;
    };

    template <typename Object>
    std::string qualifiedName(const std::string& name)
    {
        return std::string(listNameOf<Object>()) + "/" + name;
    }

    void adjustTargetCount(state& current, const std::string& service, int difference)
    {
        uint32_t& count = current.targetCounts[service];
        count = static_cast<uint32_t>(static_cast<int>(count) + difference);
    }

    template <typename Object>
    void recordChange(note_transaction& transaction, const Object* before, const Object* after)
    {
        if constexpr (std::is_same_v<Object, target>) {
            if (before) {
                adjustTargetCount(transaction.current, before->service, -1);
                transaction.changedServices.insert(before->service);
            }
            if (after) {
                adjustTargetCount(transaction.current, after->service, 1);
                transaction.changedServices.insert(after->service);
            }
        } else if constexpr (std::is_same_v<Object, pipeline>) {
            if (after)
                transaction.changedPipelines.insert(after->name);
        } else if constexpr (std::is_same_v<Object, service> || std::is_same_v<Object, model>) {
            const Object* either = after ? after : before;
            if constexpr (std::is_same_v<Object, service>)
                transaction.changedServices.insert(either->name);
            else
                transaction.changedServices.insert(either->service);
        }
    }

    /// Sets the value of an object, or withdraws the object if `value` is null.
    template <typename Object>
    void setObject(note_transaction& transaction, const std::string& name, std::shared_ptr<const Object> value)
    {
        auto& objects = transaction.current.of<Object>();
        const auto position = objects.find(name);
        const versioned<Object> before = position == objects.end() ? versioned<Object> {} : position->second;
        recordChange<Object>(transaction, before.value.get(), value.get());
        if (value)
            objects[name] = { value, transaction.record.offset, transaction.appliedNote.name, transaction.appliedNote.author, transaction.record.appendedMs };
        else
            objects.erase(position);
        transaction.undo.push_back([&transaction, name, before, value] {
            auto& currentObjects = transaction.current.of<Object>();
            recordChange<Object>(transaction, value.get(), before.value.get());
            if (before.value)
                currentObjects[name] = before;
            else
                currentObjects.erase(name);
        });
    }

    template <typename Object>
    void checkRevision(const note_transaction& transaction, const std::string& name, uint64_t basedOn)
    {
        const auto& objects = transaction.current.of<Object>();
        const auto position = objects.find(name);
        if (position == objects.end())
            throw rejection { qualifiedName<Object>(name) + " does not exist.", "" };
        if (position->second.revision != basedOn)
            throw rejection { qualifiedName<Object>(name) + " is at revision " + std::to_string(position->second.revision) + ", not " + std::to_string(basedOn) + ".", position->second.note };
    }

    template <typename Object>
    void applyEdits(note_transaction& transaction, const edits<Object>& noteEdits)
    {
        for (const withdrawal& item : noteEdits.withdrawn) {
            checkRevision<Object>(transaction, item.name, item.basedOn);
            setObject<Object>(transaction, item.name, nullptr);
        }
        for (const auto& item : noteEdits.changed) {
            checkRevision<Object>(transaction, nameOf(item.value), item.basedOn);
            setObject<Object>(transaction, nameOf(item.value), std::make_shared<const Object>(item.value));
        }
        for (const auto& item : noteEdits.added) {
            const std::string name = nameOf(item.value);
            if (const auto position = transaction.current.of<Object>().find(name); position != transaction.current.of<Object>().end())
                throw rejection { qualifiedName<Object>(name) + " exists already.", position->second.note };
            setObject<Object>(transaction, name, std::make_shared<const Object>(item.value));
        }
    }

    bool isServiceUsed(const state& current, const std::string& name)
    {
        if (const auto count = current.targetCounts.find(name); count != current.targetCounts.end() && count->second > 0)
            return true;
        for (const auto& [modelName, record] : current.of<model>()) {
            if (record.value->service == name)
                return true;
        }
        return false;
    }

    void checkServices(const note_transaction& transaction)
    {
        for (const std::string& name : transaction.changedServices) {
            if (!transaction.current.find<service>(name) && isServiceUsed(transaction.current, name))
                throw rejection { qualifiedName<service>(name) + " does not exist but is used.", "" };
        }
    }

    void checkPipeline(const note_transaction& transaction, const pipeline& candidate)
    {
        const bool isChanged = transaction.changedPipelines.contains(candidate.name);
        for (const stage& it : candidate.stages) {
            if (!isChanged && !transaction.changedServices.contains(it.service))
                continue;
            if (!transaction.current.find<service>(it.service))
                throw rejection { qualifiedName<pipeline>(candidate.name) + " uses " + it.service + ", which does not exist.", "" };
            const auto count = transaction.current.targetCounts.find(it.service);
            const bool isEmpty = count == transaction.current.targetCounts.end() || count->second == 0;
            if (isEmpty && !transaction.appliedNote.allowsEmptyStages)
                throw rejection { qualifiedName<pipeline>(candidate.name) + " would have no target for stage " + it.name + "; say allowEmptyStages if that is meant.", "" };
        }
    }

    void checkReferences(const note_transaction& transaction)
    {
        checkServices(transaction);
        for (const auto& [name, record] : transaction.current.of<pipeline>())
            checkPipeline(transaction, *record.value);
    }

    void rollBack(note_transaction& transaction)
    {
        while (!transaction.undo.empty()) {
            transaction.undo.back()();
            transaction.undo.pop_back();
        }
    }

    note_verdict applyNote(note_transaction& transaction)
    {
        note_verdict verdict { transaction.record.offset, true, "", "" };
        try {
            std::apply([&](const auto&... each) { (applyEdits(transaction, each), ...); }, transaction.appliedNote.objects);
            checkReferences(transaction);
        } catch (const rejection& problem) {
            rollBack(transaction);
            verdict = { transaction.record.offset, false, problem.reason, problem.winner };
        }
        return verdict;
    }

    void storeVerdict(state& current, const std::string& name, note_verdict verdict)
    {
        if (!current.verdicts.emplace(name, std::move(verdict)).second)
            return;
        current.verdictOrder.push_back(name);
        if (current.verdictOrder.size() <= maxStoredVerdicts)
            return;
        current.verdicts.erase(current.verdictOrder.front());
        current.verdictOrder.pop_front();
    }
}

fold_step applyRecord(state& current, const log_record& record)
{
    if (record.offset != current.nextOffset)
        return fold_step::OutOfOrder;
    const result<note> parsedNote = parseNote(record.text);
    if (!parsedNote && parsedNote.error().kind() == error_kind::UnsupportedVersion) {
        current.haltReason = parsedNote.error().what();
        return fold_step::Halted;
    }
    current.haltReason.clear();
    ++current.nextOffset;
    if (!parsedNote) {
        storeVerdict(current, "#" + std::to_string(record.offset), { record.offset, false, parsedNote.error().what(), "" });
        return fold_step::Applied;
    }
    const note& appliedNote = parsedNote.value();
    if (current.verdicts.contains(appliedNote.name))
        return fold_step::Applied;
    note_transaction transaction { current, appliedNote, record, {}, {}, {} };
    storeVerdict(current, appliedNote.name, applyNote(transaction));
    return fold_step::Applied;
}

note_verdict predictVerdict(const state& current, const note& proposedNote)
{
    if (const auto position = current.verdicts.find(proposedNote.name); position != current.verdicts.end())
        return position->second;
    state copy = current;
    const log_record record { current.nextOffset, 0, "" };
    note_transaction transaction { copy, proposedNote, record, {}, {}, {} };
    return applyNote(transaction);
}
}
