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

/// Fetches newer configurations from peers. When a peer announces a higher generation than the
/// local one, calls its JSON-RPC method `configuration.get` and offers the result to the
/// configuration state. One fetch runs at a time. Thread-safe.
class configuration_follower
{
public:
    /// Called with each fetched configuration that the state has accepted.
    using change_handler = std::function<void(std::shared_ptr<const configuration>)>;

    /// `state` must outlive the work on `executor`.
    configuration_follower(
        const boost::asio::any_io_executor& executor, configuration_state& state,
        change_handler on_change);
    ~configuration_follower();

    configuration_follower(const configuration_follower&) = delete;
    configuration_follower& operator=(const configuration_follower&) = delete;

    /// Reports that `generation` is active at the peer at `peer_address`. Costs one comparison if
    /// it is not higher than the local one. A failed fetch is retried a few times with backoff.
    void on_peer_generation(const std::string& peer_address, std::uint64_t generation);

    /// After it returns, no fetch is started and no handler is called, except that a handler call
    /// in progress may still complete.
    void stop();

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

/// Adds two JSON-RPC methods to `server`; `state` must outlive it.
/// `configuration.get` returns {"generation","text"}, or a `configuration_delta` if the caller
/// passes its generation as {"known"} and the changes since then are available.
/// `configuration.generation` returns {"generation"}.
void add_configuration_methods(json_rpc_server& server, const configuration_state& state);

} // namespace fulmaryard

#endif
