/// Detection of streams that end inside an event.
#include "gateway/event_stream.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;

namespace {
/// @return Whether the text ends inside an event, in the same way for each way of splitting it into blocks.
bool endsInsideEvent(std::string_view text)
{
    bool isInside = false;
    for (size_t size = 1; size <= text.size(); ++size) {
        gateway::event_stream events;
        for (size_t position = 0; position < text.size(); position += size)
            events.observe(text.substr(position, size));
        cr_assert(size == 1 || !events.isAtBoundary() == isInside, "blocks of %zu bytes give another result", size);
        isInside = !events.isAtBoundary();
    }
    return isInside;
}
}

Test(event_stream, whole_events_end_with_an_empty_line)
{
    for (const char* text : { "id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n", "id: 1\rdata: a\r\r", "data: a\n\n: comment\n\n", "data: a\n\n\n" })
        cr_assert(!endsInsideEvent(text), "%s", text);
}

Test(event_stream, partial_events_are_detected)
{
    for (const char* text : { "i", "id: 1", "id: 1\n", "id: 1\r\n", "data: a\n\nid: 2\nda", "data: a\n\nid: 2\n", "data: a\n\n:" })
        cr_assert(endsInsideEvent(text), "%s", text);
}

Test(event_stream, events_may_end_with_any_line_ending)
{
    for (const std::string event : { "id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n", "id: 1\rdata: a\r\r" }) {
        gateway::event_stream events;
        std::string output;
        cr_assert_eq(events.append(event + "id: 2", output), gateway::event_stream::state::Good);
        cr_assert_eq(output, event);
        cr_assert_eq(events.lastId(), "1");
        cr_assert(!events.isAtBoundary());
    }
}

Test(event_stream, a_new_attempt_starts_between_events)
{
    gateway::event_stream events;
    cr_assert(events.isAtBoundary());
    events.observe("data: a");
    events.restart();
    cr_assert(events.isAtBoundary());
}
