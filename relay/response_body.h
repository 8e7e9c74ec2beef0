// The body of an endpoint's response, kept only as far as it is read.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

namespace turntally::relay {

// A Beast body. With max_bytes 0 the body is read and dropped; otherwise one that is longer fails with
// body_limit.
struct ResponseBody {
  struct value_type {
    std::string text;
    size_t max_bytes = 0;
  };

  class reader {
   public:
    template <bool is_request, class Fields>
    reader(boost::beast::http::header<is_request, Fields>&, value_type& body) : body_(body) {}

    void init(const boost::optional<std::uint64_t>&, boost::beast::error_code& error) { error = {}; }

    template <class Buffers>
    size_t put(const Buffers& buffers, boost::beast::error_code& error) {
      const size_t count = boost::asio::buffer_size(buffers);
      error = {};
      if (body_.max_bytes == 0) return count;
      if (body_.text.size() + count > body_.max_bytes) {
        error = boost::beast::http::error::body_limit;
        return 0;
      }
      for (auto it = boost::asio::buffer_sequence_begin(buffers);
           it != boost::asio::buffer_sequence_end(buffers); ++it) {
        const boost::asio::const_buffer piece(*it);
        body_.text.append(static_cast<const char*>(piece.data()), piece.size());
      }
      return count;
    }

    void finish(boost::beast::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

}  // namespace turntally::relay
