#include "mesh/closer.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <memory>

using namespace pomelokeel;
using mesh::detail::Closer;

TEST(Closer, ClosesInOrder) {
  Closer C;
  auto Order = std::make_shared<std::string>();
  C.add([Order] { *Order += "a"; });
  C.add([Order] { *Order += "b"; });
  ASSERT_TRUE(C.finish(10000));
  EXPECT_EQ(*Order, "ab");
}

// Guards against a blocking nng_close() that delays other links or keeps a
// process from stopping.
TEST(Closer, GivesUpOnACloseThatBlocks) {
  auto Unblock = std::make_shared<std::promise<void>>();
  auto Closed = std::make_shared<std::promise<void>>();
  {
    Closer C;
    C.add([Wait = Unblock->get_future().share(), Closed] {
      Wait.wait();
      Closed->set_value();
    });
    EXPECT_FALSE(C.finish(50));
  }
  Unblock->set_value();
  Closed->get_future().wait();
}
