// Measures the cost of an authenticated frame and datagram over the body size.
#include "citronlever/Wire"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>

DEFINE_string(json, "", "file for the results");
DEFINE_int32(rounds, 20000, "repetitions of each measurement");

namespace {

using namespace citronlever;

/// One line of the table.
struct Measurement {
  std::string Name;
  std::size_t Size = 0;
  double Microseconds = 0;
};

/// \returns the mean duration of one call of \p Work in microseconds.
template <class Function> double meanMicroseconds(Function Work) {
  const TimePoint Begin = Clock::now();
  for (int Round = 0; Round < FLAGS_rounds; ++Round)
    Work();
  const std::chrono::duration<double, std::micro> Taken = Clock::now() - Begin;
  return Taken.count() / FLAGS_rounds;
}

std::shared_ptr<const Authenticator> makeAuthenticator() {
  return std::make_shared<Authenticator>("bench", "sixteen bytes or more", "");
}

void measureFrame(std::size_t Size, std::vector<Measurement> &Results) {
  const auto Auth = makeAuthenticator();
  const Bytes Context(2 * NonceBytes + 1, std::byte{7});
  const Bytes Body(Size, std::byte{1});
  std::uint64_t Sequence = 0;
  Bytes Sealed;
  Results.push_back({"frame signed", Size, meanMicroseconds([&] {
                       Sealed =
                           sealFrame(*Auth, Context, MessageType::BrokerCall,
                                     ++Sequence, Body);
                     })});
  const ByteView Frame(Sealed);
  Results.push_back({"frame verified", Size, meanMicroseconds([&] {
                       const auto Prefix = Frame.first(FramePrefixBytes);
                       if (!verifyFrame(*Auth, Context, Prefix,
                                        Frame.subspan(FramePrefixBytes)))
                         std::abort();
                     })});
}

void measureDatagram(std::size_t Size, std::vector<Measurement> &Results) {
  constexpr std::uint64_t FromIncarnation = 11;
  constexpr std::uint64_t ToIncarnation = 22;
  const auto Auth = makeAuthenticator();
  DatagramCodec From(FromIncarnation, 1, Auth);
  DatagramCodec To(ToIncarnation, 2, Auth);
  const TimePoint Now = Clock::now();
  const Bytes Body(Size, std::byte{1});
  // The receiver challenges the first datagram of a sender it does not know.
  const auto Challenge = To.open(From.seal(ToIncarnation, Body), Now);
  const auto Repeated = From.open(Challenge.Reply, Now);
  if (To.open(Repeated.Reply, Now).Result != DatagramCodec::Outcome::Deliver)
    std::abort();
  Results.push_back({"datagram sealed and opened", Size, meanMicroseconds([&] {
                       const Bytes Sent = From.seal(ToIncarnation, Body);
                       if (To.open(Sent, Now).Result !=
                           DatagramCodec::Outcome::Deliver)
                         std::abort();
                     })});
}

void writeJson(const std::vector<Measurement> &Measurements) {
  boost::json::array List;
  for (const Measurement &Line : Measurements)
    List.push_back(boost::json::object{
        {"name", Line.Name}, {"size", Line.Size}, {"us", Line.Microseconds}});
  std::ofstream(FLAGS_json) << boost::json::serialize(List) << '\n';
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  std::vector<Measurement> Measurements;
  for (const std::size_t Size : {64, 1024, 16384, 262144})
    measureFrame(Size, Measurements);
  for (const std::size_t Size : {64, 256, 1024})
    measureDatagram(Size, Measurements);
  std::printf("%-28s %8s %10s\n", "wire", "bytes", "us");
  for (const Measurement &Line : Measurements)
    std::printf("%-28s %8zu %10.2f\n", Line.Name.c_str(), Line.Size,
                Line.Microseconds);
  if (!FLAGS_json.empty())
    writeJson(Measurements);
  return 0;
}
