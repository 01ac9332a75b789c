#pragma once

#include "http/reactor.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace pomelokeel::http::detail {

/// The event loop behind \p R.
std::shared_ptr<boost::asio::io_context> ioOf(Reactor &R);

} // namespace pomelokeel::http::detail
