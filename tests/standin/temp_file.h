#pragma once

#include <gtest/gtest.h>

#include <cstdio>
#include <string>
#include <unistd.h>

namespace pomelokeel::standin {

/// Path of a temporary file that no other process uses: CTest runs the tests of
/// a program in parallel processes. The destructor removes the file.
class TempFile {
public:
  explicit TempFile(const std::string &Name)
      : m_path(testing::TempDir() + std::to_string(::getpid()) + "_" + Name) {}
  ~TempFile() { std::remove(m_path.c_str()); }
  TempFile(const TempFile &) = delete;
  TempFile &operator=(const TempFile &) = delete;

  const std::string &path() const { return m_path; }

private:
  std::string m_path;
};

} // namespace pomelokeel::standin
