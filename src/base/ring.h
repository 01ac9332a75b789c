#pragma once

#include <boost/circular_buffer.hpp>

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

namespace pomelokeel::base {

/// A bounded first-in, first-out queue between threads, for any number of
/// producers and consumers. Thread-safe.
template <typename T> class Ring {
public:
  explicit Ring(std::size_t Capacity) : m_items(Capacity) {}

  /// Appends \p Item without waiting. Returns false and discards \p Item if the
  /// queue is full or closed.
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

  /// Appends \p Item and waits for space as long as necessary. Returns false
  /// and discards \p Item if the queue is closed.
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

  /// Appends \p Item and waits for space for at most \p Wait. Returns false and
  /// leaves \p Item unchanged if the queue is still full or is closed.
  [[nodiscard]] bool tryPushFor(T &Item, std::chrono::milliseconds Wait) {
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

  /// Removes and returns the oldest item; waits for one for at most \p Wait.
  /// Returns nothing if the queue is still empty or is empty and closed. Items
  /// pushed before close() are still returned.
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

  /// Makes all further pushes fail and wakes all waiting threads.
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
