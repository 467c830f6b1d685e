// Part of codec: CSV with libcsv.
#include "sapphireflow/codec/csv.h"

#include <csv.h>

#include <memory>

namespace sapphireflow {
namespace {

struct ParseState {
  Sheet sheet;
  std::vector<std::string> row;
};

void OnCell(void* data, std::size_t size, void* parse_state) {
  static_cast<ParseState*>(parse_state)->row.emplace_back(static_cast<const char*>(data), size);
}

void OnRow(int /*end*/, void* parse_state) {
  auto* state = static_cast<ParseState*>(parse_state);
  state->sheet.push_back(std::move(state->row));
  state->row.clear();
}

class Parser {
 public:
  Parser() { csv_init(&m_parser, CSV_STRICT | CSV_STRICT_FINI); }
  ~Parser() { csv_free(&m_parser); }
  Parser(const Parser&) = delete;
  Parser& operator=(const Parser&) = delete;

  bool Parse(const std::string& text, ParseState* parse_state) {
    if (csv_parse(&m_parser, text.data(), text.size(), OnCell, OnRow, parse_state) != text.size()) {
      return false;
    }
    return csv_fini(&m_parser, OnCell, OnRow, parse_state) == 0;
  }
  std::string ErrorText() { return csv_strerror(csv_error(&m_parser)); }

 private:
  csv_parser m_parser{};
};

}  // namespace

Validated<Sheet> ReadCsv(const std::string& text) {
  Parser parser;
  ParseState parse_state;
  if (!parser.Parse(text, &parse_state)) {
    const std::string place = "row " + std::to_string(parse_state.sheet.size() + 1);
    return Findings{Finding(place, "not CSV: " + parser.ErrorText())};
  }
  return parse_state.sheet;
}

std::string WriteCsv(const Sheet& sheet) {
  std::string text;
  for (const auto& row : sheet) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      if (i > 0) text += ',';
      if (row[i].find_first_of(",\"\r\n") == std::string::npos) {
        text += row[i];
        continue;
      }
      // Escaping at most doubles the size; two bytes more for the enclosing quotes.
      std::string quoted(row[i].size() * 2 + 2, '\0');
      quoted.resize(csv_write(quoted.data(), quoted.size(), row[i].data(), row[i].size()));
      text += quoted;
    }
    text += '\n';
  }
  return text;
}

}  // namespace sapphireflow
