#ifndef FULMARYARD_RECOVERY_STRATEGY_HPP
#define FULMARYARD_RECOVERY_STRATEGY_HPP

#include <cstdint>

namespace fulmaryard
{

/// What an owner does about a lost stage.
enum class recovery_strategy : std::uint8_t
{
    rebuild_stage, ///< Replace that stage; rebuild it from the retained outputs of the one before.
    restart        ///< Start again from the prompt on a whole new plan; for comparison.
};

} // namespace fulmaryard

#endif
