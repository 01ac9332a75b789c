#pragma once

/// Reports for operators.
namespace pomelokeel::report {} // namespace pomelokeel::report
