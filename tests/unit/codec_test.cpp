/// Encoding and decoding of the protocol between daemons.
#include "wire/wire.hpp"

#include <criterion/criterion.h>
#include <random>

using namespace bilberryseam;
using namespace bilberryseam::wire;

namespace {
frame sampleFrame()
{
    frame sample { 7, 3, true, {} };
    start_call call;
    call.request = { 1, 2 };
    call.attempt = { 3, 4 };
    call.target = "llm-1";
    call.remainingMs = 11000;
    call.body = R"({"prompt":"hello"})";
    sample.messages.push_back(call);
    sample.messages.push_back(call_output { { 1, 2 }, { 3, 4 }, 9, "w1 " });
    sample.messages.push_back(configuration_records { "", { { 5, 1234, "note" } } });
    return sample;
}
}

Test(codec, a_decoded_frame_equals_the_encoded_one)
{
    const frame decodedFrame = decodeFrame(encodeFrame(sampleFrame())).value();
    cr_assert_eq(decodedFrame.sequence, 7u);
    cr_assert_eq(decodedFrame.acknowledgedSequence, 3u);
    cr_assert(decodedFrame.requestsReply);
    cr_assert_eq(decodedFrame.messages.size(), 3u);
    const auto& call = std::get<start_call>(decodedFrame.messages[0]);
    cr_assert(call.attempt == (identifier { 3, 4 }));
    cr_assert_eq(call.remainingMs, 11000u);
    cr_assert_eq(std::get<call_output>(decodedFrame.messages[1]).index, 9u);
    cr_assert_eq(std::get<configuration_records>(decodedFrame.messages[2]).records[0].appendedMs, 1234);
}

Test(codec, truncated_frames_are_rejected)
{
    const std::string encoded = encodeFrame(sampleFrame());
    for (size_t length = 0; length < encoded.size(); ++length)
        cr_assert(!decodeFrame(std::string_view(encoded).substr(0, length)), "a frame truncated at byte %zu was accepted", length);
}

Test(codec, mutated_frames_do_not_crash_the_decoder)
{
    const std::string encoded = encodeFrame(sampleFrame());
    std::mt19937_64 random(20261204);
    for (int round = 0; round < 200000; ++round) {
        std::string mutated = encoded;
        const int changes = 1 + static_cast<int>(random() % 4);
        for (int i = 0; i < changes; ++i)
            mutated[random() % mutated.size()] = static_cast<char>(random());
        static_cast<void>(decodeFrame(mutated));
        static_cast<void>(decodeHello(mutated));
        static_cast<void>(decodeWelcome(mutated));
    }
}

Test(codec, huge_lengths_are_rejected)
{
    // An array with a declared length of 2^56 items.
    const std::string hugeArray("\x9b\x01\x00\x00\x00\x00\x00\x00\x00", 9);
    cr_assert(!decodeFrame(hugeArray));
    // A text with a declared length of 2^56 bytes.
    const std::string hugeText("\x84\x01\x00\xf4\x7b\x01\x00\x00\x00\x00\x00\x00\x00", 13);
    cr_assert(!decodeFrame(hugeText));
}

Test(codec, unknown_message_types_are_rejected)
{
    // [1, 0, false, [[99]]]
    const std::string unknownType("\x84\x01\x00\xf4\x81\x81\x18\x63", 8);
    cr_assert(!decodeFrame(unknownType));
}
