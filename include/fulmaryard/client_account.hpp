#ifndef FULMARYARD_CLIENT_ACCOUNT_HPP
#define FULMARYARD_CLIENT_ACCOUNT_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace fulmaryard
{

/// A client account with its keys and limits.
struct client_account
{
    std::string m_name;
    std::vector<std::string>
        m_key_hashes; ///< "sha256:SALT:DIGEST", both in hex; see `key_hash.hpp`.
    std::uint32_t m_requests_per_second{10}; ///< Across all entries.
    std::uint32_t m_tokens_per_second{
        10000};                      ///< Prompt words plus requested tokens, across all entries.
    std::uint32_t m_max_streams{64}; ///< Concurrent streams, across all entries.
    std::uint32_t m_weight{1};       ///< Share under overload, relative to the other accounts.

    friend auto operator<=>(const client_account&, const client_account&) = default;
};

} // namespace fulmaryard

#endif
