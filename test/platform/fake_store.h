#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace snipeturn::platform {

/// A store in memory that the test controls; it can come back from an older copy.
class FakeStore {
 public:
  struct Record {
    std::string key;
    /// Empty for a deletion.
    std::string value;
  };
  using Log = std::vector<Record>;

  explicit FakeStore(boost::asio::ip::tcp::acceptor& acceptor) : acceptor_(acceptor) { Accept(); }

  /// Writes a record; returns its offset.
  std::size_t Write(const std::string& topic, const std::string& key, const std::string& value) {
    logs[topic].push_back({key, value});
    return logs[topic].size() - 1;
  }

  /// Comes back from a copy of an earlier moment.
  void Restore(const std::map<std::string, Log>& copy) {
    logs = copy;
    ++era;
  }

  /// The newest value of a key; empty if there is none.
  std::string Newest(const std::string& topic, const std::string& key) {
    std::string value;
    for (const Record& record : logs[topic]) {
      if (record.key == key) {
        value = record.value;
      }
    }
    return value;
  }

  std::map<std::string, Log> logs;
  int era{1};
  /// Appends that are refused with 503.
  int refused_appends{0};
  /// Appends that are lost together with their connection.
  int lost_appends{0};
  /// Appends that are done and whose responses are lost together with their connection.
  int lost_responses{0};
  /// Reads of newest records that are refused with 503.
  int refused_reads{0};
  /// Most records of a page.
  std::size_t page_records{500};
  int appends{0};

 private:
  /// Time for which the store waits for a record, whatever the call asks for.
  static constexpr std::chrono::milliseconds kWait{20};
  static constexpr std::size_t kLengthBytes = 4;

  struct Session {
    explicit Session(boost::asio::ip::tcp::socket connection)
        : socket(std::move(connection)), timer(socket.get_executor()) {}

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    std::string received;
    std::string response;
  };
  using SessionPointer = std::shared_ptr<Session>;

