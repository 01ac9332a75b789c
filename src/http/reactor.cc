#include "http/reactor.h"

#include "base/signals.h"
#include "http/reactor_impl.h"

#include <boost/asio.hpp>
#include <glog/logging.h>

#include <chrono>
#include <utility>

namespace pomelokeel::http {
namespace {

namespace net = boost::asio;
using Code = boost::system::error_code;

class TimerImpl final : public Timer {
public:
  explicit TimerImpl(net::io_context &Io) : m_timer(Io) {}

  void start(Millis AfterMs, std::function<void()> Run) override {
    m_timer.expires_after(std::chrono::milliseconds(AfterMs));
    // A handler that was already queued when start() or cancel() is called must
    // not run. The weak pointer tells it that the timer was changed.
    const std::weak_ptr<int> Armed = m_armed = std::make_shared<int>();
    m_timer.async_wait([Armed, Run = std::move(Run)](Code E) {
      if (!E && Armed.lock())
        Run();
    });
  }

  void cancel() override {
    m_armed.reset();
    m_timer.cancel();
  }

private:
  net::steady_timer m_timer;
  std::shared_ptr<int> m_armed;
};

class ReactorImpl final : public Reactor {
public:
  void run() override {
    const auto Guard = net::make_work_guard(*m_io);
    m_io->restart();
    m_io->run();
  }
  void stop() override { m_io->stop(); }
  void post(std::function<void()> Run) override {
    net::post(*m_io, std::move(Run));
  }
  std::unique_ptr<Timer> timer() override {
    return std::make_unique<TimerImpl>(*m_io);
  }
  void onSignals(const std::vector<int> &Signals,
                 std::function<void(int)> Run) override {
    for (const int Number : Signals) {
      Code E;
      m_signals.add(Number, E);
      if (E)
        LOG(ERROR) << "event=signalNotHandled signal=" << Number << " error=\""
                   << E.message() << "\"";
    }
    m_onSignal = std::move(Run);
    awaitSignal();
    base::releaseSignals(Signals);
  }

  std::shared_ptr<net::io_context> m_io = std::make_shared<net::io_context>(1);

private:
  void awaitSignal() {
    m_signals.async_wait([this](Code E, int Number) {
      if (E)
        return;
      awaitSignal();
      m_onSignal(Number);
    });
  }

  net::signal_set m_signals{*m_io};
  std::function<void(int)> m_onSignal;
};

} // namespace

std::unique_ptr<Reactor> Reactor::create() {
  return std::make_unique<ReactorImpl>();
}

std::shared_ptr<net::io_context> detail::ioContextOf(Reactor &R) {
  return static_cast<ReactorImpl &>(R).m_io;
}

} // namespace pomelokeel::http
