#ifndef FULMARYARD_TOKEN_HPP
#define FULMARYARD_TOKEN_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// One generated token.
struct token
{
    std::uint32_t m_id{0};
    std::string m_text;

    friend auto operator<=>(const token&, const token&) = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_id, m_text);
    }
};

} // namespace fulmaryard

#endif
