#ifndef FULMARYARD_STREAM_CLIENT_HPP
#define FULMARYARD_STREAM_CLIENT_HPP

#include "stream_job.hpp"
#include "stream_outcome.hpp"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace fulmaryard::benchmark
{

/// Requests one stream and reads it to its end.
boost::asio::awaitable<void>
run_stream(std::shared_ptr<const stream_job> job, std::shared_ptr<stream_outcome> outcome);

} // namespace fulmaryard::benchmark

#endif
