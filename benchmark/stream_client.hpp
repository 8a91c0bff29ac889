#ifndef FULMARYARD_STREAM_CLIENT_HPP
#define FULMARYARD_STREAM_CLIENT_HPP

#include "stream_job.hpp"
#include "stream_outcome.hpp"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace fulmaryard::benchmark
{

/// Sends the request and reads its stream until it ends or `job->m_stop_at` is reached. Stores the
/// result, including errors, in `outcome`.
boost::asio::awaitable<void>
run_stream(std::shared_ptr<const stream_job> job, std::shared_ptr<stream_outcome> outcome);

} // namespace fulmaryard::benchmark

#endif
