#ifndef FULMARYARD_FIXED_SEED_PROPERTY_HPP
#define FULMARYARD_FIXED_SEED_PROPERTY_HPP

#include <rapidcheck.h>

#include <cstdint>
#include <iostream>

namespace fulmaryard
{

/// Checks a property on `cases` random inputs with a fixed seed, so that each run gives the same
/// result. Returns whether it held. On failure, prints the shrunk counterexample unless
/// `expect_failure` is set.
template <typename Property>
bool holds(const Property& property, int cases, std::uint64_t seed, bool expect_failure = false)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = cases;
    params.disableShrinking = expect_failure;
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
    const bool success = result.template is<rc::detail::SuccessResult>();
    if (!success && !expect_failure)
        rc::detail::printResultMessage(result, std::cerr);
    return success;
}

} // namespace fulmaryard

#endif