  void Accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
          if (!error) {
            ReadCall(std::make_shared<Session>(std::move(socket)));
            Accept();
          }
        });
  }

  void ReadCall(const SessionPointer& session) {
    boost::asio::async_read_until(
        session->socket, boost::asio::dynamic_buffer(session->received), "\r\n\r\n",
        [this, session](const boost::system::error_code& error, std::size_t head_bytes) {
          if (!error) {
            ReadBody(session, head_bytes);
          }
        });
  }

  void ReadBody(const SessionPointer& session, std::size_t head_bytes) {
    constexpr std::string_view kField = "Content-Length: ";
    const std::size_t field = session->received.find(kField);
    const std::size_t body_bytes =
        field < head_bytes ? std::stoul(session->received.substr(field + kField.size())) : 0;
    const std::size_t bytes = head_bytes + body_bytes;
    const std::size_t missing =
        bytes > session->received.size() ? bytes - session->received.size() : 0;
    boost::asio::async_read(
        session->socket, boost::asio::dynamic_buffer(session->received),
        boost::asio::transfer_exactly(missing),
        [this, session, head_bytes, bytes](const boost::system::error_code& error, std::size_t) {
          if (!error) {
            const std::string call = session->received.substr(0, head_bytes);
            const std::string body = session->received.substr(head_bytes, bytes - head_bytes);
            session->received.erase(0, bytes);
            HandleCall(session, call, body);
          }
        });
  }

  void HandleCall(const SessionPointer& session, const std::string& call, const std::string& body) {
    const std::string topic = Parameter(call, "topic");
    if (call.find("/api/log-append") != std::string::npos) {
      ++appends;
      if (lost_appends > 0) {
        --lost_appends;
        return;
      }
      if (refused_appends > 0) {
        --refused_appends;
        Respond(session, "503 Service Unavailable", "{}");
        return;
      }
      if (call.find("&at=") != std::string::npos &&
          std::stoul(Parameter(call, "at")) != logs[topic].size()) {
        Respond(session, "412 Precondition Failed",
                R"({"end":)" + std::to_string(logs[topic].size()) + "}");
        return;
      }
      const auto key_bytes = static_cast<unsigned char>(body.at(kLengthBytes));
      Write(topic, body.substr(kLengthBytes + 1, key_bytes),
            body.substr(kLengthBytes + 1 + key_bytes));
      if (lost_responses > 0) {
        --lost_responses;
        return;
      }
      Respond(session, "200 OK", "{}");
    } else if (call.find("/api/log-newest") != std::string::npos) {
      if (refused_reads > 0) {
        --refused_reads;
        Respond(session, "503 Service Unavailable", "{}");
        return;
      }
      const bool is_first = call.find("&after=") == std::string::npos;
      Respond(session, "200 OK", FormatNewest(topic, is_first ? "" : Parameter(call, "after")));
    } else {
      session->timer.expires_after(kWait);
      session->timer.async_wait([this, session, topic, from = std::stoul(Parameter(call, "from"))](
                                    const boost::system::error_code& /*error*/) {
        const bool is_known = from <= logs[topic].size();
        Respond(session, is_known ? "200 OK" : "410 Gone",
                is_known ? FormatLog(topic, from) : "{}");
      });
    }
  }

  void Respond(const SessionPointer& session, const std::string& status, const std::string& body) {
    session->response = "HTTP/1.1 " + status + "\r\nStore-Era: " + std::to_string(era) +
                        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    boost::asio::async_write(session->socket, boost::asio::buffer(session->response),
                             [this, session](const boost::system::error_code& error, std::size_t) {
                               if (!error) {
                                 ReadCall(session);
                               }
                             });
  }

  static std::string Parameter(const std::string& call, const std::string& name) {
    const std::size_t begin = call.find(name + "=") + name.size() + 1;
    return call.substr(begin, call.find_first_of("& ", begin) - begin);
  }

  static std::string BigEndian(std::uint64_t number, std::size_t bytes) {
    std::string text(bytes, '\0');
    for (std::size_t index = 0; index < bytes; ++index) {
      text[bytes - 1 - index] = static_cast<char>((number >> (8 * index)) & 0xffU);
    }
    return text;
  }

  std::string FormatLog(const std::string& topic, std::size_t from) {
    const Log& log = logs[topic];
    std::string body = BigEndian(log.size(), 8) + BigEndian(0, 8);
    for (std::size_t offset = from; offset < log.size(); ++offset) {
      const Record& record = log[offset];
      body += BigEndian(1 + record.key.size() + record.value.size(), kLengthBytes) +
              BigEndian(record.key.size(), 1) + record.key + record.value;
    }
    return body;
  }

  /// @param after Key after which the page begins, in the encoding of the query.
  std::string FormatNewest(const std::string& topic, const std::string& after) {
    namespace base64 = boost::beast::detail::base64;
    const Log& log = logs[topic];
    std::map<std::string, std::size_t> newest;
    for (std::size_t offset = 0; offset < log.size(); ++offset) {
      newest[log[offset].key] = offset;
    }
    std::string items;
    std::size_t records = 0;
    bool has_more = false;
    for (const auto& [key, offset] : newest) {
      const std::string& value = log[offset].value;
      if (value.empty() || key <= after) {
        continue;
      }
      has_more = records == page_records;
      if (has_more) {
        break;
      }
      ++records;
      std::string encoded(base64::encoded_size(value.size()), '\0');
      encoded.resize(base64::encode(encoded.data(), value.data(), value.size()));
      items += (items.empty() ? "" : ",") + (R"({"key":")" + key + R"(","value":")" + encoded) +
               R"(","offset":)" + std::to_string(offset) + "}";
    }
    return R"({"items":[)" + items + R"(],"has_more":)" + (has_more ? "true" : "false") +
           R"(,"end":)" + std::to_string(log.size()) + "}";
  }

  boost::asio::ip::tcp::acceptor& acceptor_;
};

}  // namespace snipeturn::platform
