// Part of transport: callbacks of the parser that measures requests.
#include "sapphireflow/transport/detail/request_scanner.h"

#include <algorithm>
#include <limits>

namespace sapphireflow::detail {
namespace {

// the parser's value of a length that the head does not declare
constexpr auto kUndeclared = std::numeric_limits<std::uint64_t>::max();

}  // namespace

struct ScannerCallbacks {
  static RequestScanner& Of(http_parser* parser) {
    return *static_cast<RequestScanner*>(parser->data);
  }

  static int OnField(http_parser* parser, const char* /*at*/, std::size_t length) {
    RequestScanner& scanner = Of(parser);
    // the parser reports a name in several parts if it is split over reads
    if (scanner.m_in_value) ++scanner.m_fields;
    scanner.m_in_value = false;
    return OnFieldBytes(scanner, length);
  }

  static int OnValue(http_parser* parser, const char* /*at*/, std::size_t length) {
    RequestScanner& scanner = Of(parser);
    scanner.m_in_value = true;
    return OnFieldBytes(scanner, length);
  }

  static int OnFieldBytes(RequestScanner& scanner, std::size_t length) {
    if (scanner.m_head_complete) scanner.m_trailer_bytes += length;
    return 0;
  }

  static int OnHeadComplete(http_parser* parser) {
    RequestScanner& scanner = Of(parser);
    scanner.m_head_complete = true;
    scanner.m_chunked = (parser->flags & F_CHUNKED) != 0;
    if (!scanner.m_chunked && parser->content_length != kUndeclared) {
      scanner.m_declared_bytes = parser->content_length;
    }
    return 0;
  }

  static int OnBody(http_parser* parser, const char* /*at*/, std::size_t length) {
    Of(parser).m_body_bytes += length;
    return 0;
  }

  static int OnChunk(http_parser* parser) {
    RequestScanner& scanner = Of(parser);
    if (parser->content_length == 0) return 0;
    ++scanner.m_chunks;
    // the length of a chunk may be anything up to 2^64 - 1
    const std::size_t free = std::numeric_limits<std::size_t>::max() - scanner.m_body_bytes;
    scanner.m_declared_bytes =
        scanner.m_body_bytes + std::min<std::size_t>(free, parser->content_length);
    return 0;
  }

  static int OnComplete(http_parser* parser) {
    Of(parser).m_complete = true;
    http_parser_pause(parser, 1);
    return 0;
  }

  static http_parser_settings Make() {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_header_field = OnField;
    settings.on_header_value = OnValue;
    settings.on_headers_complete = OnHeadComplete;
    settings.on_body = OnBody;
    settings.on_chunk_header = OnChunk;
    settings.on_message_complete = OnComplete;
    return settings;
  }
};

void RequestScanner::Reset() {
  m_complete = m_malformed = m_head_complete = m_chunked = false;
  m_in_value = true;
  m_raw_bytes = m_head_bytes = m_trailer_bytes = 0;
  m_fields = m_declared_bytes = m_body_bytes = m_chunks = 0;
  http_parser_init(&m_parser, HTTP_REQUEST);
}

std::size_t RequestScanner::Scan(const char* data, std::size_t length) {
  static const http_parser_settings settings = ScannerCallbacks::Make();
  if (m_complete) Reset();
  // set here, since the scanner may have been moved
  m_parser.data = this;
  const bool in_head = !m_head_complete;
  const std::size_t scanned = http_parser_execute(&m_parser, &settings, data, length);
  m_raw_bytes += scanned;
  // a read that ends the head may have some of the body
  if (in_head) m_head_bytes += scanned - std::min(scanned, m_body_bytes);
  const http_errno error = HTTP_PARSER_ERRNO(&m_parser);
  m_malformed = error != HPE_OK && error != HPE_PAUSED;
  return scanned;
}

RequestProgress RequestScanner::progress() const {
  return {m_head_bytes + m_trailer_bytes,
          m_fields,
          m_declared_bytes,
          m_body_bytes,
          m_chunks,
          m_chunked,
          m_head_complete};
}

}  // namespace sapphireflow::detail
