#ifndef FULMARYARD_EPOCH_HPP
#define FULMARYARD_EPOCH_HPP

#include <compare>
#include <cstdint>

namespace fulmaryard
{

/// Orders the plans of one stream. A process follows the highest epoch it has seen and refuses
/// lower ones. If two owners choose the same number concurrently, `m_owner` still makes their
/// epochs different.
struct epoch
{
    std::uint32_t m_number{0};
    std::uint64_t m_owner{0}; ///< Hash of the owner's process id.

    friend auto operator<=>(const epoch&, const epoch&) = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_number, m_owner);
    }
};

} // namespace fulmaryard

#endif
