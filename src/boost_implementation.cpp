// Defines the non-template parts of Asio and Beast; all other files only see declarations.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
