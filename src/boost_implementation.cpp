// Compiles the non-template parts of Asio and Beast, which every other file only declares.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
