#include "base/json_shape.hpp"

namespace bilberryseam {

namespace {
    using nlohmann::json;

    // nlohmann-json prescribes the names of the members.
    // NOLINTBEGIN(readability-identifier-naming)
    class shape_counter final : public json::json_sax_t {
    public:
        bool null() override { return countValue(); }
        bool boolean(bool) override { return countValue(); }
        bool number_integer(number_integer_t) override { return countValue(); }
        bool number_unsigned(number_unsigned_t) override { return countValue(); }
        bool number_float(number_float_t, const string_t&) override { return countValue(); }
        bool string(string_t&) override { return countValue(); }
        bool binary(binary_t&) override { return countValue(); }
        bool start_object(std::size_t) override { return enter(); }
        bool key(string_t&) override { return countValue(); }
        bool end_object() override { return leave(); }
        bool start_array(std::size_t) override { return enter(); }
        bool end_array() override { return leave(); }
        bool parse_error(std::size_t, const std::string&, const json::exception&) override { return false; }

        json_shape shape;

    private:
        bool countValue()
        {
            ++shape.values;
            return true;
        }

        bool enter()
        {
            shape.isTooDeep = ++m_depth > maxJsonDepth;
            return countValue() && !shape.isTooDeep;
        }

        bool leave()
        {
            --m_depth;
            return true;
        }

        size_t m_depth = 0;
    };
    // NOLINTEND(readability-identifier-naming)
}

json_shape shapeOf(std::string_view bytes, json::input_format_t format)
{
    shape_counter counter;
    counter.shape.isAccepted = json::sax_parse(bytes, &counter, format);
    return counter.shape;
}
}
