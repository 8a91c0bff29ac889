#include "settings_template.hpp"

#include <fulmaryard/command.hpp>
#include <fulmaryard/configuration_parser.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/key_hash.hpp>
#include <fulmaryard/settings_parser.hpp>

#include <absl/status/status.h>

#include <fmt/format.h>

#include <getopt.h>

#include <array>
#include <cstdio>
#include <iostream>
#include <string>

namespace fulmaryard
{

namespace
{

absl::Status check_entry_settings(const std::string& path)
{
    return parse_entry_settings(path).status();
}

absl::Status check_side_settings(const std::string& path)
{
    return parse_side_settings(path).status();
}

absl::Status check_router_settings(const std::string& path)
{
    return parse_router_settings(path).status();
}

absl::Status check_router_template(const std::string& path)
{
    const auto text = read_text_file(path);
    if (!text.ok())
        return text.status();
    for (const auto kind : {sample_kind::whole_numbers, sample_kind::fractions})
    {
        const auto filled = fill_template_with_samples(*text, kind);
        auto status = filled.ok() ? parse_router_settings(*filled, path).status() : filled.status();
        if (!status.ok())
            return status;
    }
    return absl::OkStatus();
}

absl::Status check_file(const std::string& path)
{
    const auto text = read_text_file(path);
    return text.ok() ? parse_tenant_configuration(*text, path).status() : text.status();
}

/// Prints the result of checking one file; returns whether the file is valid.
bool print_result(const std::string& path, const absl::Status& status)
{
    if (status.ok())
        fmt::print("{}: valid\n", path);
    else
        fmt::print(stderr, "{}\n", message_of(status));
    return status.ok();
}

int hash_key()
{
    std::string secret;
    std::getline(std::cin, secret);
    if (secret.empty())
    {
        fmt::print(stderr, "expected a secret on standard input\n");
        return exit_failed;
    }
    fmt::print("{}\n", make_key_hash(secret));
    return exit_success;
}

void print_check_usage(std::FILE* stream)
{
    fmt::print(
        stream, "usage: fulmaryard check [OPTIONS]\n"
                "Validates files without applying them; options may be repeated.\n\n"
                "options:\n"
                "  --entry-settings FILE    settings of an entry\n"
                "  --side-settings FILE     settings of a side process\n"
                "  --router-settings FILE   settings of a router\n"
                "  --router-template FILE   template of a router's settings\n"
                "  --file FILE              declarative file\n"
                "  --hash-key               read a secret from standard input, print its hash\n"
                "  --help                   print this text\n");
}

} // namespace

int run_check_command(int argc, char** argv)
{
    const std::array<option, 8> table{
        {{"entry-settings", required_argument, nullptr, 'e'},
         {"side-settings", required_argument, nullptr, 's'},
         {"router-settings", required_argument, nullptr, 'r'},
         {"router-template", required_argument, nullptr, 't'},
         {"file", required_argument, nullptr, 'f'},
         {"hash-key", no_argument, nullptr, 'k'},
         {"help", no_argument, nullptr, 'h'},
         {nullptr, 0, nullptr, 0}}};
    bool checked = false;
    bool valid = true;
    optind = 0; // makes glibc's getopt_long restart its scan
    for (int id = 0; (id = getopt_long(argc, argv, "h", table.data(), nullptr)) != -1;)
    {
        switch (id)
        {
        case 'e':
            valid = print_result(optarg, check_entry_settings(optarg)) && valid;
            break;
        case 's':
            valid = print_result(optarg, check_side_settings(optarg)) && valid;
            break;
        case 'r':
            valid = print_result(optarg, check_router_settings(optarg)) && valid;
            break;
        case 't':
            valid = print_result(optarg, check_router_template(optarg)) && valid;
            break;
        case 'f':
            valid = print_result(optarg, check_file(optarg)) && valid;
            break;
        case 'k':
            return hash_key();
        case 'h':
            print_check_usage(stdout);
            return exit_success;
        default:
            print_check_usage(stderr);
            return exit_usage;
        }
        checked = true;
    }
    if (!checked || optind != argc)
    {
        print_check_usage(stderr);
        return exit_usage;
    }
    return valid ? exit_success : exit_invalid_file;
}

} // namespace fulmaryard
