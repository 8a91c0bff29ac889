#include <fulmaryard/engine_codec.hpp>
#include <fulmaryard/engine_info.hpp>
#include <fulmaryard/failure.hpp>

#include <boost/json.hpp>

#include <array>

namespace fulmaryard
{

namespace json = boost::json;

namespace
{

json::string to_hex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    json::string text;
    text.resize(2 * bytes.size());
    char* out = text.data();
    for (const char c : bytes)
    {
        const auto byte = static_cast<unsigned char>(c);
        *out++ = digits[byte >> 4U];
        *out++ = digits[byte & 0xfU];
    }
    return text;
}

constexpr std::uint8_t invalid_digit = 0xff;

constexpr std::array<std::uint8_t, 256> make_digit_values()
{
    std::array<std::uint8_t, 256> values{};
    for (auto& value : values)
        value = invalid_digit;
    for (std::uint8_t digit = 0; digit < 10; ++digit)
        values[static_cast<std::size_t>('0') + digit] = digit;
    for (std::uint8_t digit = 10; digit < 16; ++digit)
    {
        values[static_cast<std::size_t>('a') + digit - 10] = digit;
        values[static_cast<std::size_t>('A') + digit - 10] = digit;
    }
    return values;
}

constexpr auto digit_values = make_digit_values();

bool from_hex(const json::string& text, std::string& bytes)
{
    if (text.size() % 2 != 0)
        return false;
    bytes.resize(text.size() / 2);
    for (std::size_t i = 0; i < bytes.size(); ++i)
    {
        const auto high = digit_values[static_cast<unsigned char>(text[2 * i])];
        const auto low = digit_values[static_cast<unsigned char>(text[2 * i + 1])];
        if (high == invalid_digit || low == invalid_digit)
            return false;
        bytes[i] = static_cast<char>((high << 4U) | low);
    }
    return true;
}

/// Reads members of a JSON object. `valid()` is false once a required member was missing or a
/// member had the wrong type.
class object_reader
{
public:
    explicit object_reader(const json::object& object) : m_object(&object) {}

    template <typename Number>
    Number number(std::string_view name)
    {
        const auto* value = find(name);
        if (!value)
        {
            m_valid = false;
            return 0;
        }
        return to_number<Number>(*value);
    }

    template <typename Number>
    Number number_or(std::string_view name, Number default_value)
    {
        const auto* value = find(name);
        return value ? to_number<Number>(*value) : default_value;
    }

    std::string text(std::string_view name)
    {
        const auto* value = find(name);
        if (!value || !value->is_string())
        {
            m_valid = false;
            return {};
        }
        return {value->get_string().data(), value->get_string().size()};
    }

    bool flag(std::string_view name)
    {
        const auto* value = find(name);
        if (value && !value->is_bool())
            m_valid = false;
        return value && value->is_bool() && value->get_bool();
    }

    const json::array* array(std::string_view name)
    {
        const auto* value = find(name);
        if (!value || !value->is_array())
        {
            m_valid = false;
            return nullptr;
        }
        return &value->get_array();
    }

    const json::value* find(std::string_view name) const
    {
        const auto* value = m_object->if_contains(json::string_view(name.data(), name.size()));
        return value && !value->is_null() ? value : nullptr;
    }

    bool valid() const { return m_valid; }
    void fail() { m_valid = false; }

private:
    template <typename Number>
    Number to_number(const json::value& value)
    {
        boost::system::error_code error;
        const auto result = value.to_number<Number>(error);
        if (error)
            m_valid = false;
        return error ? Number{0} : result;
    }

    const json::object* m_object;
    bool m_valid{true};
};

absl::Status malformed(std::string_view what)
{
    return make_failure(failure_kind::invalid_request, "malformed " + std::string(what));
}

engine_result read_ran(object_reader& reader)
{
    engine_result result;
    result.m_run = reader.number<std::uint64_t>("run");
    result.m_prompt_positions = reader.number_or<std::uint32_t>("prompt_positions", 0);
    result.m_finished = reader.flag("finished");
    if (const auto* outputs = reader.array("outputs"))
    {
        result.m_outputs.resize(outputs->size());
        for (std::size_t i = 0; i < outputs->size(); ++i)
        {
            const auto* text = (*outputs)[i].if_string();
            if (!text || !from_hex(*text, result.m_outputs[i]))
                reader.fail();
        }
    }
    if (const auto* sampled = reader.find("sampled"))
    {
        if (const auto* object = sampled->if_object())
        {
            object_reader member(*object);
            result.m_sampled = token{member.number<std::uint32_t>("id"), member.text("text")};
            if (!member.valid())
                reader.fail();
        }
        else
            reader.fail();
    }
    return result;
}

} // namespace

