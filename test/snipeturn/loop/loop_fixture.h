#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "snipeturn/base/host.h"

namespace snipeturn::loop {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

/// An event loop and a listener on the loopback address; the test acts as the peer.
class LoopFixture {
 public:
  LoopFixture() : acceptor(context, {boost::asio::ip::address_v4::loopback(), 0}) {}

  /// Returns a TCP port that no other process is given while the fixture exists, as a socket that
  /// doesn't listen stays bound to it.
  std::uint16_t FreePort() {
    tcp::socket& socket = held_ports.emplace_back(context, tcp::v4());
    socket.set_option(boost::asio::socket_base::reuse_address(true));
    socket.bind({boost::asio::ip::address_v4::loopback(), 0});
    return socket.local_endpoint().port();
  }

  Endpoint endpoint() const { return {"127.0.0.1", acceptor.local_endpoint().port()}; }

  /// Runs the loop until the condition holds, for at most two seconds; returns whether it holds.
  bool RunUntil(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + 2s;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      context.restart();
      context.run_one_for(10ms);
    }
    return condition();
  }

  void RunFor(std::chrono::milliseconds time) {
    context.restart();
    context.run_for(time);
  }

  /// Accepts a connection of the code under test.
  tcp::socket Accept() {
    tcp::socket socket(context);
    bool is_accepted = false;
    acceptor.async_accept(
        socket, [&is_accepted](const boost::system::error_code& error) { is_accepted = !error; });
    RunUntil([&is_accepted] { return is_accepted; });
    return socket;
  }

  /// Reads from a socket until the received bytes contain the text, or the connection ends.
  std::string ReadUntil(tcp::socket& socket, const std::string& text) {
    std::string received;
    socket.non_blocking(true);
    RunUntil([&] {
      char buffer[4096];
      boost::system::error_code error;
      const std::size_t count = socket.read_some(boost::asio::buffer(buffer), error);
      received.append(buffer, count);
      return received.find(text) != std::string::npos || error == boost::asio::error::eof;
    });
    return received;
  }

  static void Write(tcp::socket& socket, const std::string& bytes) {
    boost::system::error_code error;
    socket.write_some(boost::asio::buffer(bytes), error);
  }

  boost::asio::io_context context;
  std::vector<tcp::socket> held_ports;
  tcp::acceptor acceptor;
};

}  // namespace snipeturn::loop
