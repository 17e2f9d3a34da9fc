#include "ops/json_lines.h"

#include <iterator>
#include <nlohmann/json.hpp>
#include <vector>

namespace marigoldladder {

namespace {

    // Reads the text for the parser and counts the lines that it has taken in.
    class LineCountingIterator {
    public:
        using iterator_category = std::input_iterator_tag;
        using value_type = char;
        using difference_type = std::ptrdiff_t;
        using pointer = const char*;
        using reference = const char&;

        LineCountingIterator(const char* position, std::size_t* line)
            : m_position(position)
            , m_line(line)
        {
        }

        auto operator*() const -> reference { return *m_position; }
        auto operator++() -> LineCountingIterator&
        {
            if (*m_position == '\n')
                ++*m_line;
            ++m_position;
            return *this;
        }
        auto operator==(const LineCountingIterator& other) const -> bool
        {
            return m_position == other.m_position;
        }

    private:
        const char* m_position;
        std::size_t* m_line;
    };

    // Where the parser is: in an object with a current field, or in an array at an element.
    struct OpenValue {
        std::string m_path;
        bool m_isArray = false;
        std::size_t m_nextElement = 0;
    };

    // Takes the parser's events; the names of its members are the parser's.
    class LineRecorder : public nlohmann::json_sax<nlohmann::json> {
    public:
        LineRecorder(const std::size_t* line, std::map<std::string, std::size_t>* lines)
            : m_line(line)
            , m_lines(lines)
        {
        }

        auto null() -> bool override { return value(); }
        auto boolean(bool /*value*/) -> bool override { return value(); }
        auto number_integer(std::int64_t /*value*/) -> bool override { return value(); }
        auto number_unsigned(std::uint64_t /*value*/) -> bool override { return value(); }
        auto number_float(double /*value*/, const std::string& /*text*/) -> bool override { return value(); }
        auto string(std::string& /*value*/) -> bool override { return value(); }
        auto binary(nlohmann::json::binary_t& /*value*/) -> bool override { return value(); }
        auto start_object(std::size_t /*size*/) -> bool override { return open(false); }
        auto start_array(std::size_t /*size*/) -> bool override { return open(true); }
        auto end_object() -> bool override { return close(); }
        auto end_array() -> bool override { return close(); }
        auto key(std::string& name) -> bool override
        {
            m_path = m_open.back().m_path + "/" + name;
            m_lines->emplace(m_path, *m_line);
            return true;
        }
        auto parse_error(std::size_t /*position*/, const std::string& /*token*/,
            const nlohmann::detail::exception& /*error*/) -> bool override
        {
            return false;
        }

    private:
        auto value() -> bool
        {
            if (!m_open.empty() && m_open.back().m_isArray) {
                m_path = m_open.back().m_path + "/" + std::to_string(m_open.back().m_nextElement++);
                m_lines->emplace(m_path, *m_line);
            }
            return true;
        }
        auto open(bool isArray) -> bool
        {
            value();
            m_open.push_back({ m_path, isArray, 0 });
            return true;
        }
        auto close() -> bool
        {
            m_open.pop_back();
            return true;
        }

        const std::size_t* m_line;
        std::map<std::string, std::size_t>* m_lines;
        std::vector<OpenValue> m_open;
        std::string m_path;
    };

} // namespace

auto fieldLines(std::string_view json) -> std::map<std::string, std::size_t>
{
    auto line = std::size_t { 1 };
    auto lines = std::map<std::string, std::size_t>();
    lines.emplace("", line);
    auto recorder = LineRecorder(&line, &lines);
    nlohmann::json::sax_parse(LineCountingIterator(json.data(), &line),
        LineCountingIterator(json.data() + json.size(), &line), &recorder);
    return lines;
}

auto lineOf(const std::map<std::string, std::size_t>& lines, std::string path) -> std::size_t
{
    while (true) {
        const auto found = lines.find(path);
        if (found != lines.end())
            return found->second;
        const auto slash = path.rfind('/');
        if (slash == std::string::npos)
            return 0;
        path.resize(slash);
    }
}

} // namespace marigoldladder
