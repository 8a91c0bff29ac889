#ifndef FULMARYARD_USE_TUPLE_INL_HPP
#define FULMARYARD_USE_TUPLE_INL_HPP

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace fulmaryard
{

/// Completion token for coroutines: returns the error code in a tuple instead of throwing.
constexpr auto use_tuple = boost::asio::as_tuple(boost::asio::use_awaitable);

} // namespace fulmaryard

#endif
