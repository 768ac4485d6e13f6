// Source parts of header-only Boost libraries, compiled once for the program.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
#include <boost/json/src.hpp>
