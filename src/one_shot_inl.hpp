#ifndef FULMARYARD_ONE_SHOT_INL_HPP
#define FULMARYARD_ONE_SHOT_INL_HPP

#include "use_tuple_inl.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <utility>

namespace fulmaryard
{

/// Passes one value from any thread to a coroutine that runs on a strand. Only the first call of
/// set() takes effect.
template <typename T>
class one_shot : public std::enable_shared_from_this<one_shot<T>>
{
public:
    explicit one_shot(const boost::asio::any_io_executor& executor) : m_timer(executor) {}

    void set(T value)
    {
        boost::asio::post(
            m_timer.get_executor(),
            [self = this->shared_from_this(), value = std::move(value)]() mutable
            {
                if (self->m_value)
                    return;
                self->m_value = std::move(value);
                self->m_timer.cancel();
            });
    }

    /// Returns the value, or nullopt if none is set within `timeout`. Call at most once, and on the
    /// strand.
    boost::asio::awaitable<std::optional<T>> wait(std::chrono::nanoseconds timeout)
    {
        const auto self = this->shared_from_this();
        if (!m_value)
        {
            m_timer.expires_after(
                std::chrono::duration_cast<std::chrono::steady_clock::duration>(timeout));
            co_await m_timer.async_wait(use_tuple);
        }
        co_return m_value;
    }

private:
    boost::asio::steady_timer m_timer;
    std::optional<T> m_value;
};

} // namespace fulmaryard

#endif
