// Debian has no package of the compiled Boost.URL; its header-only form is built here once.
#include <boost/url/src.hpp>
