#include "wire/codec.hpp"

#include "base/json_shape.hpp"

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

namespace bilberryseam::wire {

namespace {
    using nlohmann::json;

    constexpr size_t identifierBytes = 16;
    constexpr size_t frameFields = 4;

    [[noreturn]] void fail(std::string_view detail)
    {
        throw error(error_kind::InvalidMessage, detail, "Run the same release on both ends.");
    }

    class field_writer {
    public:
        template <typename... Fields>
        void operator()(Fields&... fields)
        {
            (m_array.push_back(toJson(fields)), ...);
        }

        [[nodiscard]] json take() { return std::move(m_array); }

    private:
        static json toJson(const identifier& id)
        {
            std::vector<uint8_t> bytes(identifierBytes);
            for (size_t i = 0; i < 8; ++i) {
                bytes[i] = static_cast<uint8_t>(id.high >> (56 - 8 * i));
                bytes[8 + i] = static_cast<uint8_t>(id.low >> (56 - 8 * i));
            }
            return json::binary(std::move(bytes));
        }

        static json toJson(const std::string& text) { return text; }
        static json toJson(bool flag) { return flag; }

        template <typename Number>
        requires std::is_integral_v<Number>
        static json toJson(Number number)
        {
            return number;
        }

        template <typename Enum>
        requires std::is_enum_v<Enum>
        static json toJson(Enum value)
        {
            return static_cast<uint64_t>(value);
        }

        template <typename Item>
        static json toJson(std::vector<Item>& items)
        {
            json list = json::array();
            for (Item& item : items) {
                field_writer writer;
                item.visitFields(writer);
                list.push_back(writer.take());
            }
            return list;
        }

        json m_array = json::array();
    };

    class field_reader {
    public:
        explicit field_reader(json& fields)
            : m_fields(fields)
        {
            if (!fields.is_array())
                fail("A message is not an array.");
        }

        template <typename... Fields>
        void operator()(Fields&... fields)
        {
            if (m_fields.size() != sizeof...(fields) + m_offset)
                fail("A message has the wrong number of fields.");
            size_t index = m_offset;
            (read(m_fields[index++], fields), ...);
        }

        void skip(size_t count) { m_offset = count; }

    private:
        static void read(json& value, identifier& out)
        {
            if (!value.is_binary() || value.get_binary().size() != identifierBytes)
                fail("An identifier is not 16 bytes.");
            const auto& bytes = value.get_binary();
            out = {};
            for (size_t i = 0; i < 8; ++i) {
                out.high = out.high << 8 | bytes[i];
                out.low = out.low << 8 | bytes[8 + i];
            }
        }

        static void read(json& value, std::string& out)
        {
            if (!value.is_string())
                fail("A text field is not text.");
            out = std::move(value.get_ref<std::string&>());
            if (out.size() > maxTextBytes)
                throw error(error_kind::LimitExceeded, "A text field is too long.", "Send at most 4 MiB in one field.");
        }

        static void read(json& value, bool& out)
        {
            if (!value.is_boolean())
                fail("A flag is not true or false.");
            out = value.get<bool>();
        }

        static void read(json& value, int64_t& out)
        {
            if (!value.is_number_integer() || (value.is_number_unsigned() && value.get<uint64_t>() > static_cast<uint64_t>(std::numeric_limits<int64_t>::max())))
                fail("A number is out of range.");
            out = value.get<int64_t>();
        }

        template <typename Number>
        requires std::is_unsigned_v<Number>
        static void read(json& value, Number& out)
        {
            if (!value.is_number_unsigned() || value.get<uint64_t>() > std::numeric_limits<Number>::max())
                fail("A number is out of range.");
            out = value.get<Number>();
        }

        static void read(json& value, refusal& out) { readEnum(value, out, refusal::KeyReused); }
        static void read(json& value, call_end& out) { readEnum(value, out, call_end::Unknown); }

        template <typename Enum>
        static void readEnum(json& value, Enum& out, Enum last)
        {
            if (!value.is_number_unsigned() || value.get<uint64_t>() > static_cast<uint64_t>(last))
                fail("An enumerated value is unknown.");
            out = static_cast<Enum>(value.get<uint64_t>());
        }

        template <typename Item>
        static void read(json& value, std::vector<Item>& out)
        {
            if (!value.is_array() || value.size() > maxListItems)
                fail("A list is not an array or is too long.");
            out.resize(value.size());
            for (size_t i = 0; i < out.size(); ++i) {
                field_reader reader(value[i]);
                out[i].visitFields(reader);
            }
        }

