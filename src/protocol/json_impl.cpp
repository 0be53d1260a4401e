// Boost.JSON is compiled once, here.
#include <boost/json/src.hpp>