std::string encode_engine_run(const engine_run& run)
{
    json::object message{
        {"op", "run"},
        {"run", run.m_run},
        {"stream", to_string(run.m_stream)},
        {"session", run.m_session},
        {"first", run.m_first_position},
        {"sample", run.m_sample},
        {"priority", run.m_priority}};
    // Only the first run of stage 0 has a prompt, which may be an empty string.
    if (!run.m_prompt.empty())
        message["prompt"] = run.m_prompt;
    json::array ids;
    ids.reserve(run.m_tokens.size());
    for (const auto& each : run.m_tokens)
        ids.emplace_back(each.m_id);
    message["tokens"] = std::move(ids);
    json::array inputs;
    inputs.reserve(run.m_inputs.size());
    for (const auto& each : run.m_inputs)
        inputs.emplace_back(to_hex(each));
    message["inputs"] = std::move(inputs);
    return json::serialize(message);
}

std::string encode_engine_release(const engine_release& release)
{
    return json::serialize(json::object{
        {"op", "cancel"}, {"stream", to_string(release.m_stream)}, {"session", release.m_session}});
}

absl::StatusOr<std::string> encode_engine_order(const engine_order& order)
{
    boost::system::error_code error;
    auto arguments = json::parse(order.m_arguments, error);
    if (error || !arguments.is_object())
        return malformed("order arguments");
    return json::serialize(json::object{
        {"op", "order"},
        {"epoch", order.m_epoch},
        {"kind", order.m_kind},
        {"args", std::move(arguments)}});
}

absl::StatusOr<engine_message> decode_engine_message(std::string_view text)
{
    boost::system::error_code error;
    const auto value = json::parse(json::string_view(text.data(), text.size()), error);
    const auto* object = error ? nullptr : value.if_object();
    if (!object)
        return malformed("message from the engine");
    object_reader reader(*object);
    const std::string operation = reader.text("op");
    engine_message message;
    if (operation == "ran")
        message = read_ran(reader);
    else if (operation == "failed")
    {
        engine_result result;
        result.m_run = reader.number<std::uint64_t>("run");
        result.m_failed = true;
        message = std::move(result);
    }
    else if (operation == "ordered")
        message = engine_order_answer{
            reader.flag("accepted"), reader.number_or<std::uint64_t>("epoch", 0)};
    else
        return malformed("message from the engine");
    if (!reader.valid())
        return malformed("message from the engine");
    return message;
}

absl::StatusOr<engine_info> parse_engine_info(std::string_view text)
{
    boost::system::error_code error;
    const auto value = json::parse(json::string_view(text.data(), text.size()), error);
    const auto* object = error ? nullptr : value.if_object();
    if (!object)
        return malformed("engine information");
    object_reader reader(*object);
    engine_info info;
    info.m_kind = reader.text("kind");
    info.m_model = reader.text("model");
    info.m_layers_total = reader.number_or<std::uint32_t>("layers_total", 0);
    info.m_step_time_us = reader.number_or<std::uint32_t>("step_time_us", 0);
    info.m_batch_limit = reader.number_or<std::uint32_t>("batch_limit", 1);
    info.m_kv_positions = reader.number_or<std::uint64_t>("kv_positions", 0);
    info.m_kv_free = reader.number_or<std::uint64_t>("kv_free", 0);
    if (const auto* layers = reader.array("layers"); layers && layers->size() == 2)
    {
        info.m_layers.m_begin = (*layers)[0].to_number<std::uint32_t>(error);
        if (error)
            reader.fail();
        info.m_layers.m_end = (*layers)[1].to_number<std::uint32_t>(error);
        if (error)
            reader.fail();
    }
    else
        reader.fail();
    if (!reader.valid() || info.m_layers.m_begin >= info.m_layers.m_end)
        return malformed("engine information");
    return info;
}

} // namespace fulmaryard
