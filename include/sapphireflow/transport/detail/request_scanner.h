// Part of transport: measures requests in the bytes of a connection, before the server keeps them.
#ifndef SAPPHIREFLOW_TRANSPORT_DETAIL_REQUEST_SCANNER_H_
#define SAPPHIREFLOW_TRANSPORT_DETAIL_REQUEST_SCANNER_H_

#include <http_parser.h>

#include <cstddef>

#include "sapphireflow/admission/ingress_limits.h"

namespace sapphireflow::detail {

/// @brief Runs the parser that RESTinio uses, so that both agree on where requests begin and end.
/// Keeps no bytes.
class RequestScanner {
 public:
  RequestScanner() { Reset(); }

  /// @brief Scans until the end of a request or of the data. Complexity: linear.
  /// @return how many bytes were scanned
  std::size_t Scan(const char* data, std::size_t length);
  /// @brief Whether the last scan stopped at the end of a request.
  bool complete() const { return m_complete; }
  /// @brief Whether the data is not HTTP; the server's parser detects the same.
  bool malformed() const { return m_malformed; }
  /// @brief Whether a request has begun and is not complete.
  bool reading() const { return !m_complete && m_raw_bytes > 0; }
  RequestProgress progress() const;

 private:
  friend struct ScannerCallbacks;
  void Reset();

  http_parser m_parser{};
  bool m_complete = false;
  bool m_malformed = false;
  bool m_head_complete = false;
  bool m_chunked = false;
  bool m_in_value = true;
  std::size_t m_raw_bytes = 0;
  std::size_t m_head_bytes = 0;
  std::size_t m_trailer_bytes = 0;
  std::size_t m_fields = 0;
  std::size_t m_declared_bytes = 0;
  std::size_t m_body_bytes = 0;
  std::size_t m_chunks = 0;
};

}  // namespace sapphireflow::detail

#endif  // SAPPHIREFLOW_TRANSPORT_DETAIL_REQUEST_SCANNER_H_
