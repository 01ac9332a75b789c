#pragma once

#include "http/reactor.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace pomelokeel::http::detail {

/// Returns the io_context that \p R runs.
std::shared_ptr<boost::asio::io_context> ioContextOf(Reactor &R);

} // namespace pomelokeel::http::detail
