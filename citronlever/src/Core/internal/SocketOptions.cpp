#include "citronlever/src/Core/internal/SocketOptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace citronlever {

namespace {

constexpr int UserTimeoutMs = 3000;
constexpr int KeepAliveIdleSeconds = 5;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 3;

void setOption(int Descriptor, int Level, int Name, int Value) {
  // Errors are ignored: if the kernel lacks an option, the timeouts of the
  // protocol above still apply.
  (void)::setsockopt(Descriptor, Level, Name, &Value, sizeof(Value));
}

} // namespace

void setSocketOptions(boost::asio::ip::tcp::socket &Socket) {
  const int Descriptor = Socket.native_handle();
  setOption(Descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  setOption(Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMs);
}

std::optional<Duration> roundTripTime(boost::asio::ip::tcp::socket &Socket) {
  tcp_info Info{};
  socklen_t Size = sizeof(Info);
  if (::getsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_INFO, &Info,
                   &Size) != 0 ||
      Info.tcpi_rtt == 0)
    return std::nullopt;
  return std::chrono::microseconds(Info.tcpi_rtt);
}

} // namespace citronlever
