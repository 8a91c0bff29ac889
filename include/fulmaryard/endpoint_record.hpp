#ifndef FULMARYARD_ENDPOINT_RECORD_HPP
#define FULMARYARD_ENDPOINT_RECORD_HPP

#include <fulmaryard/layer_range.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// The platform's entry for one endpoint.
struct endpoint_record
{
    std::string m_id; ///< Unique to the endpoint; the same after a restart in place.
    std::string m_service;
    std::string m_address; ///< "IP:PORT".
    std::string m_failure_domain;
    std::string m_accelerator;     ///< Name of an `accelerator_kind`; empty in a plain service.
    layer_range m_layers;          ///< Empty while none are loaded.
    std::uint64_t m_started_ms{0}; ///< Start time, Unix milliseconds; changes with every run.
    std::uint32_t m_slots{0};      ///< Number of requests it runs concurrently.
    bool m_leaving{false};         ///< Is shutting down and accepts no new requests.

    friend auto operator<=>(const endpoint_record&, const endpoint_record&) = default;
};

} // namespace fulmaryard

#endif
