#include <fulmaryard/command.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/settings_parser.hpp>
#include <fulmaryard/side_process.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <fmt/format.h>

#include <getopt.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace fulmaryard
{

namespace
{

constexpr std::string_view usage =
    "usage: fulmaryard side --settings FILE\n\n"
    "Runs the side process of the endpoint configured in FILE. SIGTERM and SIGINT start\n"
    "draining; the process exits once its work is complete or the drain limit has passed.\n\n"
    "  -s, --settings FILE  settings file of the side process\n"
    "  -h, --help           show this help\n";

int run_side(const side_settings& settings)
{
    set_log_process(settings.m_name);
    set_log_level(parse_log_level(settings.m_log_level));
    const int threads = static_cast<int>(std::max<std::uint32_t>(1, settings.m_threads));
    boost::asio::io_context io(threads);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    side_process side(io, settings, [&io] { io.stop(); });
    const auto port = side.start();
    if (!port.ok())
    {
        log_event(log_level::error, "listen_failed").with("error", message_of(port.status()));
        return exit_failed;
    }
    const std::function<void()> wait_for_signal = [&]
    {
        signals.async_wait(
            [&](const boost::system::error_code& error, int number)
            {
                if (error)
                    return;
                side.begin_drain(number == SIGTERM ? "SIGTERM" : "SIGINT");
                wait_for_signal();
            });
    };
    wait_for_signal();
    std::vector<std::thread> pool;
    for (int i = 1; i < threads; ++i)
        pool.emplace_back([&io] { io.run(); });
    io.run();
    for (auto& thread : pool)
        thread.join();
    log_event(log_level::info, "side_stopped").with("phase", to_string(side.phase()));
    return exit_success;
}

} // namespace

int run_side_command(int argc, char** argv)
{
    const option options[] = {
        {"settings", required_argument, nullptr, 's'},
        {"help", no_argument, nullptr, 'h'},
        {nullptr, 0, nullptr, 0}};
    std::string path;
    optind = 1;
    for (int letter = 0; (letter = getopt_long(argc, argv, "s:h", options, nullptr)) != -1;)
    {
        if (letter == 'h')
        {
            fmt::print("{}", usage);
            return exit_success;
        }
        if (letter != 's')
        {
            fmt::print(stderr, "{}", usage);
            return exit_usage;
        }
        path = optarg;
    }
    if (path.empty() || optind != argc)
    {
        fmt::print(stderr, "{}", usage);
        return exit_usage;
    }
    const auto settings = parse_side_settings(path);
    if (!settings.ok())
    {
        fmt::print(stderr, "fulmaryard side: {}\n", message_of(settings.status()));
        return exit_invalid_file;
    }
    return run_side(*settings);
}

} // namespace fulmaryard
