#include <fulmaryard/failure.hpp>
#include <fulmaryard/peer_address.hpp>

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <string>

namespace fulmaryard
{

absl::StatusOr<boost::asio::ip::tcp::endpoint> parse_address(std::string_view text)
{
    const auto invalid = [&]
    {
        return make_failure(
            failure_kind::invalid_request,
            "address \"" + std::string(text) + "\" is not of the form IP:PORT");
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return invalid();
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (digits.empty() || parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size())
        return invalid();
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(std::string(host), error);
    if (error)
        return invalid();
    return boost::asio::ip::tcp::endpoint(address, port);
}

} // namespace fulmaryard
