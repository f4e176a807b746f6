/// The fold over release notes.
#include "configuration/configuration.hpp"
#include "support/notes.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::configuration;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
state applyNote(state current, const json& note)
{
    cr_assert(applyRecord(current, { current.nextOffset, 1000, note.dump() }) == fold_step::Applied);
    return current;
}

const note_verdict& verdictOf(const state& current, const std::string& note)
{
    return current.verdicts.at(note);
}
}

Test(fold, accepted_objects_are_stored_with_note_author_and_time)
{
    const state current = applyNote({}, firstNoteJson());
    cr_assert(verdictOf(current, "first").isAccepted);
    const auto& record = current.of<target>().at("rank-1");
    cr_assert_eq(record.revision, 0u);
    cr_assert(record.note == "first" && record.author == "anna" && record.appendedMs == 1000);
}

Test(fold, of_two_conflicting_notes_the_second_is_rejected_and_names_the_first)
{
    state current = applyNote({}, firstNoteJson());
    current = applyNote(current, weightNoteJson("a", 0, 2));
    current = applyNote(current, weightNoteJson("b", 0, 3));
    cr_assert_eq(current.find<account>("acme")->weight, 2);
    cr_assert(!verdictOf(current, "b").isAccepted);
    cr_assert(verdictOf(current, "b").winner == "a");
}

Test(fold, a_rejected_note_changes_nothing)
{
    const state before = applyNote({}, firstNoteJson());
    json mixed = weightNoteJson("mixed", 0, 9);
    mixed["withdrawn"]["targets"] = { { { "name", "rank-1" }, { "basedOn", 77 } } };
    const state after = applyNote(before, mixed);
    cr_assert_eq(after.find<account>("acme")->weight, 1);
    cr_assert_eq(after.targetCounts.at("rank"), 1u);
}

Test(fold, a_duplicate_note_is_applied_once)
{
    state current = applyNote({}, firstNoteJson());
    current = applyNote(current, weightNoteJson("a", 0, 2));
    current = applyNote(current, weightNoteJson("c", 1, 3));
    current = applyNote(current, weightNoteJson("a", 0, 2));
    cr_assert_eq(current.find<account>("acme")->weight, 3);
    cr_assert(verdictOf(current, "a").isAccepted);
    cr_assert_eq(current.nextOffset, 4u);
}

Test(fold, a_stage_without_targets_requires_allowEmptyStages)
{
    state current = applyNote({}, firstNoteJson());
    json last = { { "schema", 1 }, { "note", "last" }, { "withdrawn", { { "targets", { { { "name", "rank-1" }, { "basedOn", 0 } } } } } } };
    current = applyNote(current, last);
    cr_assert(!verdictOf(current, "last").isAccepted);
    last["note"] = "allowed";
    last["allowEmptyStages"] = true;
    current = applyNote(current, last);
    cr_assert(verdictOf(current, "allowed").isAccepted);
    cr_assert(current.of<target>().empty());
}

Test(fold, notes_with_dangling_references_are_rejected)
{
    state current = applyNote({}, firstNoteJson());
    current = applyNote(current, { { "schema", 1 }, { "note", "x" }, { "withdrawn", { { "services", { { { "name", "rank" }, { "basedOn", 0 } } } } } } });
    cr_assert(!verdictOf(current, "x").isAccepted);
    current = applyNote(current, { { "schema", 1 }, { "note", "y" }, { "added", { { "pipelines", { { { "name", "q" }, { "stages", { { { "name", "s" }, { "service", "none" } } } } } } } } } });
    cr_assert(!verdictOf(current, "y").isAccepted);
}

Test(fold, a_note_of_a_newer_schema_halts_the_fold)
{
    state current = applyNote({}, firstNoteJson());
    json newer = weightNoteJson("newer", 0, 2);
    newer["schema"] = 2;
    cr_assert(applyRecord(current, { 1, 0, newer.dump() }) == fold_step::Halted);
    cr_assert(applyRecord(current, { 2, 0, weightNoteJson("a", 0, 2).dump() }) == fold_step::OutOfOrder);
    cr_assert_eq(current.nextOffset, 1u);
    cr_assert(!current.haltReason.empty());
}

Test(fold, corrupt_and_oversized_records_are_rejected_and_skipped)
{
    state current = applyNote({}, firstNoteJson());
    for (const std::string& text : { std::string("{"), std::string("[]"), std::string(R"({"schema":1})"), std::string(maxNoteBytes + 1, 'x') })
        cr_assert(applyRecord(current, { current.nextOffset, 0, text }) == fold_step::Applied);
    cr_assert_eq(current.nextOffset, 5u);
    cr_assert_eq(current.of<target>().size(), 1u);
}

Test(fold, a_snapshot_restores_the_state_and_detects_corruption)
{
    state current = applyNote({}, firstNoteJson());
    current = applyNote(current, weightNoteJson("a", 0, 2));
    const std::string text = writeSnapshot(current);
    const state restoredState = readSnapshot(text).value();
    cr_assert(writeSnapshot(restoredState) == text, "the restored state gives different snapshot bytes");
    cr_assert(restoredState.targetCounts == current.targetCounts);
    std::string damaged = text;
    damaged[damaged.find("north")] = 'N';
    cr_assert(!readSnapshot(damaged));
}

Test(fold, a_split_snapshot_is_assembled_only_from_all_parts)
{
    const std::string old(3 * snapshotPartBytes, 'a');
    const std::string newer(2 * snapshotPartBytes + 5, 'b');
    std::vector<std::string> records = splitSnapshot(old, 7);
    const std::vector<std::string> newerRecords = splitSnapshot(newer, 9);
    records.insert(records.end(), newerRecords.begin(), newerRecords.end());
    cr_assert(assembleSnapshot(records)->text == newer);
    records.pop_back();
    records.push_back("nonsense");
    cr_assert(assembleSnapshot(records)->text == old);
    cr_assert_eq(assembleSnapshot(records)->nextOffset, 7u);
}

Test(fold, note_errors_contain_location_and_remedy)
{
    json invalidNote = firstNoteJson();
    invalidNote["added"]["targets"][0]["capacitee"] = 3;
    const std::string message = parseNote(invalidNote.dump(2), "note.json").error().what();
    cr_assert(message.find("note.json: /added/targets/0") != std::string::npos, "%s", message.c_str());
    cr_assert(message.find("Remedy:") != std::string::npos);
    const std::string syntax = parseNote("{\n  \"schema\": 1,\n  oops\n}", "note.json").error().what();
    cr_assert(syntax.find("note.json:3:") != std::string::npos, "%s", syntax.c_str());
}
