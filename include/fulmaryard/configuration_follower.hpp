#ifndef FULMARYARD_CONFIGURATION_FOLLOWER_HPP
#define FULMARYARD_CONFIGURATION_FOLLOWER_HPP

#include <fulmaryard/configuration.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace fulmaryard
{

class configuration_state;
class json_rpc_server;

/// Catches up with the configuration of peers: when one shows a higher generation than the one in
/// force here, fetches it from that peer by the JSON-RPC method `configuration.get` and offers it
/// to the configuration state. One fetch runs at a time. Thread-safe.
class configuration_follower
{
public:
    /// Called for each configuration that came into force through this class.
    using change_handler = std::function<void(std::shared_ptr<const configuration>)>;

    /// `state` must outlive the work on `executor`.
    configuration_follower(
        const boost::asio::any_io_executor& executor, configuration_state& state,
        change_handler on_change);
    ~configuration_follower();

    configuration_follower(const configuration_follower&) = delete;
    configuration_follower& operator=(const configuration_follower&) = delete;

    /// The peer at `peer_address` has `generation` in force. Costs one comparison when it is not
    /// higher than the one in force here. A failed fetch is repeated a few times with backoff.
    void note_generation(const std::string& peer_address, std::uint64_t generation);

    /// Starts no further fetch and calls no handler after it returns, but for one that is running.
    void stop();

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

/// Adds `configuration.get` ({"generation","text"}, or a `configuration_delta` for a caller that
/// says which generation it has, {"known"}, when what changed since then is known) and
/// `configuration.generation`
/// ({"generation"}) to `server`. `state` must outlive it.
void add_configuration_methods(json_rpc_server& server, const configuration_state& state);

} // namespace fulmaryard

#endif
