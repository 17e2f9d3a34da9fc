// Prints benchmark figures as one table, beside those of an earlier run, and checks their bounds.
#include "marigoldladder/enum_names.h"

#include <docopt/docopt.h>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace marigoldladder::bench {

namespace {

    constexpr auto usage = R"(bench_report - prints benchmark figures as a table and checks their bounds.

Usage:
  bench_report [--earlier FILE]

Options:
  --earlier FILE  Figures of an earlier run to show beside these.

Reads one JSON line a figure from standard input: name, value, unit, and bound where there is one; a figure
keeps its bound when it is not above it, or not below it where "at_least" is true.
Exit codes: 0 all bounds kept, 1 a bound broken or a line that can't be read, 2 usage.
)";

    constexpr auto nameWidth = 64;
    constexpr auto numberWidth = 14;

    struct Figure {
        std::string m_name;
        double m_value = 0;
        std::string m_unit;
        std::optional<double> m_bound;
        bool m_atLeast = false; // The bound is the least that is allowed.
    };

    auto keepsBound(const Figure& figure) -> bool
    {
        if (!figure.m_bound)
            return true;
        return figure.m_atLeast ? figure.m_value >= *figure.m_bound : figure.m_value <= *figure.m_bound;
    }

    auto readFigure(const std::string& line) -> std::optional<Figure>
    {
        const auto json = nlohmann::json::parse(line, nullptr, false);
        if (!json.is_object() || !json.contains("name") || !json.contains("value")
            || !json["value"].is_number())
            return std::nullopt;
        auto figure = Figure { json["name"], json["value"], json.value("unit", ""), std::nullopt,
            json.value("at_least", false) };
        if (json.contains("bound") && json["bound"].is_number())
            figure.m_bound = json["bound"].get<double>();
        return figure;
    }

    auto readEarlier(const std::string& path) -> std::map<std::string, double>
    {
        auto values = std::map<std::string, double>();
        auto file = std::ifstream(path);
        auto line = std::string();
        while (std::getline(file, line)) {
            if (const auto figure = readFigure(line))
                values[figure->m_name] = figure->m_value;
        }
        return values;
    }

    auto printNumber(const std::optional<double>& number) -> void
    {
        std::cout << std::setw(numberWidth);
        if (number)
            std::cout << *number;
        else
            std::cout << "-";
    }

    auto printRow(const Figure& figure, const std::map<std::string, double>& earlier) -> void
    {
        const auto before = earlier.find(figure.m_name);
        std::cout << std::left << std::setw(nameWidth) << figure.m_name << std::right;
        printNumber(figure.m_value);
        printNumber(figure.m_bound);
        printNumber(before == earlier.end() ? std::nullopt : std::optional(before->second));
        std::cout << "  " << figure.m_unit << (keepsBound(figure) ? "" : "  BROKEN") << "\n";
    }

    auto report(const std::map<std::string, double>& earlier) -> int
    {
        std::cout << std::left << std::setw(nameWidth) << "figure" << std::right << std::setw(numberWidth)
                  << "value" << std::setw(numberWidth) << "bound" << std::setw(numberWidth) << "earlier"
                  << "  unit\n"
                  << std::setprecision(4);
        auto good = true;
        auto line = std::string();
        while (std::getline(std::cin, line)) {
            const auto figure = readFigure(line);
            if (!figure) {
                std::cout << "not a figure: " << line << "\n";
                good = false;
                continue;
            }
            printRow(*figure, earlier);
            good = good && keepsBound(*figure);
        }
        return good ? 0 : 1;
    }

} // namespace

} // namespace marigoldladder::bench

auto main(int argc, char** argv) -> int
{
    using namespace marigoldladder::bench;
    const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    const auto& earlier = arguments.at("--earlier");
    return report(earlier ? readEarlier(earlier.asString()) : std::map<std::string, double>());
}
