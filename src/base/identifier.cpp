#include "base/identifier.hpp"

#include <charconv>

namespace bilberryseam {

namespace {
    constexpr size_t digitsPerHalf = 16;
    constexpr char hexDigits[] = "0123456789abcdef";

    void writeHalf(char* out, uint64_t half)
    {
        for (size_t i = digitsPerHalf; i-- > 0; half >>= 4)
            out[i] = hexDigits[half & 0xf];
    }

    bool parseHalf(std::string_view text, uint64_t& half)
    {
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), half, 16);
        return code == std::errc {} && end == text.data() + text.size();
    }
}

std::string identifier::toString() const
{
    std::string text(2 * digitsPerHalf, '0');
    writeHalf(text.data(), high);
    writeHalf(text.data() + digitsPerHalf, low);
    return text;
}

result<identifier> identifier::parse(std::string_view text)
{
    identifier id;
    if (text.size() != 2 * digitsPerHalf || !parseHalf(text.substr(0, digitsPerHalf), id.high) || !parseHalf(text.substr(digitsPerHalf), id.low))
        return error(error_kind::InvalidMessage, "The identifier is not 32 hexadecimal digits.", "Copy it whole, as it was printed.");
    return id;
}

identifier_generator identifier_generator::fromSystem()
{
    std::random_device device;
    return identifier_generator((static_cast<uint64_t>(device()) << 32) ^ device());
}

identifier identifier_generator::next()
{
    identifier id { m_engine(), m_engine() };
    return id ? id : next();
}
}