        json& m_fields;
        size_t m_offset = 0;
    };

    template <typename T>
    json toArray(const T& value)
    {
        field_writer writer;
        // visitFields is non-const because the reader assigns the fields; the writer changes nothing.
        const_cast<T&>(value).visitFields(writer);
        return writer.take();
    }

    template <typename T>
    T fromArray(json& array, size_t skippedFields)
    {
        T value;
        field_reader reader(array);
        reader.skip(skippedFields);
        value.visitFields(reader);
        return value;
    }

    json messageToArray(const message& value)
    {
        json array = std::visit([](const auto& alternative) { return toArray(alternative); }, value);
        array.insert(array.begin(), static_cast<uint64_t>(value.index()));
        return array;
    }

    template <size_t Index = 0>
    message messageFromArray(json& array, uint64_t type)
    {
        if constexpr (Index < std::variant_size_v<message>) {
            if (type == Index)
                return fromArray<std::variant_alternative_t<Index, message>>(array, 1);
            return messageFromArray<Index + 1>(array, type);
        } else {
            fail("A message type is unknown.");
        }
    }

    message readMessage(json& array)
    {
        if (!array.is_array() || array.empty() || !array[0].is_number_unsigned())
            fail("A message has no type.");
        return messageFromArray(array, array[0].get<uint64_t>());
    }

    std::string toCbor(const json& value)
    {
        std::string bytes;
        json::to_cbor(value, nlohmann::detail::output_adapter<char>(bytes));
        return bytes;
    }

    /// Smaller messages can be neither nested too deeply nor hold too many values.
    constexpr size_t uncheckedBytes = 4 * 1024;
    constexpr size_t maxValuesPerMessage = 500000;

    json fromCbor(std::string_view bytes)
    {
        if (bytes.size() > uncheckedBytes) {
            const json_shape shape = shapeOf(bytes, json::input_format_t::cbor);
            if (shape.isTooDeep || shape.values > maxValuesPerMessage)
                throw error(error_kind::LimitExceeded, "A message holds too many values, or is nested too deeply.", "Run the same release on both ends.");
        }
        json value = json::from_cbor(bytes.begin(), bytes.end(), true, false);
        if (value.is_discarded())
            fail("A message is not valid CBOR.");
        return value;
    }

    template <typename T, typename Read>
    result<T> decodeWith(std::string_view bytes, Read read)
    {
        try {
            json value = fromCbor(bytes);
            return read(value);
        } catch (const error& problem) {
            return problem;
        } catch (const json::exception&) {
            return error(error_kind::InvalidMessage, "A message is not valid CBOR.", "Run the same release on both ends.");
        }
    }

    frame readFrame(json& value)
    {
        if (!value.is_array() || value.size() != frameFields || !value[0].is_number_unsigned() || !value[1].is_number_unsigned() || !value[2].is_boolean() || !value[3].is_array())
            fail("A frame is malformed.");
        if (value[3].size() > maxMessagesPerFrame)
            throw error(error_kind::LimitExceeded, "A frame holds too many messages.", "Send at most 4096 in one frame.");
        frame decodedFrame { value[0].get<uint64_t>(), value[1].get<uint64_t>(), value[2].get<bool>(), {} };
        decodedFrame.messages.reserve(value[3].size());
        for (json& item : value[3])
            decodedFrame.messages.push_back(readMessage(item));
        return decodedFrame;
    }
}

std::string encodeFrame(const frame& value)
{
    json list = json::array();
    for (const message& item : value.messages)
        list.push_back(messageToArray(item));
    return toCbor(json::array({ value.sequence, value.acknowledgedSequence, value.requestsReply, std::move(list) }));
}

result<frame> decodeFrame(std::string_view bytes)
{
    return decodeWith<frame>(bytes, readFrame);
}

std::string encodeHello(const hello& value)
{
    return toCbor(toArray(value));
}

result<hello> decodeHello(std::string_view bytes)
{
    return decodeWith<hello>(bytes, [](json& value) { return fromArray<hello>(value, 0); });
}

std::string encodeWelcome(const welcome& value)
{
    return toCbor(toArray(value));
}

result<welcome> decodeWelcome(std::string_view bytes)
{
    return decodeWith<welcome>(bytes, [](json& value) { return fromArray<welcome>(value, 0); });
}
}
