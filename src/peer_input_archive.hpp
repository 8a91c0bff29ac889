#ifndef FULMARYARD_PEER_INPUT_ARCHIVE_HPP
#define FULMARYARD_PEER_INPUT_ARCHIVE_HPP

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace fulmaryard
{

/// Deserializes the output of cereal's portable binary archive from a buffer in memory.
///
/// Throws cereal::Exception if a length field exceeds the number of remaining bytes. cereal's own
/// input archive resizes the container before it reads the elements, so that a message of 20 bytes
/// could make the receiver allocate and fill gigabytes.
class peer_input_archive
    : public cereal::InputArchive<peer_input_archive, cereal::AllowEmptyClassElision>
{
public:
    explicit peer_input_archive(std::string_view bytes)
        : cereal::InputArchive<peer_input_archive, cereal::AllowEmptyClassElision>(this),
          m_remaining(bytes)
    {
        std::uint8_t little_endian = 0;
        load_values(&little_endian, 1, 1);
        m_swap_bytes =
            (little_endian != 0) != (cereal::portable_binary_detail::is_little_endian() != 0);
    }

    /// Reads `count` values of `width` bytes each.
    void load_values(void* target, std::size_t count, std::size_t width)
    {
        check_length(count, width);
        const std::size_t size = count * width;
        if (size == 0)
            return;
        std::memcpy(target, m_remaining.data(), size);
        m_remaining.remove_prefix(size);
        auto* const first = static_cast<unsigned char*>(target);
        for (std::size_t at = 0; m_swap_bytes && at < size; at += width)
            std::reverse(first + at, first + at + width);
    }

    /// Throws if fewer than `count` values of `width` bytes are left.
    void check_length(std::uint64_t count, std::size_t width) const
    {
        if (count > m_remaining.size() / width)
            throw cereal::Exception("a length exceeds the message");
    }

private:
    std::string_view m_remaining;
    bool m_swap_bytes{false};
};

template <typename Value>
requires std::is_arithmetic_v<Value>
void CEREAL_LOAD_FUNCTION_NAME(peer_input_archive& archive, Value& value)
{
    if constexpr (std::is_same_v<Value, bool>)
    {
        // Copying a byte other than 0 or 1 into a bool is undefined behavior.
        std::uint8_t byte = 0;
        archive.load_values(&byte, 1, 1);
        value = byte != 0;
    }
    else
        archive.load_values(&value, 1, sizeof(Value));
}

template <typename Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(peer_input_archive& archive, cereal::NameValuePair<Value>& pair)
{
    archive(pair.value);
}

template <typename Size>
void CEREAL_SERIALIZE_FUNCTION_NAME(peer_input_archive& archive, cereal::SizeTag<Size>& tag)
{
    archive(tag.size);
    // Each element is encoded in at least one byte.
    archive.check_length(tag.size, 1);
}

template <typename Value>
void CEREAL_LOAD_FUNCTION_NAME(peer_input_archive& archive, cereal::BinaryData<Value>& data)
{
    constexpr std::size_t width = sizeof(std::remove_pointer_t<Value>);
    archive.load_values(data.data, static_cast<std::size_t>(data.size) / width, width);
}

} // namespace fulmaryard

// CEREAL_SETUP_ARCHIVE_TRAITS would also specialize the opposite direction, which cereal already
// defines for its own pair of archives.
template <>
struct cereal::traits::detail::get_output_from_input<fulmaryard::peer_input_archive>
{
    using type = cereal::PortableBinaryOutputArchive;
};

#endif
