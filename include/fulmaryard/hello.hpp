#ifndef FULMARYARD_HELLO_HPP
#define FULMARYARD_HELLO_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// First message that each side sends on a connection.
struct hello
{
    std::string m_process;         ///< Process id, unique for each run of the process.
    std::string m_role;            ///< "entry" or "side".
    std::string m_address;         ///< Peer address on which the sender accepts links, "IP:PORT".
    std::uint64_t m_generation{0}; ///< Configuration generation in force at the sender.

    friend auto operator<=>(const hello&, const hello&) = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_process, m_role, m_address, m_generation);
    }
};

} // namespace fulmaryard

#endif
