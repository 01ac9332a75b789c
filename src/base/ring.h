#pragma once

#include <boost/circular_buffer.hpp>

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

namespace pomelokeel::base {

/// A bounded queue between threads. Any number of producers and consumers.
template <typename T> class Ring {
public:
  explicit Ring(std::size_t Capacity) : m_items(Capacity) {}

  /// Appends \p Item. Returns false, without effect, if full or closed.
  [[nodiscard]] bool tryPush(T Item) {
    {
      const std::lock_guard Lock(m_mutex);
      if (m_closed || m_items.full())
        return false;
      m_items.push_back(std::move(Item));
    }
    m_notEmpty.notify_one();
    return true;
  }

  /// Appends \p Item, waiting for room. Returns false if closed.
  [[nodiscard]] bool push(T Item) {
    {
      std::unique_lock Lock(m_mutex);
      m_notFull.wait(Lock, [&] { return m_closed || !m_items.full(); });
      if (m_closed)
        return false;
      m_items.push_back(std::move(Item));
    }
    m_notEmpty.notify_one();
    return true;
  }

  /// Moves \p Item to the end, waiting at most \p Wait for room. Returns false,
  /// with \p Item unchanged, if there is none or the ring is closed.
  [[nodiscard]] bool offer(T &Item, std::chrono::milliseconds Wait) {
    {
      std::unique_lock Lock(m_mutex);
      m_notFull.wait_for(Lock, Wait,
                         [&] { return m_closed || !m_items.full(); });
      if (m_closed || m_items.full())
        return false;
      m_items.push_back(std::move(Item));
    }
    m_notEmpty.notify_one();
    return true;
  }

  /// Removes the oldest item, waiting at most \p Wait. Items that were pushed
  /// before close() are still returned.
  std::optional<T> pop(std::chrono::milliseconds Wait) {
    std::optional<T> Item;
    {
      std::unique_lock Lock(m_mutex);
      m_notEmpty.wait_for(Lock, Wait,
                          [&] { return m_closed || !m_items.empty(); });
      if (m_items.empty())
        return std::nullopt;
      Item = std::move(m_items.front());
      m_items.pop_front();
    }
    m_notFull.notify_one();
    return Item;
  }

  /// Refuses further items and wakes all waiting threads.
  void close() {
    {
      const std::lock_guard Lock(m_mutex);
      m_closed = true;
    }
    m_notEmpty.notify_all();
    m_notFull.notify_all();
  }

  bool closed() const {
    const std::lock_guard Lock(m_mutex);
    return m_closed;
  }

  std::size_t size() const {
    const std::lock_guard Lock(m_mutex);
    return m_items.size();
  }

private:
  mutable std::mutex m_mutex;
  std::condition_variable m_notEmpty;
  std::condition_variable m_notFull;
  boost::circular_buffer<T> m_items;
  bool m_closed = false;
};

} // namespace pomelokeel::base
